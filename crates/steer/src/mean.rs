//! Exponentially weighted mean over time of a value that changes in steps.
//!
//! Load pattern: backend servers that do not report their load. An entry VM sends only a few of a
//! server's requests, so that its current count is mostly 0 or 1 and makes the server look idle or
//! full in turns. Averaged over a second or two, the count is the same for every entry VM.

use std::time::{Duration, Instant};

/// Time in which the weight of an earlier value falls to about a third.
const TIME_CONSTANT: Duration = Duration::from_millis(1_500);

/// Mean over time in which earlier values have less weight.
#[derive(Debug, Clone, Copy)]
pub struct Mean {
    value: f64,
    at: Instant,
}

impl Mean {
    /// Creates the mean of a value that has been 0 until `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            value: 0.0,
            at: now,
        }
    }

    /// Returns the mean after the value has been `value` from the last update until `now`.
    #[must_use]
    pub fn after(self, value: u32, now: Instant) -> Self {
        let elapsed = now.duration_since(self.at).as_secs_f64();
        let weight = (-elapsed / TIME_CONSTANT.as_secs_f64()).exp();
        Self {
            value: (self.value - f64::from(value)).mul_add(weight, f64::from(value)),
            at: now,
        }
    }

    /// Returns the mean.
    #[must_use]
    pub fn value(self) -> f64 {
        self.value
    }
}
