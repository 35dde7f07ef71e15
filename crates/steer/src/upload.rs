//! How much of a VM's link other entry VMs may use for parts of large values.

use std::time::{Duration, Instant};

/// Part of the link that parts may use; the rest is for callers and for what is urgent.
const LINK_RATIO: f64 = 0.5;

/// Time of that part of the link that may be used at once.
const BURST: Duration = Duration::from_millis(50);

/// Bytes that other entry VMs may take. Each grant may exceed what is left, so that any size is served.
#[derive(Debug, Clone)]
pub struct Allowance {
    per_s: f64,
    left: f64,
    updated_at: Instant,
}

impl Allowance {
    /// Creates the allowance of a VM with a link of `link_bytes_per_s`.
    #[must_use]
    pub fn new(link_bytes_per_s: f64, now: Instant) -> Self {
        let per_s = link_bytes_per_s * LINK_RATIO;
        Self {
            per_s,
            left: per_s * BURST.as_secs_f64(),
            updated_at: now,
        }
    }

    /// Returns whether anything is left.
    pub fn is_left(&mut self, now: Instant) -> bool {
        let elapsed = now.duration_since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let burst = self.per_s * BURST.as_secs_f64();
        self.left = (self.left + elapsed * self.per_s).min(burst);
        self.left > 0.0
    }

    /// Takes `bytes`.
    pub fn take(&mut self, bytes: usize) {
        self.left -= crate::to_f64(bytes);
    }
}

#[cfg(test)]
mod tests;
