//! How many requests may be sent to a second backend server.
//!
//! Answers a failing service: if each failed request were sent again, the repeats would add to
//! the load that made it fail. All entry VMs together may repeat a part of the requests and a
//! standing number; each takes its part of that number without asking.

use std::time::{Duration, Instant};

use crate::window::{Window, to_f64};

/// Part of the fleet's bound that is used, so that counting at other moments than the bound's
/// owner does not exceed it.
const MARGIN: f64 = 0.7;

/// Limit on the repeats for one service, over all entry VMs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Span over which it holds.
    pub window: Duration,
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that.
    pub extra: f64,
}

/// Repeats of one entry VM for one service.
#[derive(Debug)]
pub struct Budget {
    bound: Limit,
    requests: Window,
    repeats: Window,
}

impl Budget {
    /// Creates an unused budget.
    #[must_use]
    pub fn new(bound: Limit) -> Self {
        Self {
            bound,
            requests: Window::new(bound.window),
            repeats: Window::new(bound.window),
        }
    }

    /// Counts a request that callers sent for the service.
    pub fn note_request(&mut self, now: Instant) {
        self.requests.note(now);
    }

    /// Puts another bound in force; the window stays as it was.
    pub fn set_limit(&mut self, bound: Limit) {
        self.bound = bound;
    }

    /// Counts a repeat and returns true, or returns false if `vms` entry VMs have no room for it.
    pub fn take(&mut self, vms: usize, now: Instant) -> bool {
        let room = self.room(vms, now);
        if self.repeats.count(now) + 1.0 > room {
            return false;
        }
        self.repeats.note(now);
        true
    }

    fn room(&mut self, vms: usize, now: Instant) -> f64 {
        let requests = self.requests.count(now);
        let extra = self.bound.extra / to_f64(vms.max(1));
        MARGIN * (self.bound.ratio * requests + extra)
    }
}
