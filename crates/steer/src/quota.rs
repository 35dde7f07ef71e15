//! Holding workspaces to their rate over all entry VMs.
//!
//! Answers two patterns. Many entry VMs and small workspaces: a fixed share of a rate would be
//! less than one request, so every entry VM follows the fleet's token bucket, from which it takes
//! its own requests at once and the others' at the rate that they tell. A workspace that sends
//! many times its rate: once the demand told exceeds the rate, each entry VM keeps to its part of
//! the rate by its part of the demand, and what was admitted before that was known is a debt of
//! the bucket. An entry VM that hears of no other uses a small standing share, which the others
//! leave to it.

use std::time::Instant;

/// Part of a VM's even share that it uses while it hears of no other.
const STANDING: f64 = 0.6;

/// Part of the rate above which the demand is shared out.
const CONTENDED: f64 = 0.85;

/// Part of the burst that a new process starts with, since others may have used the rest.
const FIRST_TOKENS: f64 = 0.3;

/// Weight of the latest interval in the running rates.
const LATEST: f64 = 0.4;

/// Least capacity of a VM's own bucket, in requests.
const LEAST_BURST: f64 = 2.0;

/// Largest debt, in seconds of the rate.
const DEBT_S: f64 = 4.0;

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
pub struct Others {
    /// Requests that came there.
    pub demand: f64,
    /// Requests that were admitted there.
    pub admitted: f64,
    /// Entry VMs in all, this one included.
    pub vms: usize,
    /// Entry VMs that are heard of, this one included.
    pub heard: usize,
}

/// One workspace at one entry VM.
#[derive(Debug)]
pub struct Account {
    rate: Rate,
    others: Others,
    /// Tokens in the fleet's bucket; negative after more was admitted than the rate.
    fleet: f64,
    /// Tokens in this VM's own bucket, which counts while the demand is shared out.
    own: f64,
    /// Refill of the own bucket; absent while the demand is not shared out.
    own_per_s: Option<f64>,
    refilled: Instant,
    asked: u32,
    admitted: u32,
    demand_per_s: f64,
    admitted_per_s: f64,
}

impl Account {
    /// Creates an account.
    #[must_use]
    pub fn new(rate: Rate, now: Instant) -> Self {
        Self {
            rate,
            others: Others::default(),
            fleet: rate.burst * FIRST_TOKENS,
            own: LEAST_BURST,
            own_per_s: None,
            refilled: now,
            asked: 0,
            admitted: 0,
            demand_per_s: 0.0,
            admitted_per_s: 0.0,
        }
    }

    /// Returns the requests a second that came here.
    #[must_use]
    pub fn demand_per_s(&self) -> f64 {
        self.demand_per_s
    }

    /// Returns the requests a second that were admitted here.
    #[must_use]
    pub fn admitted_per_s(&self) -> f64 {
        self.admitted_per_s
    }

    /// Admits a request, or returns false.
    pub fn admit(&mut self, now: Instant) -> bool {
        self.asked += 1;
        self.refill(now);
        let is_own_spent = self.own_per_s.is_some() && self.own < 1.0;
        if self.fleet < 1.0 || is_own_spent {
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
        let per_s = self.own_per_s.unwrap_or(self.rate.per_s).max(0.01);
        let own = (1.0 - self.own).max(0.0) / per_s;
        let fleet = (1.0 - self.fleet).max(0.0) / self.rate.per_s.max(0.01);
        own.max(fleet)
    }

    /// Takes what the others tell, `elapsed_s` seconds after the last time.
    pub fn rebalance(&mut self, rate: Rate, others: Others, elapsed_s: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.others = others;
        if elapsed_s > 0.0 {
            let demand = f64::from(std::mem::take(&mut self.asked)) / elapsed_s;
            let admitted = f64::from(std::mem::take(&mut self.admitted)) / elapsed_s;
            self.demand_per_s += LATEST * (demand - self.demand_per_s);
            self.admitted_per_s += LATEST * (admitted - self.admitted_per_s);
        }
        self.own_per_s = self.share_per_s();
    }

    /// Returns this VM's part of the rate, or nothing while the demand fits.
    fn share_per_s(&self) -> Option<f64> {
        let vms = self.others.vms.max(1) as f64;
        if self.others.heard <= 1 && self.others.vms > 1 {
            return Some(self.rate.per_s / vms * STANDING);
        }
        let reachable = self.reachable_per_s();
        let total = self.demand_per_s + self.others.demand;
        let is_contended = total > reachable * CONTENDED;
        is_contended.then(|| reachable * self.demand_per_s / total.max(0.1))
    }

    /// Returns the part of the rate that belongs to the VMs that are heard of.
    fn reachable_per_s(&self) -> f64 {
        let vms = self.others.vms.max(1) as f64;
        self.rate.per_s * self.others.heard.max(1) as f64 / vms
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        let reachable = self.reachable_per_s();
        let part = reachable / self.rate.per_s.max(0.01);
        let net = reachable - self.others.admitted;
        let most = (self.rate.burst * part).max(1.0);
        self.fleet = net.mul_add(elapsed, self.fleet).clamp(-DEBT_S * self.rate.per_s, most);
        let own_per_s = self.own_per_s.unwrap_or(self.rate.per_s);
        let own_most = own_per_s.max(LEAST_BURST);
        self.own = own_per_s.mul_add(elapsed, self.own).min(own_most);
    }
}
