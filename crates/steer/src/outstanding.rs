//! Bound on the bytes of request bodies that an entry VM has outstanding at one backend server.
//!
//! Load pattern: large bodies arrive faster than a server works them off, or the server reads slowly. It
//! holds every request that it was sent, also those that wait for a slot, and crashes if they exceed its
//! memory. So bodies beyond the bound wait at the entry VM, first come first served, where their memory is
//! counted. Small bodies are exempt: the number of requests at a server is bounded elsewhere.

use std::collections::VecDeque;

/// Size up to which a body neither counts nor waits, in bytes.
pub const SMALL_BODY_BYTES: u64 = 16 << 10;

/// Memory that a server is assumed to have for each connection that it accepts, in bytes: a usual buffer.
const CONNECTION_BYTES: u64 = 64 << 10;

/// What is known of the servers of a service.
#[derive(Debug, Clone, Copy)]
pub struct Service {
    /// Largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Connections that a server accepts; 0 if that is not known.
    pub max_connections: u64,
    /// Number of entry VMs that send requests to the service.
    pub vms: u64,
}

impl Service {
    /// Returns the bytes of bodies that one entry VM may have outstanding at a server with `slots`: its
    /// even share of what the server has to be able to hold, which is the largest body for each slot.
    /// Bodies that wait for a slot wait at the VM.
    #[must_use]
    pub fn max_outstanding(&self, slots: u32) -> u64 {
        let running = self.max_body_bytes.saturating_mul(slots.into());
        let connections = match self.max_connections {
            0 => u64::MAX,
            connections => connections.saturating_mul(CONNECTION_BYTES),
        };
        running.min(connections) / self.vms.max(1)
    }
}

/// A body's place in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket(u64);

/// Bytes of bodies outstanding at one server, and the bodies that wait.
#[derive(Debug, Default)]
pub struct Outstanding {
    bytes: u64,
    queue: VecDeque<Ticket>,
    next: u64,
}

impl Outstanding {
    /// Returns the number of bytes outstanding.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns whether a body of `bytes` may be sent at once, given the bound `max`.
    #[must_use]
    pub fn has_room(&self, bytes: u64, max: u64) -> bool {
        bytes <= SMALL_BODY_BYTES || (self.queue.is_empty() && self.fits(bytes, max))
    }

    /// Adds a body to the queue.
    pub fn enqueue(&mut self) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        self.queue.push_back(ticket);
        ticket
    }

    /// Counts the body of `ticket` as sent if it is the first of the queue and there is room; returns
    /// whether it was counted.
    pub fn begin(&mut self, ticket: Ticket, bytes: u64, max: u64) -> bool {
        if self.queue.front() != Some(&ticket) || !self.fits(bytes, max) {
            return false;
        }
        self.queue.pop_front();
        self.bytes += bytes;
        true
    }

    /// Removes a body that no longer waits from the queue.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.retain(|waiting| *waiting != ticket);
    }

    /// Records that a body of `bytes` is no longer at the server.
    pub fn end(&mut self, bytes: u64) {
        self.bytes = self.bytes.saturating_sub(bytes);
    }

    /// Returns whether a body fits. One always does: a bound smaller than a body must not stop it forever.
    fn fits(&self, bytes: u64, max: u64) -> bool {
        self.bytes == 0 || self.bytes.saturating_add(bytes) <= max
    }
}
