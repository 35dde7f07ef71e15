//! Fleet-wide allowance of a workspace.

use wire::lend::FULL_SHARE;

/// Nanotokens in a millitoken.
const NANO_PER_MILLI: u128 = 1_000_000;

/// Rate and burst of a workspace over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allowance {
    /// Rate, in millitokens per second.
    rate_milli: u64,
    /// Burst, in millitokens.
    burst_milli: u64,
}

impl Allowance {
    /// Creates an allowance of `rate` requests per second and `burst` requests at once.
    #[must_use]
    pub fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate_milli: milli(rate),
            burst_milli: milli(burst),
        }
    }

    /// Returns the rate, in requests per second.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "rates are far below 2^52")]
    pub fn rate(&self) -> f64 {
        self.rate_milli as f64 / 1_000.0
    }

    /// Returns the burst, in requests.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "bursts are far below 2^52")]
    pub fn burst(&self) -> f64 {
        self.burst_milli as f64 / 1_000.0
    }

    /// Returns the tokens that `parts` of the rate add in a millisecond, in nanotokens.
    pub(crate) fn nano_per_ms(&self, parts: u64) -> u128 {
        u128::from(self.rate_milli) * u128::from(parts) * 1_000 / u128::from(FULL_SHARE)
    }

    /// Returns `parts` of the burst, in nanotokens.
    pub(crate) fn burst_nano(&self, parts: u64) -> u128 {
        u128::from(self.burst_milli) * u128::from(parts) * NANO_PER_MILLI / u128::from(FULL_SHARE)
    }
}

/// Converts to thousandths, rounded down; a negative amount or NaN becomes zero.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a saturating cast is intended"
)]
fn milli(amount: f64) -> u64 {
    (amount * 1_000.0) as u64
}
