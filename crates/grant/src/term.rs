//! Terms of lent shares, and the margin that a lender adds to them for clock errors.

use timer::Moment;

/// Longest term of a lent share, in milliseconds. A zone that is partitioned for one minute can
/// continue to use its lent shares.
pub const LEND_TERM_MS: u64 = 75_000;

/// Maximum error of a clock's rate, in parts per million.
pub const DRIFT_PPM: u64 = 500;

/// Part of the margin that covers clock granularity, in milliseconds.
const CLOCK_GRANULARITY_MS: u64 = 5;

/// Returns the moment at which all shares lent up to `since` have expired, on the clock from which
/// `since` was read.
#[must_use]
pub fn all_expired_at(since: Moment) -> Moment {
    since.plus_ms(LEND_TERM_MS + margin_ms(LEND_TERM_MS))
}

/// Returns the time after a term of `term_ms` milliseconds, in milliseconds, after which the term
/// has certainly expired on the holder's clock as well.
#[must_use]
pub fn margin_ms(term_ms: u64) -> u64 {
    let relative_ppm = 3 * DRIFT_PPM;
    let drift_ms = (term_ms * relative_ppm).div_ceil(1_000_000);
    drift_ms + CLOCK_GRANULARITY_MS
}
