//! When a VM gives up waiting for parts of a large value.

use std::cell::Cell;
use std::time::{Duration, Instant};

use rand::Rng as _;

use crate::state::State;

/// Number of requests without a needed part after which a later version is fetched instead.
const MAX_BARREN: u32 = 12;

/// Time without a needed part after which the store is asked for the whole value, and the longest pause
/// between two such calls.
const STORE_AFTER: Duration = Duration::from_millis(1_500);
const MAX_STORE_PAUSE: Duration = Duration::from_secs(8);

/// Number of calls up to which the pause doubles.
const MAX_DOUBLINGS: u32 = 4;

/// How long parts have been missing.
#[derive(Debug, Default)]
pub struct Patience {
    /// Requests since one brought a needed part.
    barren: Cell<u32>,
    /// When the store is asked for the whole value.
    next_call: Cell<Option<Instant>>,
    /// Calls to the store since a part arrived.
    calls: Cell<u32>,
}

impl Patience {
    /// Records that what was missing is there.
    pub fn note_progress(&self) {
        self.barren.set(0);
        self.calls.set(0);
        self.next_call.set(None);
    }

    /// Records that another VM has what is missing, so the store need not send it.
    pub fn note_busy(&self) {
        self.next_call.set(None);
    }

    /// Records that a request brought no needed part.
    pub fn note_barren(&self, state: &State) {
        self.barren.set(self.barren.get() + 1);
        if self.barren.get() >= MAX_BARREN && state.bulk.values.borrow_mut().skip() {
            self.note_progress();
        }
    }

    /// Returns whether the store is to be asked now.
    pub fn is_over(&self) -> bool {
        let now = Instant::now();
        let next_call = self.next_call.get().unwrap_or(now + STORE_AFTER);
        self.next_call.set(Some(next_call));
        now >= next_call
    }

    /// Records that the store is being asked.
    pub fn note_call(&self) {
        let pause = STORE_AFTER * 2_u32.pow(self.calls.get().min(MAX_DOUBLINGS));
        let pause = pause.min(MAX_STORE_PAUSE);
        self.calls.set(self.calls.get() + 1);
        let pause = pause.mul_f64(rand::rng().random_range(0.5..1.0));
        self.next_call.set(Some(Instant::now() + pause));
    }
}
