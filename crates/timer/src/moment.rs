//! Points in monotonic time.

use std::time::Duration;

/// Milliseconds on a monotonic clock with an arbitrary origin per process.
///
/// Moments of different processes are not comparable; messages carry ages instead.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(pub u64);

impl Moment {
    /// Returns the moment `ms` milliseconds later.
    #[must_use]
    pub fn plus_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Returns the moment `ms` milliseconds earlier, but not before the clock's origin.
    #[must_use]
    pub fn minus_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_sub(ms))
    }

    /// Returns the milliseconds since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub fn ms_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time remaining until `later`, or zero if it has passed.
    #[must_use]
    pub fn until(self, later: Self) -> Duration {
        Duration::from_millis(later.ms_since(self))
    }
}
