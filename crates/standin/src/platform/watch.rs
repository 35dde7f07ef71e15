//! The shared data of the platform and the blocking queries on it.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::kv::{Entries, Scope, Store};
use super::vm::List;
use crate::listener::lock;

/// How often a blocking query on the VM list looks again, as the list's lag may change.
const LIST_STEP_MS: u64 = 10;

/// Keys, VM list and the queries that wait for changes.
#[derive(Debug)]
pub struct Data {
    /// Keys and sessions.
    pub store: Store,
    /// VM list.
    pub list: List,
    /// Keys that plain reads show while stale reads are on.
    pub stale: Option<Arc<Entries>>,
    /// Whether queries end without waiting, as the platform is down or stops.
    interrupted: bool,
    waiters: Vec<Waiter>,
}

#[derive(Debug)]
struct Waiter {
    scope: Scope,
    woken: Arc<Condvar>,
}

/// [`Data`] shared between threads.
#[derive(Debug)]
pub struct Shared {
    data: Mutex<Data>,
}

impl Shared {
    /// Empty data.
    pub fn new(now: Instant) -> Self {
        let data = Data {
            store: Store::new(),
            list: List::new(now),
            stale: None,
            interrupted: false,
            waiters: Vec::new(),
        };
        Self {
            data: Mutex::new(data),
        }
    }

    /// Locks the data for reading.
    pub fn lock(&self) -> MutexGuard<'_, Data> {
        lock(&self.data)
    }

    /// Changes the data and wakes the queries that wait for the changed keys.
    pub fn change<T>(&self, change: impl FnOnce(&mut Data) -> T) -> T {
        let mut data = self.lock();
        let outcome = change(&mut data);
        data.wake_changed();
        outcome
    }

    /// Starts or ends an interruption, during which no query waits.
    pub fn set_interrupted(&self, interrupted: bool) {
        let mut data = self.lock();
        if data.interrupted == interrupted {
            return;
        }
        data.interrupted = interrupted;
        for waiter in &data.waiters {
            waiter.woken.notify_all();
        }
    }

    /// Waits until the index of `scope` exceeds `index`, at most until `end`.
    pub fn wait_for_keys(&self, scope: &Scope, index: u64, end: Instant) -> MutexGuard<'_, Data> {
        let mut data = self.lock();
        let woken = Arc::new(Condvar::new());
        data.waiters.push(Waiter {
            scope: scope.clone(),
            woken: Arc::clone(&woken),
        });
        while data.store.index_of(scope) <= index && !data.interrupted {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            data = wait(&woken, data, left);
        }
        data.waiters
            .retain(|waiter| !Arc::ptr_eq(&waiter.woken, &woken));
        data
    }

    /// Waits until the VM list as read exceeds `index`, at most until `end`. `lag` gives the
    /// list's lag in force.
    pub fn wait_for_list(
        &self,
        index: u64,
        end: Instant,
        lag: impl Fn() -> Duration,
    ) -> MutexGuard<'_, Data> {
        let step = Duration::from_millis(LIST_STEP_MS);
        let pause = Condvar::new();
        let mut data = self.lock();
        loop {
            let now = Instant::now();
            let left = end.saturating_duration_since(now);
            let changed = data.list.read(lag(), now).index > index;
            if changed || data.interrupted || left.is_zero() {
                return data;
            }
            data = wait(&pause, data, left.min(step));
        }
    }
}

impl Data {
    fn wake_changed(&mut self) {
        for key in self.store.take_changed() {
            let waiters = self
                .waiters
                .iter()
                .filter(|waiter| waiter.scope.covers(&key));
            for waiter in waiters {
                waiter.woken.notify_all();
            }
        }
    }
}

fn wait<'a>(woken: &Condvar, data: MutexGuard<'a, Data>, left: Duration) -> MutexGuard<'a, Data> {
    let (data, _) = woken
        .wait_timeout(data, left)
        .unwrap_or_else(PoisonError::into_inner);
    data
}
