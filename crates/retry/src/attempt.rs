//! Decision on a retry after a failed attempt.

use rand::Rng;
use timer::Moment;

use crate::budget::Budget;

/// Maximum number of attempts per request.
pub const MAX_ATTEMPTS: u32 = 3;

/// Longest random delay before the second attempt, in milliseconds; doubles with each further
/// attempt.
const BASE_DELAY_MS: u64 = 8;

/// Smallest remaining time for an attempt, in milliseconds.
const MIN_REMAINING_MS: u64 = 5;

/// Failure of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request was sent.
    Unreached,
    /// The backend server reported that it did not run the request.
    Shed,
    /// The connection broke after bytes may have been sent.
    Broken,
}

impl Failure {
    /// Returns the name used in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Unreached => "unreached",
            Self::Shed => "shed",
            Self::Broken => "broken",
        }
    }

    /// Returns whether a backend server may have run the request.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        self == Self::Broken
    }
}

/// A failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Failure of the attempt.
    pub failure: Failure,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Whether the complete request is still buffered.
    pub is_buffered: bool,
    /// Attempts so far, including this one.
    pub attempts: u32,
    /// Attempts so far in which the request may have run.
    pub broken_attempts: u32,
    /// Remaining time until the deadline, in milliseconds.
    pub remaining_ms: u64,
}

/// Decision after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Retry after a delay.
    Retry {
        /// The delay, in milliseconds.
        after_ms: u64,
    },
    /// Refuse the request immediately.
    Refuse,
}

/// Decides whether to retry after `attempt`. A retry takes from `budget` unless the attempt reached
/// no backend server.
pub fn decide(
    attempt: &Attempt,
    budget: &mut Budget,
    now: Moment,
    random: &mut impl Rng,
) -> Decision {
    if !attempt.is_retryable() || attempt.attempts >= MAX_ATTEMPTS {
        return Decision::Refuse;
    }
    let after_ms = attempt.delay_ms(random);
    if attempt.remaining_ms < after_ms + MIN_REMAINING_MS {
        return Decision::Refuse;
    }
    let needs_no_budget = attempt.failure == Failure::Unreached;
    if needs_no_budget || budget.take(now) {
        Decision::Retry { after_ms }
    } else {
        Decision::Refuse
    }
}

impl Attempt {
    fn is_retryable(&self) -> bool {
        let is_safe = match self.failure {
            Failure::Unreached | Failure::Shed => true,
            Failure::Broken => self.is_idempotent && self.broken_attempts <= 1,
        };
        is_safe && self.is_buffered
    }

    fn delay_ms(&self, random: &mut impl Rng) -> u64 {
        if self.failure == Failure::Unreached {
            return 0;
        }
        let max_ms = BASE_DELAY_MS << self.attempts.saturating_sub(1).min(8);
        random.random_range(0..=max_ms)
    }
}
