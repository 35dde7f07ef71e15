//! Registrations of backend servers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Name of a backend server.
pub type ServerId = Rc<str>;

/// A backend server's registration.
#[derive(Debug, Clone, PartialEq)]
pub struct Registration {
    /// Service that the server runs.
    pub service: String,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests that the server runs concurrently; at least 1.
    pub slots: u32,
    /// Whether the server accepts new requests.
    pub phase: Phase,
    /// Remaining time for which the server is cold. It can be added to the present time.
    pub warmup_remaining: Duration,
    /// Sequence number of the heartbeat within the incarnation.
    pub sequence: u64,
    /// Start of the incarnation, in milliseconds since the Unix epoch.
    pub born_ms: u64,
}

/// Whether a backend server accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It accepts new requests.
    Ready,
    /// It only finishes its running requests.
    Draining,
}

/// A backend server in the roster.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    /// Name.
    pub id: ServerId,
    /// Latest registration.
    pub registration: Registration,
}

impl Registration {
    /// Returns whether `self` is a later heartbeat than `earlier` of the same server.
    #[must_use]
    pub fn is_newer_than(&self, earlier: &Self) -> bool {
        (self.born_ms, self.sequence) > (earlier.born_ms, earlier.sequence)
    }

    /// Returns whether a VM that knows `earlier`, an earlier heartbeat of the same incarnation, learns
    /// anything to act on. Each heartbeat of a cold server tells anew until when it is cold.
    #[must_use]
    pub fn has_news_beyond(&self, earlier: &Self) -> bool {
        let is_warm = |registration: &Self| registration.warmup_remaining.is_zero();
        let unchanged = Self {
            sequence: self.sequence,
            ..earlier.clone()
        };
        !is_warm(self) || !is_warm(earlier) || *self != unchanged
    }
}
