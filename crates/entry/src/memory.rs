//! Memory for request bodies, bounded over all callers.

use std::cell::Cell;
use std::rc::Rc;

/// Part of the process's memory that bodies may take, in percent.
const BODIES_PERCENT: u64 = 40;

/// Memory for bodies.
#[derive(Debug, Clone)]
pub struct Room {
    held: Rc<Cell<u64>>,
    most: u64,
}

/// Memory that one body holds until dropped.
#[derive(Debug)]
pub struct Held {
    room: Room,
    bytes: u64,
}

impl Room {
    /// Creates the room of a process with `memory_bytes` of memory.
    #[must_use]
    pub fn new(memory_bytes: u64) -> Self {
        Self {
            held: Rc::default(),
            most: memory_bytes / 100 * BODIES_PERCENT,
        }
    }

    /// Returns an empty hold.
    #[must_use]
    pub fn hold(&self) -> Held {
        Held {
            room: self.clone(),
            bytes: 0,
        }
    }
}

impl Held {
    /// Holds at least `bytes`; returns false if there is no room for them.
    pub fn grow_to(&mut self, bytes: u64) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let held = self.room.held.get() + more;
        if held > self.room.most {
            return false;
        }
        self.room.held.set(held);
        self.bytes += more;
        true
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.room.held.set(self.room.held.get() - self.bytes);
    }
}
