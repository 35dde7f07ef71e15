//! Token bucket that limits the request rate of a workspace.

use crate::fleet::number;

/// Length of a burst at the full rate, in seconds.
const BURST_S: f64 = 2.0;

/// A token bucket shared by the whole fleet.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    tokens: f64,
    refilled_us: u64,
    rate: f64,
}

impl Bucket {
    /// Creates a full bucket that fills at `rate` tokens per second.
    pub fn new(rate: f64) -> Self {
        Self {
            tokens: rate * BURST_S,
            refilled_us: 0,
            rate,
        }
    }

    /// Takes a token if one is available and returns whether it did.
    pub fn take(&mut self, now_us: u64) -> bool {
        let elapsed_us = usize::try_from(now_us - self.refilled_us).unwrap_or(usize::MAX);
        let full = self.rate * BURST_S;
        self.tokens = (self.tokens + number(elapsed_us) / 1e6 * self.rate).min(full);
        self.refilled_us = now_us;
        let is_admitted = self.tokens >= 1.0;
        if is_admitted {
            self.tokens -= 1.0;
        }
        is_admitted
    }
}
