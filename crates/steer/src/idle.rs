//! How long an idle connection may be used again.
//!
//! Answers backend servers that forget idle connections sooner than they say: what is sent next is
//! reset, and a request that must not repeat is lost. After such a reset, connections are used
//! again for half of the time only that this one was idle; the time grows again slowly.

use std::time::{Duration, Instant};

/// Longest time that is ever learnt; beyond it, what the server says decides alone.
const MOST: Duration = Duration::from_mins(1);

/// Shortest time that is learnt. A connection that was idle for less was reset for another reason,
/// and requests in quick succession go on sharing connections.
const LEAST: Duration = Duration::from_millis(200);

/// Time without a reset after which the limit doubles.
const DOUBLING: Duration = Duration::from_secs(5);

/// The limit on the idle time of connections.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    limit: Duration,
    changed: Option<Instant>,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            limit: MOST,
            changed: None,
        }
    }
}

impl Limit {
    /// Returns whether a connection that was idle for `age` may be used.
    #[must_use]
    pub fn allows(&self, age: Duration, now: Instant) -> bool {
        age <= self.current(now)
    }

    /// Notes that a connection was reset when it was used after it had been idle for `age`.
    pub fn note_reset(&mut self, age: Duration, now: Instant) {
        if age < LEAST {
            return;
        }
        let limit = self.current(now).min(age / 2).max(LEAST);
        *self = Self {
            limit,
            changed: Some(now),
        };
    }

    fn current(&self, now: Instant) -> Duration {
        let Some(changed) = self.changed else {
            return self.limit;
        };
        let calm = now.duration_since(changed).as_secs_f64();
        let doublings = (calm / DOUBLING.as_secs_f64()).min(20.0);
        self.limit.mul_f64(doublings.exp2()).min(MOST)
    }
}
