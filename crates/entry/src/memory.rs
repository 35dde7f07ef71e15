//! Memory for request bodies, limited over all callers.

use std::cell::Cell;
use std::rc::Rc;

/// Percentage of the process's memory that bodies may use.
const BODIES_PERCENT: u64 = 40;

/// Memory shared by all bodies.
#[derive(Debug, Clone)]
pub struct Pool {
    used_bytes: Rc<Cell<u64>>,
    max_bytes: u64,
}

/// Memory reserved for one body until dropped.
#[derive(Debug)]
pub struct Reservation {
    pool: Pool,
    bytes: u64,
}

impl Pool {
    /// Creates the pool of a process with `memory_bytes` of memory.
    #[must_use]
    pub fn new(memory_bytes: u64) -> Self {
        Self {
            used_bytes: Rc::default(),
            max_bytes: memory_bytes / 100 * BODIES_PERCENT,
        }
    }

    /// Returns an empty reservation.
    #[must_use]
    pub fn reservation(&self) -> Reservation {
        Reservation {
            pool: self.clone(),
            bytes: 0,
        }
    }
}

impl Reservation {
    /// Grows the reservation to at least `bytes`; returns false if the pool has too little
    /// capacity.
    pub fn grow_to(&mut self, bytes: u64) -> bool {
        let additional = bytes.saturating_sub(self.bytes);
        let used_bytes = self.pool.used_bytes.get() + additional;
        if used_bytes > self.pool.max_bytes {
            return false;
        }
        self.pool.used_bytes.set(used_bytes);
        self.bytes += additional;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.pool
            .used_bytes
            .set(self.pool.used_bytes.get() - self.bytes);
    }
}
