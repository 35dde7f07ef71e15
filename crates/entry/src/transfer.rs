//! Progress of the responses that bring the store's state to this VM, from the store and from other entry
//! VMs: how large they are, how long they take and how old what they bring is.

use std::cell::Cell;
use std::time::Instant;

use event::Event;
use tokio::sync::Notify;

use crate::snapshot::to_millis;
use crate::state::State;

/// Size from which on a response is logged, and counts as large, in bytes.
pub const LARGE_BYTES: u64 = 64 << 10;

/// Progress of one response.
#[derive(Debug)]
pub struct Progress {
    started: Instant,
    expected: Cell<u64>,
    received: Cell<u64>,
    is_large: Notify,
}

impl Default for Progress {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            expected: Cell::new(0),
            received: Cell::new(0),
            is_large: Notify::new(),
        }
    }
}

impl Progress {
    /// Records that the response's body will have `bytes` bytes.
    pub fn note_expected(&self, bytes: u64) {
        self.expected.set(bytes);
        self.notify();
    }

    /// Records that `bytes` bytes of the response's body have arrived so far.
    pub fn note_received(&self, bytes: u64) {
        self.received.set(bytes);
        self.notify();
    }

    fn notify(&self) {
        if self.expected.get().max(self.received.get()) >= LARGE_BYTES {
            self.is_large.notify_one();
        }
    }

    /// Waits until the response is known to be large.
    pub async fn large(&self) {
        self.is_large.notified().await;
    }
}

/// What a response is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// All keys of the store.
    Listing,
    /// Changes of the store.
    Changes,
    /// The state of another entry VM.
    Snapshot,
    /// Parts of a large value, from another entry VM.
    Parts,
    /// One key of the store.
    Key,
}

impl Purpose {
    fn name(self) -> &'static str {
        match self {
            Self::Listing => "listing",
            Self::Changes => "changes",
            Self::Snapshot => "snapshot",
            Self::Parts => "parts",
            Self::Key => "key",
        }
    }
}

impl State {
    /// Records a response that ended. `source` is who sent it, `age_ms` the age of the state in it, if it is
    /// complete.
    pub fn note_transfer(
        &self,
        purpose: Purpose,
        source: &str,
        progress: &Progress,
        age_ms: Option<u64>,
    ) {
        let bytes = progress.received.get();
        let elapsed = progress.started.elapsed();
        let is_complete = age_ms.is_some();
        self.metrics
            .note_transfer(purpose.name(), is_complete, bytes, elapsed);
        if is_complete && bytes < LARGE_BYTES {
            return;
        }
        event::emit(&Event::TransferEnded {
            purpose: purpose.name().to_owned(),
            source: source.to_owned(),
            complete: is_complete,
            bytes,
            expected: progress.expected.get(),
            ms: to_millis(elapsed),
            age_ms: age_ms.unwrap_or_default(),
        });
    }
}
