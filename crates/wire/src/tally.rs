//! Counts the bytes sent and received on a daemon's channels.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Byte counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Bytes {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

#[derive(Debug, Default)]
struct Counter {
    sent: AtomicU64,
    received: AtomicU64,
}

impl Counter {
    fn get(&self) -> Bytes {
        Bytes {
            sent: self.sent.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
        }
    }
}

#[derive(Debug, Default)]
struct Counters {
    peers: Counter,
    gate: Counter,
}

/// Byte counts of one daemon, shared by its channels. Includes frames and handshakes, but not the
/// headers of the network protocols.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    counters: Arc<Counters>,
}

impl Tally {
    /// Creates a tally with all counts at zero.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the traffic with other VMs and operators.
    #[must_use]
    pub fn peers(&self) -> Bytes {
        self.counters.peers.get()
    }

    /// Returns the traffic between the daemons of this VM, which does not cross the network.
    #[must_use]
    pub fn gate(&self) -> Bytes {
        self.counters.gate.get()
    }

    /// Creates the tally of a new channel.
    #[must_use]
    pub fn channel(&self) -> ChannelTally {
        ChannelTally {
            counters: Arc::clone(&self.counters),
            is_gate: Arc::default(),
        }
    }
}

/// Byte counts of one channel, added to the counts of its daemon.
#[derive(Debug, Clone, Default)]
pub struct ChannelTally {
    counters: Arc<Counters>,
    is_gate: Arc<AtomicBool>,
}

impl ChannelTally {
    /// Counts all further bytes as traffic with this VM's gate.
    pub fn mark_gate(&self) {
        self.is_gate.store(true, Ordering::Relaxed);
    }

    pub(crate) fn sent(&self, bytes: usize) {
        self.counter()
            .sent
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn received(&self, bytes: usize) {
        self.counter()
            .received
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn counter(&self) -> &Counter {
        if self.is_gate.load(Ordering::Relaxed) {
            &self.counters.gate
        } else {
            &self.counters.peers
        }
    }
}
