//! When a refused caller is likely to find room.

use std::time::Duration;

use super::times::MIN_REMAINING;
use crate::placement::{self, Candidate, Distance, Strategy};

/// Minimum time after which a refused caller may retry.
pub const MIN: Duration = Duration::from_millis(150);

/// Maximum time after which a refused caller may retry. Estimates of load and slowdown are up to about a
/// second old, so later times cannot be foretold.
pub const MAX: Duration = Duration::from_secs(2);

/// Returns when one of the servers that a request may use is expected to have fewer waiting requests per
/// slot than `max_queue`. `usual` is the route's usual time on an idle server, if that is known.
#[must_use]
pub fn room(
    candidates: &[Candidate],
    strategy: Strategy,
    max_queue: f64,
    usual: Option<Duration>,
) -> Duration {
    let idle = |candidate: &Candidate| Candidate {
        load: 0.0,
        slowdown: 1.0,
        ..*candidate
    };
    // The first server of the request's order is the one whose queue it may join.
    let idle: Vec<Candidate> = candidates.iter().map(idle).collect();
    let Some(first) = placement::choose(&idle, strategy) else {
        return MIN;
    };
    let first = &candidates[first];
    let wait = |candidate: &Candidate| room_at(candidate, max_queue, usual);
    match strategy {
        Strategy::Affinity { .. } => wait(first),
        Strategy::Proximity { .. } => {
            let is_far = |candidate: &Candidate| candidate.distance == Distance::Far;
            let near = candidates
                .iter()
                .filter(|candidate| is_far(candidate) == is_far(first));
            near.map(wait).min().unwrap_or(MIN)
        }
    }
}

/// Returns when `server` is expected to have fewer waiting requests per slot than `max_queue`.
#[must_use]
pub fn room_at(server: &Candidate, max_queue: f64, usual: Option<Duration>) -> Duration {
    usual.map_or(MIN, |usual| drained(server, 1.0 + max_queue, usual))
}

/// Returns when `server` is expected to have so few requests that one with `remaining` time ends in time.
/// [`MAX`] if it would not even do so on a server with a free slot: the usual time has to fall first.
#[must_use]
pub fn in_time(server: &Candidate, remaining: Duration, usual: Duration) -> Duration {
    let work = MIN_REMAINING * usual.as_secs_f64() * server.slowdown;
    let per_slot = remaining.as_secs_f64() / work.max(f64::MIN_POSITIVE);
    if per_slot < 1.0 {
        return MAX;
    }
    drained(server, per_slot, usual)
}

/// Returns when one more request at `server` is expected to be within `per_slot` requests per slot. Each
/// slot finishes one request in the usual time.
fn drained(server: &Candidate, per_slot: f64, usual: Duration) -> Duration {
    let slots = server.slots.max(1.0);
    let excess = (server.load + 1.0 - slots * per_slot).max(0.0);
    let wait_s = excess / slots * usual.as_secs_f64() * server.slowdown;
    Duration::from_secs_f64(wait_s.clamp(MIN.as_secs_f64(), MAX.as_secs_f64()))
}
