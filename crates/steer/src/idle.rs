//! Maximum idle time after which a connection to a backend server is reused.
//!
//! Load pattern: backend servers close idle connections earlier than they advertise. The next request
//! on such a connection is reset, and is lost if it must not be retried. After a reset, the limit
//! drops to half of the reset connection's idle time, and then grows slowly.

use std::time::{Duration, Instant};

/// Maximum of the limit. Above it, only the server's advertised timeout applies.
const MAX_LIMIT: Duration = Duration::from_mins(1);

/// Minimum of the limit. A connection that was idle for less was reset for another reason, and
/// requests in quick succession continue to share connections.
const MIN_LIMIT: Duration = Duration::from_millis(200);

/// Time without a reset in which the limit doubles.
const DOUBLING_TIME: Duration = Duration::from_secs(5);

/// Limit on the idle time of connections to one backend server.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    limit: Duration,
    changed: Option<Instant>,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            limit: MAX_LIMIT,
            changed: None,
        }
    }
}

impl Limit {
    /// Returns whether a connection that was idle for `age` may be reused.
    #[must_use]
    pub fn allows(&self, age: Duration, now: Instant) -> bool {
        age <= self.current(now)
    }

    /// Notes that a connection was reset on reuse after it had been idle for `age`.
    pub fn note_reset(&mut self, age: Duration, now: Instant) {
        if age < MIN_LIMIT {
            return;
        }
        let limit = self.current(now).min(age / 2).max(MIN_LIMIT);
        *self = Self {
            limit,
            changed: Some(now),
        };
    }

    fn current(&self, now: Instant) -> Duration {
        let Some(changed) = self.changed else {
            return self.limit;
        };
        let since_reset_s = now.duration_since(changed).as_secs_f64();
        let doublings = (since_reset_s / DOUBLING_TIME.as_secs_f64()).min(20.0);
        self.limit.mul_f64(doublings.exp2()).min(MAX_LIMIT)
    }
}
