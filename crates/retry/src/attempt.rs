//! What follows a failed attempt.

use rand::Rng;
use timer::Moment;

use crate::budget::Budget;

/// Most attempts at one request.
pub const MAX_ATTEMPTS: u32 = 3;

/// Longest pause before the second attempt, in milliseconds; it doubles with each further one.
const FIRST_PAUSE_MS: u64 = 8;

/// Time that has to be left for an attempt, in milliseconds.
const LEAST_LEFT_MS: u64 = 5;

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request left.
    Unreached,
    /// The backend server said that it did not run the request.
    Shed,
    /// The connection broke after bytes may have left.
    Broken,
}

impl Failure {
    /// Returns the name that metrics carry.
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
    /// How it failed.
    pub failure: Failure,
    /// Whether running the request again does no harm.
    pub is_idempotent: bool,
    /// Whether the whole request is still at hand.
    pub is_buffered: bool,
    /// Attempts so far, this one included.
    pub attempts: u32,
    /// Attempts so far that may have run.
    pub broken_attempts: u32,
    /// Time left until the deadline, in milliseconds.
    pub remaining_ms: u64,
}

/// What follows a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Another attempt after a pause, in milliseconds.
    Retry {
        /// The pause.
        after_ms: u64,
    },
    /// A refusal, at once.
    Refuse,
}

/// Decides what follows `attempt` and draws on `budget` for a retry that a backend server will
/// notice.
pub fn decide(
    attempt: &Attempt,
    budget: &mut Budget,
    now: Moment,
    random: &mut impl Rng,
) -> Decision {
    if !attempt.may_repeat() || attempt.attempts >= MAX_ATTEMPTS {
        return Decision::Refuse;
    }
    let after_ms = attempt.pause_ms(random);
    if attempt.remaining_ms < after_ms + LEAST_LEFT_MS {
        return Decision::Refuse;
    }
    let free = attempt.failure == Failure::Unreached;
    if free || budget.take(now) {
        Decision::Retry { after_ms }
    } else {
        Decision::Refuse
    }
}

impl Attempt {
    fn may_repeat(&self) -> bool {
        let safe = match self.failure {
            Failure::Unreached | Failure::Shed => true,
            Failure::Broken => self.is_idempotent && self.broken_attempts <= 1,
        };
        safe && self.is_buffered
    }

    fn pause_ms(&self, random: &mut impl Rng) -> u64 {
        if self.failure == Failure::Unreached {
            return 0;
        }
        let longest = FIRST_PAUSE_MS << self.attempts.saturating_sub(1).min(8);
        random.random_range(0..=longest)
    }
}
