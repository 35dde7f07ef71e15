//! The gate's current view of the fleet, read by each request without locks.

use std::sync::Arc;

use key::{KeySet, Verdict};
use timer::Moment;
use wire::keyring::Hash;
use wire::view::{Entry, Versions};

use crate::compiled::Compiled;

/// Maximum age of the key records for accepting a key, in milliseconds.
pub const MAX_KEYS_AGE_MS: u64 = 3_000;

/// An immutable view of the fleet.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Revision of `compiled`; zero before the first.
    pub revision: u64,
    /// The active configuration text.
    pub compiled: Option<Arc<Compiled>>,
    /// Key records.
    pub key_set: Arc<KeySet>,
    /// Latest moment at which the gate knew every key withdrawal.
    pub fresh_at: Option<Moment>,
    /// Entry VMs.
    pub entries: Vec<Entry>,
}

/// Result of a key check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Check {
    /// The key belongs to a workspace.
    Workspace(String),
    /// The key was withdrawn.
    Withdrawn,
    /// The key is unknown.
    Unknown,
    /// The records are too old to decide.
    Stale,
}

impl Snapshot {
    /// Returns the versions of configuration and keys that the gate has.
    #[must_use]
    pub fn versions(&self) -> Versions {
        Versions {
            revision: self.revision,
            keys: self.key_set.digest(),
        }
    }

    /// Checks the key with hash `hash` at `now`.
    #[must_use]
    pub fn check(&self, hash: &Hash, now: Moment) -> Check {
        match self.key_set.check(hash) {
            Verdict::Withdrawn => Check::Withdrawn,
            _ if !self.is_fresh(now) => Check::Stale,
            Verdict::Unknown => Check::Unknown,
            Verdict::Valid { workspace } => Check::Workspace(workspace),
        }
    }

    fn is_fresh(&self, now: Moment) -> bool {
        self.fresh_at
            .is_some_and(|at| now.ms_since(at) <= MAX_KEYS_AGE_MS)
    }
}
