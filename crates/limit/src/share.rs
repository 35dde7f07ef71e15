//! Share of an allowance that a VM may use.

use timer::Moment;

/// Share of a workspace's rate and burst, in parts of [`wire::lend::FULL_SHARE`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Share {
    /// Base share, which has no term.
    pub base: u64,
    /// Lent share, which expires at `lent_expiry`.
    pub lent: u64,
    /// End of the lent share's term on this VM's clock.
    pub lent_expiry: Moment,
}

impl Share {
    /// Creates a share that consists of the base share alone.
    #[must_use]
    pub fn new(base: u64) -> Self {
        Self {
            base,
            ..Self::default()
        }
    }

    /// Adds a lent share, which expires at `expiry`.
    #[must_use]
    pub fn with_lent(mut self, lent: u64, expiry: Moment) -> Self {
        self.lent = lent;
        self.lent_expiry = expiry;
        self
    }

    /// Returns the parts that count at `now`.
    #[must_use]
    pub fn parts(&self, now: Moment) -> u64 {
        let lent = if now < self.lent_expiry { self.lent } else { 0 };
        self.base + lent
    }
}
