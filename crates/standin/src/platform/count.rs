//! Counts of the calls that the platform has answered or dropped.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

/// The kind that a call is counted as.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A read that does not wait.
    Read,
    /// A write or deletion of keys.
    Write,
    /// A blocking read, counted once when it starts.
    Watch,
    /// A creation, renewal or end of a session.
    Lease,
}

/// Calls by kind since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Reads that do not wait.
    pub read: u64,
    /// Writes and deletions of keys.
    pub write: u64,
    /// Blocking reads.
    pub watch: u64,
    /// Calls about sessions.
    pub lease: u64,
}

/// Shared counters behind [`Counts`].
#[derive(Debug, Default)]
pub(crate) struct Counters {
    read: AtomicU64,
    write: AtomicU64,
    watch: AtomicU64,
    lease: AtomicU64,
}

impl Counters {
    pub(crate) fn add(&self, kind: Kind) {
        let counter = match kind {
            Kind::Read => &self.read,
            Kind::Write => &self.write,
            Kind::Watch => &self.watch,
            Kind::Lease => &self.lease,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn get(&self) -> Counts {
        Counts {
            read: self.read.load(Ordering::Relaxed),
            write: self.write.load(Ordering::Relaxed),
            watch: self.watch.load(Ordering::Relaxed),
            lease: self.lease.load(Ordering::Relaxed),
        }
    }
}
