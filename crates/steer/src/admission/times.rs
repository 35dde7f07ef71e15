//! How long the requests of a route usually take, and whether one can still end in time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::placement::Candidate;

/// Maximum number of responses that the mean is of.
const MAX_RESPONSES: usize = 16;

/// Minimum number of responses for a mean. With fewer, a few slow ones would decide.
const MIN_RESPONSES: usize = 8;

/// Multiple of the median up to which a response counts. With [`MIN_REMAINING`], no request is refused that
/// has the median time left, whatever the slower half of the responses took.
const MAX_OF_MEDIAN: u32 = 2;

/// Age at which a response no longer counts.
const MAX_AGE: Duration = Duration::from_secs(3);

/// Time without a response after which the mean is not used. Requests are sent again then, and their
/// responses tell whether the route has become faster, so refusals cannot prolong themselves.
const MAX_SILENCE: Duration = Duration::from_secs(1);

/// Part of the expected time that a request needs at least. Below 1, since an object that was handled
/// recently takes about 0.3 of the work, and loads are estimates.
pub(super) const MIN_REMAINING: f64 = 0.5;

/// Times of the latest responses of a route, as on idle servers.
#[derive(Debug, Clone, Default)]
pub struct Times {
    responses: VecDeque<(Instant, Duration)>,
}

impl Times {
    /// Records a response that would have taken `elapsed` on an idle server.
    pub fn note(&mut self, elapsed: Duration, now: Instant) {
        if self.responses.len() >= MAX_RESPONSES {
            self.responses.pop_front();
        }
        self.responses.push_back((now, elapsed));
    }

    /// Returns the mean time on an idle server, with slow responses limited to a multiple of the median, or
    /// `None` if too few responses are recent.
    #[must_use]
    pub fn usual(&self, now: Instant) -> Option<Duration> {
        let (latest, _) = self.responses.back()?;
        if now.duration_since(*latest) >= MAX_SILENCE {
            return None;
        }
        let mut times = [Duration::ZERO; MAX_RESPONSES];
        let recent = self.responses.iter();
        let recent = recent.filter(|(at, _)| now.duration_since(*at) < MAX_AGE);
        let mut count = 0;
        for (slot, (_, elapsed)) in times.iter_mut().zip(recent) {
            *slot = *elapsed;
            count += 1;
        }
        if count < MIN_RESPONSES {
            return None;
        }
        let times = &mut times[..count];
        times.sort_unstable();
        let max = times[(count - 1) / 2] * MAX_OF_MEDIAN;
        let sum: Duration = times.iter().map(|elapsed| *elapsed.min(&max)).sum();
        Some(sum / u32::try_from(count).unwrap_or(u32::MAX))
    }
}

/// Returns how long one more request is expected to take on `server`, compared with an idle server.
pub(super) fn factor(server: &Candidate) -> f64 {
    server.slowdown * queue_factor(server)
}

fn queue_factor(server: &Candidate) -> f64 {
    ((server.load + 1.0) / server.slots.max(1.0)).max(1.0)
}

/// Returns whether `server` would most likely finish a request too late that has `remaining` time and
/// usually takes `usual` on an idle server.
#[must_use]
pub fn is_too_late(remaining: Duration, usual: Duration, server: &Candidate) -> bool {
    remaining.as_secs_f64() < MIN_REMAINING * usual.as_secs_f64() * factor(server)
}
