//! What an entry VM believes a backend server to have: its own requests there, and those of the
//! others.
//!
//! Answers slots that many entry VMs share without asking each other. Servers that tell their load
//! with each answer are believed, less and less as the word grows old. From one that does not, a
//! VM takes its own mean there to be that of each other VM that uses it.

use std::time::{Duration, Instant};

use crate::mean::Mean;

/// Time for which a told load counts in full, and then again by half.
const TOLD_FULL: Duration = Duration::from_millis(500);

/// Load of one backend server.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    own: u32,
    mean: Mean,
    told: Option<Told>,
}

/// Load that a server told.
#[derive(Debug, Clone, Copy)]
struct Told {
    /// Requests of other entry VMs.
    others: f64,
    at: Instant,
}

impl Load {
    /// Creates the load of a server without requests.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            own: 0,
            mean: Mean::new(now),
            told: None,
        }
    }

    /// Counts a request of this entry VM that begins.
    pub fn begin(&mut self, now: Instant) {
        self.count(1, now);
    }

    /// Counts a request of this entry VM that has ended.
    pub fn end(&mut self, now: Instant) {
        self.count(-1, now);
    }

    fn count(&mut self, more: i32, now: Instant) {
        self.mean = self.mean.after(self.own, now);
        self.own = self.own.saturating_add_signed(more);
    }

    /// Takes the load that an answer told: requests running and waiting. The answered request is
    /// still counted here.
    pub fn note_reported(&mut self, running: u32, waiting: u32, now: Instant) {
        let own = f64::from(self.own.saturating_sub(1));
        let others = (f64::from(running + waiting) - own).max(0.0);
        self.told = Some(Told { others, at: now });
    }

    /// Returns the requests that the server is believed to have. `users` counts the entry VMs that
    /// use it; it is asked only if the server does not tell.
    #[must_use]
    pub fn estimate(&self, users: impl FnOnce() -> f64, now: Instant) -> f64 {
        let own = f64::from(self.own);
        match self.told {
            Some(told) => own + told.others(now),
            None => (users() - 1.0).mul_add(self.mean.after(self.own, now).value(), own),
        }
    }
}

impl Told {
    fn others(&self, now: Instant) -> f64 {
        let beyond = now.duration_since(self.at).saturating_sub(TOLD_FULL);
        let halvings = beyond.as_secs_f64() / TOLD_FULL.as_secs_f64();
        self.others * 0.5_f64.powf(halvings)
    }
}
