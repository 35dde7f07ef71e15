//! Budget for spilled requests, which a gate sends to another zone than planned because the planned
//! one is full.

use timer::Moment;

/// Share of the shift cap that plans reserve for spilled requests of gates.
pub const SHARE_OF_SHIFT_CAP: f64 = 0.3;

/// Budget of spilled requests: a share of one service's requests at this gate per window. The sum
/// over all gates is then below the same share of the service's traffic.
#[derive(Debug, Clone)]
pub struct Budget {
    window_ms: u64,
    /// Maximum share of spilled requests, from zero to one.
    share: f64,
    window_start: Moment,
    /// Requests in the previous and the current window.
    requests: [u32; 2],
    /// Spilled requests in the previous and the current window.
    spilled: [u32; 2],
}

impl Budget {
    /// Creates a budget for windows of `window_ms` milliseconds, with a shift cap of `cap_percent`
    /// percent per window.
    #[must_use]
    pub fn new(window_ms: u64, cap_percent: f64) -> Self {
        Self {
            window_ms: window_ms.max(1),
            share: cap_percent / 100.0 * SHARE_OF_SHIFT_CAP,
            window_start: Moment::default(),
            requests: [0; 2],
            spilled: [0; 2],
        }
    }

    /// Counts a request.
    pub fn note_request(&mut self, now: Moment) {
        self.advance(now);
        self.requests[1] = self.requests[1].saturating_add(1);
    }

    /// Takes the budget for one spilled request; returns false if none remains. The spilled
    /// requests of the previous and the current window together stay within the share of the
    /// previous window's requests.
    pub fn take(&mut self, now: Moment) -> bool {
        self.advance(now);
        let max = f64::from(self.requests[0]) * self.share;
        let sum = self.spilled[0].saturating_add(self.spilled[1]);
        let allowed = f64::from(sum) + 1.0 <= max;
        if allowed {
            self.spilled[1] += 1;
        }
        allowed
    }

    fn advance(&mut self, now: Moment) {
        let elapsed_ms = now.ms_since(self.window_start);
        if elapsed_ms < self.window_ms {
            return;
        }
        let is_next = elapsed_ms < 2 * self.window_ms;
        let shift = |counts: [u32; 2]| if is_next { [counts[1], 0] } else { [0, 0] };
        self.requests = shift(self.requests);
        self.spilled = shift(self.spilled);
        let windows = elapsed_ms / self.window_ms;
        self.window_start = self.window_start.plus_ms(windows * self.window_ms);
    }
}
