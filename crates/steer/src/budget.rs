//! Retry budget of a service.
//!
//! Load pattern: a service fails under load, and retries of the failed requests add to that load. The
//! retries of all entry VMs are limited to a ratio of the requests plus a constant. Each VM uses its
//! even share of the constant, so that no coordination is needed.

use std::time::{Duration, Instant};

use crate::window::{Window, to_f64};

/// Ratio of the fleet's limit that is used, so that the limit also holds if it is checked over other
/// windows than the ones counted here.
const MARGIN: f64 = 0.7;

/// Limit on the retries of one service, over all entry VMs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Span of time over which the limit holds.
    pub window: Duration,
    /// Retries per request.
    pub ratio: f64,
    /// Retries beyond that ratio.
    pub extra: f64,
}

/// Retry budget of one entry VM for one service.
#[derive(Debug)]
pub struct Budget {
    limit: Limit,
    requests: Window,
    retries: Window,
}

impl Budget {
    /// Creates an unused budget.
    #[must_use]
    pub fn new(limit: Limit) -> Self {
        Self {
            limit,
            requests: Window::new(limit.window),
            retries: Window::new(limit.window),
        }
    }

    /// Counts a caller's request to the service.
    pub fn note_request(&mut self, now: Instant) {
        self.requests.note(now);
    }

    /// Sets the limit; the window stays the same.
    pub fn set_limit(&mut self, limit: Limit) {
        self.limit = limit;
    }

    /// Takes one retry out of the budget, as one of `vms` entry VMs. Returns false if the budget is
    /// used up.
    pub fn take(&mut self, vms: usize, now: Instant) -> bool {
        let max = self.max_retries(vms, now);
        if self.retries.count(now) + 1.0 > max {
            return false;
        }
        self.retries.note(now);
        true
    }

    fn max_retries(&mut self, vms: usize, now: Instant) -> f64 {
        let requests = self.requests.count(now);
        let extra = self.limit.extra / to_f64(vms.max(1));
        MARGIN * (self.limit.ratio * requests + extra)
    }
}
