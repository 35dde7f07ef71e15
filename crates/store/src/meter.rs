//! Budget and counts that the clients of one daemon share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use timer::Service;

use crate::budget::{Budget, Kind};
use crate::client::StoreError;
use crate::purpose::Purpose;

/// Longest time that a call waits for its budget, in milliseconds.
const MAX_WAIT_MS: u64 = 2_000;

/// Calls of one purpose since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Reads, blocking ones included.
    pub reads: u64,
    /// Writes and calls about sessions.
    pub writes: u64,
    /// Calls among these that failed.
    pub failures: u64,
    /// Calls that were not made, for lack of budget.
    pub throttled: u64,
    /// Bytes of bodies sent and received.
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

/// Budget and counts of one daemon's calls to the platform.
#[derive(Debug)]
pub struct Meter {
    timer: Service,
    budget: Mutex<Budget>,
    counters: [Counter; Purpose::ALL.len()],
}

impl Meter {
    /// Creates a meter with full budgets and no calls.
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

    /// Waits until a call is within the budget and counts it.
    ///
    /// # Errors
    ///
    /// Fails without a call if the budget would not allow one soon.
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
    pub(crate) fn note(&self, purpose: Purpose, answered: bool, bytes: usize) {
        let counter = &self.counters[purpose.index()];
        counter.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        if !answered {
            counter.failures.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn take(&self, purpose: Purpose, kind: Kind) -> Result<(), u64> {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.take(purpose, kind, self.timer.now())
    }
}
