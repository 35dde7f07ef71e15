//! Exponential backoff between attempts.

use rand::Rng;

/// Maximum delay after the first failure, in milliseconds.
const INITIAL_MAX_MS: u64 = 200;

/// Maximum delay after any number of failures, in milliseconds.
const MAX_MS: u64 = 5_000;

/// Maximum number of times that the delay doubles.
const MAX_DOUBLINGS: u32 = 8;

/// Exponential backoff with jitter.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Creates a backoff with no recorded failures.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Records a failure and returns the delay before the next attempt, in milliseconds: uniformly
    /// distributed between half of the limit and the limit, which doubles with each failure.
    pub fn fail(&mut self, rng: &mut impl Rng) -> u64 {
        let limit = (INITIAL_MAX_MS << self.failures.min(MAX_DOUBLINGS)).min(MAX_MS);
        self.failures = self.failures.saturating_add(1);
        rng.random_range(limit / 2..=limit)
    }
}
