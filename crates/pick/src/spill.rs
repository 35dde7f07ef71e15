//! Requests that a gate sends to another zone than planned because the planned one is full.

use timer::Moment;

/// Share of the cap on shifts that plans leave to gates.
pub const SHARE_OF_SHIFT_CAP: f64 = 0.3;

/// Budget of requests sent elsewhere than planned: a share of one service's requests at this
/// gate per window. Over all gates it stays below the same share of the service's traffic.
#[derive(Debug, Clone)]
pub struct Budget {
    window_ms: u64,
    /// Largest share of requests, from zero to one.
    share: f64,
    began: Moment,
    /// Requests in this window and the one before.
    requests: [u32; 2],
    /// Requests sent elsewhere in this window and the one before.
    spilled: [u32; 2],
}

impl Budget {
    /// Creates a budget for windows of `window_ms` milliseconds, under a cap on shifts of
    /// `cap_percent` percent per window.
    #[must_use]
    pub fn new(window_ms: u64, cap_percent: f64) -> Self {
        Self {
            window_ms: window_ms.max(1),
            share: cap_percent / 100.0 * SHARE_OF_SHIFT_CAP,
            began: Moment::default(),
            requests: [0; 2],
            spilled: [0; 2],
        }
    }

    /// Counts a request.
    pub fn note_request(&mut self, now: Moment) {
        self.turn(now);
        self.requests[1] = self.requests[1].saturating_add(1);
    }

    /// Takes room for a request to be sent elsewhere. Two neighbouring windows together stay
    /// within what the window before allows.
    pub fn take(&mut self, now: Moment) -> bool {
        self.turn(now);
        let most = f64::from(self.requests[0]) * self.share;
        let sum = self.spilled[0].saturating_add(self.spilled[1]);
        let allowed = f64::from(sum) + 1.0 <= most;
        if allowed {
            self.spilled[1] += 1;
        }
        allowed
    }

    fn turn(&mut self, now: Moment) {
        let elapsed_ms = now.ms_since(self.began);
        if elapsed_ms < self.window_ms {
            return;
        }
        let next = elapsed_ms < 2 * self.window_ms;
        let last = |counts: [u32; 2]| if next { [counts[1], 0] } else { [0, 0] };
        self.requests = last(self.requests);
        self.spilled = last(self.spilled);
        let windows = elapsed_ms / self.window_ms;
        self.began = self.began.plus_ms(windows * self.window_ms);
    }
}
