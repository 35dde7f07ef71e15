//! Share of an allowance that a VM's requests need.

use std::collections::VecDeque;

use timer::Moment;
use wire::lend::FULL_SHARE;

use crate::allowance::Allowance;

/// Length of a counting slot, in milliseconds.
const SLOT_MS: u64 = 250;

/// Number of slots over which a rate is averaged.
const RATE_SLOTS: usize = 4;

/// Length of [`RATE_SLOTS`] slots, in seconds.
const RATE_WINDOW_S: f64 = 1.0;

/// Number of slots that are kept.
const MAX_SLOTS: usize = 8;

/// Addition to the highest measured rate, in percent.
const HEADROOM_PERCENT: f64 = 25.0;

/// Smallest burst to request when there is any demand, in requests.
const MIN_BURST: f64 = 2.0;

/// Counts of recent requests, whether admitted or not.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    /// Requests per slot, the current one last; at most [`MAX_SLOTS`].
    slots: VecDeque<u32>,
    /// Number of the current slot, counted from the clock's origin.
    current: u64,
}

impl Demand {
    /// Creates a demand without requests.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request at `now`.
    pub fn count(&mut self, now: Moment) {
        self.advance(now);
        if let Some(last) = self.slots.back_mut() {
            *last = last.saturating_add(1);
        }
    }

    /// Returns the parts of `allowance` that would admit all requests, plus headroom.
    #[must_use]
    pub fn wanted(&mut self, allowance: &Allowance, now: Moment) -> u64 {
        self.advance(now);
        let rate = self.peak_rate();
        if rate == 0.0 {
            return 0;
        }
        let for_rate = rate * (1.0 + HEADROOM_PERCENT / 100.0) / allowance.rate();
        let for_burst = MIN_BURST / allowance.burst();
        parts(for_rate.max(for_burst))
    }

    /// Returns the highest rate over [`RATE_SLOTS`] consecutive slots, in requests per second.
    fn peak_rate(&self) -> f64 {
        let sums = (0..self.slots.len()).map(|start| {
            let slots = self.slots.range(start..).take(RATE_SLOTS);
            slots.copied().map(f64::from).sum::<f64>()
        });
        let max_requests = sums.fold(0.0, f64::max);
        max_requests / RATE_WINDOW_S
    }

    fn advance(&mut self, now: Moment) {
        let slot = now.0 / SLOT_MS;
        let elapsed_slots = slot.saturating_sub(self.current);
        self.current = self.current.max(slot);
        for _ in 0..elapsed_slots.min(MAX_SLOTS as u64) {
            self.slots.push_back(0);
        }
        while self.slots.len() > MAX_SLOTS {
            self.slots.pop_front();
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "between zero and FULL_SHARE"
)]
fn parts(fraction: f64) -> u64 {
    (fraction.clamp(0.0, 1.0) * FULL_SHARE as f64) as u64
}
