//! The term of a leader.

use timer::Moment;

/// The lease of a leader, as seen by the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderTerm {
    /// Epoch of the lease; a later leader has a higher epoch.
    pub epoch: u64,
    /// Expiry of the lease, counted from the moment at which it was requested.
    pub until: Moment,
}

impl LeaderTerm {
    /// Returns whether the leader may still grant shares at `now`.
    #[must_use]
    pub fn holds(&self, now: Moment) -> bool {
        now < self.until
    }
}
