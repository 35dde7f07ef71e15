//! Holding workspaces to their rate over all entry VMs.
//!
//! Answers two patterns. A workspace that suddenly sends many times its rate: each entry VM keeps
//! to its part of the rate and of the burst, by its part of the demand, so that the parts sum up to
//! the whole even before the others are heard. Many entry VMs and small workspaces: a part of a
//! burst would be less than one request, so a VM may go beyond it by a few; every entry VM also
//! follows the fleet's token bucket, from which it takes its own requests at once and the others'
//! at the rate that they tell, and a debt of that bucket is paid off before more is admitted. An
//! entry VM that hears of no other uses a small standing share, which the others leave to it.

use std::collections::VecDeque;
use std::time::Instant;

use crate::window::to_f64;

/// Part of a VM's even share that it uses while it hears of no other.
const STANDING: f64 = 0.9;

/// Demand that each VM is taken to have beside its own, as a part of its even share, so that a VM
/// that callers move to can serve them before it has told of them.
const EXPECTED: f64 = 0.5;

/// Time that a process takes at least to start anew, in seconds. It begins with what the rate gives
/// in that time, since it does not know what was admitted before.
const START_S: f64 = 0.5;

/// Weight of the latest interval in the running demand.
const LATEST: f64 = 0.4;

/// Bounds on the least capacity of a VM's own bucket, in requests; a smaller one refuses requests
/// that come at random times within the rate.
const LEAST_BURST: (f64, f64) = (8.0, 16.0);

/// Seconds of a VM's even share that the least capacity holds between those bounds.
const LEAST_BURST_S: f64 = 3.0;

/// Intervals after which the others know of this VM's demand. Its share is worked out from the
/// demand of that time, or all would take their own surge for a larger share before they hear of
/// the others'.
const TOLD_AFTER: usize = 3;

/// Largest debt, in seconds of the rate.
const DEBT_S: f64 = 6.0;

/// A workspace's rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rate {
    /// Requests a second.
    pub per_s: f64,
    /// Requests beyond that which may come at once.
    pub burst: f64,
}

/// What the other entry VMs tell of one workspace, in requests a second, and how many they are.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Peers {
    /// Requests that came there.
    pub demand: f64,
    /// Requests that were admitted there.
    pub admitted: f64,
    /// Entry VMs in all, this one included.
    pub vms: usize,
    /// Entry VMs that are heard of, this one included.
    pub alive: usize,
}

/// One workspace at one entry VM.
#[derive(Debug)]
pub struct Limiter {
    rate: Rate,
    others: Peers,
    /// Tokens in the fleet's bucket; negative after more was admitted than the rate.
    fleet: f64,
    /// Tokens in this VM's own bucket.
    own: f64,
    /// Refill of the own bucket, in requests a second.
    own_per_s: f64,
    refilled: Instant,
    asked: u32,
    admitted: u32,
    demand_per_s: f64,
    admitted_per_s: f64,
    /// Demand after each of the latest intervals, the oldest first.
    past_demand: VecDeque<f64>,
}

impl Limiter {
    /// Creates the account of one of `vms` entry VMs.
    #[must_use]
    pub fn new(rate: Rate, vms: usize, now: Instant) -> Self {
        let first = (rate.per_s * START_S).min(rate.burst);
        Self {
            rate,
            others: Peers::default(),
            fleet: first,
            own: first / to_f64(vms.max(1)) + 1.0,
            own_per_s: rate.per_s,
            refilled: now,
            asked: 0,
            admitted: 0,
            demand_per_s: 0.0,
            admitted_per_s: 0.0,
            past_demand: VecDeque::new(),
        }
    }

    /// Returns the requests a second that came here.
    #[must_use]
    pub fn demand_per_s(&self) -> f64 {
        self.demand_per_s
    }

    /// Returns the requests a second that were lately admitted here. They are not smoothed: what
    /// others take from their buckets has to sum up to what was admitted.
    #[must_use]
    pub fn admitted_per_s(&self) -> f64 {
        self.admitted_per_s
    }

    /// Admits a request, or returns false.
    pub fn admit(&mut self, now: Instant) -> bool {
        self.asked += 1;
        self.refill(now);
        if self.fleet < 1.0 || self.own < 1.0 {
            return false;
        }
        self.fleet -= 1.0;
        self.own -= 1.0;
        self.admitted += 1;
        true
    }

    /// Returns the seconds until a request may be admitted.
    #[must_use]
    pub fn wait_s(&self) -> f64 {
        let own = (1.0 - self.own).max(0.0) / self.own_per_s.max(0.01);
        let fleet = (1.0 - self.fleet).max(0.0) / self.rate.per_s.max(0.01);
        own.max(fleet)
    }

    /// Takes what the others tell, `elapsed_s` seconds after the last time.
    pub fn rebalance(&mut self, rate: Rate, others: Peers, elapsed_s: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.others = others;
        if elapsed_s > 0.0 {
            let demand = f64::from(std::mem::take(&mut self.asked)) / elapsed_s;
            let admitted = f64::from(std::mem::take(&mut self.admitted)) / elapsed_s;
            self.demand_per_s += LATEST * (demand - self.demand_per_s);
            self.admitted_per_s = admitted;
            self.past_demand.push_back(self.demand_per_s);
            if self.past_demand.len() > TOLD_AFTER {
                self.past_demand.pop_front();
            }
        }
        self.own_per_s = self.share_per_s();
    }

    /// Returns this VM's part of the rate.
    fn share_per_s(&self) -> f64 {
        let vms = to_f64(self.others.vms.max(1));
        if self.others.alive <= 1 && self.others.vms > 1 {
            return self.rate.per_s / vms * STANDING;
        }
        let expected = self.rate.per_s / vms * EXPECTED;
        let heard = to_f64(self.others.alive.max(1));
        let own = self.past_demand.front().copied().unwrap_or_default();
        let total = expected.mul_add(heard, own + self.others.demand);
        self.reachable_per_s() * (own + expected) / total.max(f64::MIN_POSITIVE)
    }

    /// Returns the part of the rate that belongs to the VMs that are heard of.
    fn reachable_per_s(&self) -> f64 {
        let vms = to_f64(self.others.vms.max(1));
        self.rate.per_s * to_f64(self.others.alive.max(1)) / vms
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        let reachable = self.reachable_per_s();
        let part = reachable / self.rate.per_s.max(0.01);
        let net = reachable - self.others.admitted;
        let most = (self.rate.burst * part).max(1.0);
        self.fleet = net
            .mul_add(elapsed, self.fleet)
            .clamp(-DEBT_S * self.rate.per_s, most);
        let own_part = self.own_per_s / self.rate.per_s.max(0.01);
        let even = self.rate.per_s / to_f64(self.others.vms.max(1));
        let least = (even * LEAST_BURST_S).clamp(LEAST_BURST.0, LEAST_BURST.1);
        // While a debt is paid off, no VM saves up, or all would spend at once when it is paid.
        let is_in_debt = self.fleet < 0.0;
        let own_most = if is_in_debt {
            1.0
        } else {
            (self.rate.burst * own_part).max(least)
        };
        self.own = self.own_per_s.mul_add(elapsed, self.own).min(own_most);
    }
}
