//! Virtual time and the queue of pending events.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Pending events, ordered by time; events at the same time keep the order in which they were
/// added.
#[derive(Debug)]
pub struct Schedule<E> {
    start: Instant,
    now: Duration,
    added: u64,
    pending: BTreeMap<(Duration, u64), E>,
}

impl<E> Schedule<E> {
    /// Creates an empty schedule at time zero.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            now: Duration::ZERO,
            added: 0,
            pending: BTreeMap::new(),
        }
    }

    /// Returns the virtual time since the start.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Returns the current virtual time as an [`Instant`] for the placement code.
    #[must_use]
    pub fn instant(&self) -> Instant {
        self.start + self.now
    }

    /// Adds an event that is due after `delay`.
    pub fn add(&mut self, delay: Duration, event: E) {
        self.pending.insert((self.now + delay, self.added), event);
        self.added += 1;
    }

    /// Advances the time to the next event and returns it.
    pub fn advance(&mut self) -> Option<E> {
        let ((at, _), event) = self.pending.pop_first()?;
        self.now = at;
        Some(event)
    }
}

impl<E> Default for Schedule<E> {
    fn default() -> Self {
        Self::new()
    }
}
