//! Addresses that a process must not connect to.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

/// A set of addresses that the process must not connect to; empty unless a test or a drill adds
/// addresses. Clones share one set.
#[derive(Debug, Clone, Default)]
pub struct Denylist {
    denied: Arc<RwLock<HashSet<SocketAddr>>>,
}

impl Denylist {
    /// Creates an empty denylist.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the process may connect to `addr`.
    #[must_use]
    pub fn allows(&self, addr: SocketAddr) -> bool {
        let denied = self.denied.read().unwrap_or_else(PoisonError::into_inner);
        !denied.contains(&addr)
    }

    /// Denies connections to `addrs`.
    pub fn deny(&self, addrs: impl IntoIterator<Item = SocketAddr>) {
        let mut denied = self.denied.write().unwrap_or_else(PoisonError::into_inner);
        denied.extend(addrs);
    }

    /// Removes all addresses.
    pub fn allow_all(&self) {
        let mut denied = self.denied.write().unwrap_or_else(PoisonError::into_inner);
        denied.clear();
    }
}
