//! Estimated load of a backend server: requests of this entry VM and of the others.
//!
//! Load pattern: many entry VMs share a server's slots without coordination. If the server reports
//! its load in responses, the others' part of the report is used, with a weight that decays as the
//! report ages; what other entry VMs were told counts like what this one was told, see
//! [`crate::pressure`]. Otherwise every other VM that uses the server is assumed to have as many requests there
//! as this VM has on average.

use std::time::{Duration, Instant};

use crate::mean::Mean;
use crate::pressure::{Level, MAX_AGE};

/// Time for which a reported load has full weight, and half-life of the weight afterwards.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(500);

/// Estimated load of one backend server.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    own: u32,
    mean: Mean,
    reported: Option<Reported>,
    slowdown: Option<Slowdown>,
}

/// Load that a server reported.
#[derive(Debug, Clone, Copy)]
struct Reported {
    /// Requests of other entry VMs.
    others: f64,
    at: Instant,
}

/// How long work takes on the server's machine, as it reported.
#[derive(Debug, Clone, Copy)]
struct Slowdown {
    /// Compared with the usual time.
    factor: f64,
    at: Instant,
}

impl Load {
    /// Creates the estimate for a server without requests.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            own: 0,
            mean: Mean::new(now),
            reported: None,
            slowdown: None,
        }
    }

    /// Counts a request of this entry VM that starts.
    pub fn begin(&mut self, now: Instant) {
        self.count(1, now);
    }

    /// Counts a request of this entry VM that has ended.
    pub fn end(&mut self, now: Instant) {
        self.count(-1, now);
    }

    fn count(&mut self, change: i32, now: Instant) {
        self.mean = self.mean.after(self.own, now);
        self.own = self.own.saturating_add_signed(change);
    }

    /// Records the load reported in a response: running and waiting requests. The request of that
    /// response is still counted as one of this entry VM.
    pub fn note_reported(&mut self, running: u32, waiting: u32, now: Instant) {
        let own = f64::from(self.own.saturating_sub(1));
        let others = (f64::from(running) + f64::from(waiting) - own).max(0.0);
        self.reported = Some(Reported { others, at: now });
    }

    /// Records the slowdown reported in a response.
    pub fn note_slowdown(&mut self, factor: f64, now: Instant) {
        self.slowdown = Some(Slowdown { factor, at: now });
    }

    /// Records what a response to another entry VM reported at `at`: requests running and waiting, and the
    /// slowdown. What is known from a later response stays.
    ///
    /// How many of the requests were this VM's is not known. The lower of their mean and their current number
    /// is assumed: neither a request sent after that response nor one that has ended is taken off.
    pub fn note_shared(&mut self, requests: f64, slowdown: f64, at: Instant, now: Instant) {
        if self.reported.is_none_or(|reported| reported.at < at) {
            let mean = self.mean.after(self.own, now).value();
            let others = (requests - mean.min(f64::from(self.own))).max(0.0);
            self.reported = Some(Reported { others, at });
        }
        if self.slowdown.is_none_or(|known| known.at < at) {
            let factor = slowdown;
            self.slowdown = Some(Slowdown { factor, at });
        }
    }

    /// Returns how long work takes on the server's machine now, compared with the usual time.
    #[must_use]
    pub fn slowdown(&self, now: Instant) -> f64 {
        let Some(slowdown) = self.fresh_slowdown(now) else {
            return 1.0;
        };
        (slowdown.factor - 1.0).mul_add(weight(now.saturating_duration_since(slowdown.at)), 1.0)
    }

    fn fresh_slowdown(&self, now: Instant) -> Option<Slowdown> {
        let is_fresh = |known: &Slowdown| now.saturating_duration_since(known.at) < MAX_AGE;
        self.slowdown.filter(is_fresh)
    }

    /// Returns whether the server, with `slots`, is under pressure, as far as its recent reports tell. Only
    /// servers that report their slowdown count.
    #[must_use]
    pub fn is_under_pressure(&self, slots: f64, now: Instant) -> bool {
        let Some(slowdown) = self.fresh_slowdown(now) else {
            return false;
        };
        let requests = f64::from(self.own) + self.reported.map_or(0.0, |r| r.others(now));
        Level::new(requests / slots.max(1.0), slowdown.factor).is_pressure()
    }

    /// Returns the estimated number of requests at the server. `users` returns the number of entry
    /// VMs that use the server; it is called only if the server does not report its load.
    #[must_use]
    pub fn estimate(&self, users: impl FnOnce() -> f64, now: Instant) -> f64 {
        let own = f64::from(self.own);
        match self.reported {
            Some(reported) => own + reported.others(now),
            None => (users() - 1.0).mul_add(self.mean.after(self.own, now).value(), own),
        }
    }
}

impl Reported {
    fn others(&self, now: Instant) -> f64 {
        self.others * weight(now.saturating_duration_since(self.at))
    }
}

/// Returns the weight of what a server reported, `age` after the response.
pub(crate) fn weight(age: Duration) -> f64 {
    let decaying = age.saturating_sub(REPORT_HALF_LIFE);
    let half_lives = decaying.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
    0.5_f64.powf(half_lives)
}
