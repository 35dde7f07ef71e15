//! Backend servers as they register themselves.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Name of a backend server's incarnation.
pub type ServerId = Rc<str>;

/// A backend server's registration.
#[derive(Debug, Clone, PartialEq)]
pub struct Registration {
    /// Service that it runs.
    pub service: String,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests that it runs at once; at least 1.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: Phase,
    /// How much longer it stays cold.
    pub warmup_remaining: Duration,
    /// Number of the heartbeat within the incarnation.
    pub sequence: u64,
    /// Start of the incarnation, in milliseconds since the Unix epoch.
    pub born_ms: u64,
}

/// Whether a backend server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// A backend server in the roster.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    /// Name.
    pub id: ServerId,
    /// Its latest registration.
    pub registration: Registration,
}

impl Registration {
    /// Returns whether `self` comes after `earlier` from the same name.
    #[must_use]
    pub fn is_newer_than(&self, earlier: &Self) -> bool {
        (self.born_ms, self.sequence) > (earlier.born_ms, earlier.sequence)
    }
}
