//! A VM's share of an allowance.

use timer::Moment;

/// Parts of a workspace's rate and burst, in parts of [`wire::lend::FULL_SHARE`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Share {
    /// Parts held without a term.
    pub standing: u64,
    /// Parts lent until `until`.
    pub lent: u64,
    /// End of the lent parts' term on this VM's clock.
    pub until: Moment,
}

impl Share {
    /// Creates a share that was lent nothing.
    #[must_use]
    pub fn new(standing: u64) -> Self {
        Self {
            standing,
            ..Self::default()
        }
    }

    /// Adds parts lent until `until`.
    #[must_use]
    pub fn with_lent(mut self, lent: u64, until: Moment) -> Self {
        self.lent = lent;
        self.until = until;
        self
    }

    /// Returns the parts that count at `now`.
    #[must_use]
    pub fn parts(&self, now: Moment) -> u64 {
        let lent = if now < self.until { self.lent } else { 0 };
        self.standing + lent
    }
}
