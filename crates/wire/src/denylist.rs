//! Which addresses a process may dial.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

/// A set of addresses that must not be dialled; empty unless a test or drill fills it.
/// Clones share one set.
#[derive(Debug, Clone, Default)]
pub struct Denylist {
    denied: Arc<RwLock<HashSet<SocketAddr>>>,
}

impl Denylist {
    /// Creates a set that denies nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether `addr` may be dialled.
    #[must_use]
    pub fn allows(&self, addr: SocketAddr) -> bool {
        let denied = self.denied.read().unwrap_or_else(PoisonError::into_inner);
        !denied.contains(&addr)
    }

    /// Denies `addrs` from now on.
    pub fn deny(&self, addrs: impl IntoIterator<Item = SocketAddr>) {
        let mut denied = self.denied.write().unwrap_or_else(PoisonError::into_inner);
        denied.extend(addrs);
    }

    /// Allows every address again.
    pub fn allow_all(&self) {
        let mut denied = self.denied.write().unwrap_or_else(PoisonError::into_inner);
        denied.clear();
    }
}
