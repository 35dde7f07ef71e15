//! Call budget and call counts shared by the clients of one daemon.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use timer::Service;

use crate::budget::{Budget, Kind};
use crate::client::StoreError;
use crate::purpose::Purpose;

/// Maximum time that a call waits for its budget, in milliseconds.
const MAX_WAIT_MS: u64 = 2_000;

/// Call counts of one purpose since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Reads, including blocking queries.
    pub reads: u64,
    /// Writes and session calls.
    pub writes: u64,
    /// Reads and writes that failed.
    pub failures: u64,
    /// Calls that were not made because the budget was exhausted.
    pub throttled: u64,
    /// Bytes of request and response bodies.
    pub bytes: u64,
}

#[derive(Debug, Default)]
struct Counter {
    reads: AtomicU64,
    writes: AtomicU64,
    failures: AtomicU64,
    throttled: AtomicU64,
    bytes: AtomicU64,
}

/// Limits and counts the calls of one daemon to the platform.
#[derive(Debug)]
pub struct Meter {
    timer: Service,
    budget: Mutex<Budget>,
    counters: [Counter; Purpose::ALL.len()],
}

impl Meter {
    /// Creates a meter with a full budget and all counts at zero.
    #[must_use]
    pub fn new(timer: Service) -> Self {
        Self {
            budget: Mutex::new(Budget::new(timer.now())),
            timer,
            counters: Default::default(),
        }
    }

    /// Returns the counts of `purpose`.
    #[must_use]
    pub fn count(&self, purpose: Purpose) -> Count {
        let counter = &self.counters[purpose.index()];
        Count {
            reads: counter.reads.load(Ordering::Relaxed),
            writes: counter.writes.load(Ordering::Relaxed),
            failures: counter.failures.load(Ordering::Relaxed),
            throttled: counter.throttled.load(Ordering::Relaxed),
            bytes: counter.bytes.load(Ordering::Relaxed),
        }
    }

    /// Waits until the budget allows a call and counts the call.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::OverBudget`] if the wait would exceed [`MAX_WAIT_MS`].
    pub(crate) fn admit(&self, purpose: Purpose, kind: Kind) -> Result<(), StoreError> {
        let counter = &self.counters[purpose.index()];
        while let Err(wait_ms) = self.take(purpose, kind) {
            if wait_ms > MAX_WAIT_MS {
                counter.throttled.fetch_add(1, Ordering::Relaxed);
                return Err(StoreError::OverBudget);
            }
            thread::sleep(Duration::from_millis(wait_ms));
        }
        let calls = match kind {
            Kind::Read => &counter.reads,
            Kind::Write => &counter.writes,
        };
        calls.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    /// Counts the outcome of an admitted call.
    pub(crate) fn note(&self, purpose: Purpose, succeeded: bool, bytes: usize) {
        let counter = &self.counters[purpose.index()];
        counter.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        if !succeeded {
            counter.failures.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn take(&self, purpose: Purpose, kind: Kind) -> Result<(), u64> {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.take(purpose, kind, self.timer.now())
    }
}
