//! Budget for hedging, which sends second copies of slow requests.

/// Budget that one success adds, in hundredths of a copy.
const GAIN_PER_SUCCESS: u32 = 5;

/// Budget that one copy takes, in hundredths of a copy.
const COST: u32 = 100;

/// Maximum balance, in hundredths of a copy.
const MAX_BALANCE: u32 = 10 * COST;

/// Minimum wait before a copy is sent, in milliseconds.
const MIN_WAIT_MS: u64 = 20;

/// Budget of copies. Permits one copy per 20 successes, and bursts of up to ten copies.
#[derive(Debug, Clone, Default)]
pub struct Budget {
    /// Remaining budget in hundredths of a copy, at most [`MAX_BALANCE`].
    balance: u32,
}

impl Budget {
    /// Creates an empty budget.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the budget for a successful request.
    pub fn note_success(&mut self) {
        self.balance = (self.balance + GAIN_PER_SUCCESS).min(MAX_BALANCE);
    }

    /// Takes the budget for a copy of a request that has waited `waited_ms` for an answer, compared
    /// with a usual latency of `smoothed_latency_ms`. Returns false if no copy may be sent, as for
    /// every request that may not run more than once.
    pub fn take(&mut self, retryable: bool, waited_ms: u64, smoothed_latency_ms: u64) -> bool {
        let due = waited_ms >= smoothed_latency_ms.saturating_mul(3).max(MIN_WAIT_MS);
        let allowed = retryable && due && self.balance >= COST;
        if allowed {
            self.balance -= COST;
        }
        allowed
    }
}
