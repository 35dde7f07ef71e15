//! Rate limits of workspaces over all entry VMs.
//!
//! Two load patterns. A workspace suddenly sends many times its rate: each entry VM is limited to its
//! share of the rate and of the burst, in proportion to its share of the demand, so that the shares
//! sum up to the limit even before the other VMs report. Many entry VMs and small workspaces: a share
//! of the burst would be less than one request, so a VM may exceed its share by a few requests. To
//! make up for this, every entry VM also tracks the fleet's token bucket, from which it takes its own
//! requests immediately and the others' at their reported rate; a debt of that bucket has to be
//! repaid before more requests are admitted. An entry VM that knows of no other live VM uses a small
//! base share, which the others leave unused.

use std::collections::VecDeque;
use std::time::Instant;

use crate::window::to_f64;

/// Base share: ratio of its even share that a VM uses while it knows of no other live VM.
const BASE_SHARE: f64 = 0.9;

/// Demand that is added to each VM's reported demand, as a ratio of its even share, so that a VM can
/// serve callers that move to it before it has reported their demand.
const EXTRA_DEMAND: f64 = 0.5;

/// Minimum time that a process takes to restart, in seconds. The buckets start with the refill of that
/// time, since the requests admitted before the restart are unknown.
const RESTART_S: f64 = 0.5;

/// Weight of the latest interval in the smoothed demand.
const LATEST_WEIGHT: f64 = 0.4;

/// Range of the minimum capacity of a VM's own bucket, in requests. A smaller bucket would refuse
/// requests that arrive at random times within the rate.
const MIN_BURST: (f64, f64) = (8.0, 16.0);

/// Seconds of a VM's even share that the minimum capacity holds within [`MIN_BURST`].
const MIN_BURST_S: f64 = 3.0;

/// Intervals after which the other VMs know this VM's demand. The share is computed from the demand
/// of that time. Otherwise, in a surge, every VM would enlarge its share by its own demand before it
/// learns of the others'.
const REPORT_DELAY: usize = 3;

/// Maximum debt of the fleet's bucket, in seconds of the rate.
const MAX_DEBT_S: f64 = 6.0;

/// Rate limit of a workspace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rate {
    /// Requests per second.
    pub per_s: f64,
    /// Requests beyond the rate that may arrive at once.
    pub burst: f64,
}

/// Reports of the other entry VMs on one workspace, in requests per second, and the number of VMs.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Peers {
    /// Requests received by the other VMs.
    pub demand: f64,
    /// Requests admitted by the other VMs.
    pub admitted: f64,
    /// Number of known entry VMs, including this one.
    pub vms: usize,
    /// Number of live entry VMs, including this one.
    pub alive: usize,
}

/// Rate limiter of one workspace at one entry VM.
#[derive(Debug)]
pub struct Limiter {
    rate: Rate,
    peers: Peers,
    /// Tokens in the fleet's bucket; negative if the fleet admitted more requests than the rate allows.
    fleet: f64,
    /// Tokens in this VM's own bucket.
    own: f64,
    /// Refill of this VM's own bucket, in requests per second.
    own_per_s: f64,
    refilled: Instant,
    received: u32,
    admitted: u32,
    demand_per_s: f64,
    admitted_per_s: f64,
    /// Smoothed demand after each of the latest intervals, oldest first.
    past_demand: VecDeque<f64>,
}

impl Limiter {
    /// Creates the limiter of one of `vms` entry VMs.
    #[must_use]
    pub fn new(rate: Rate, vms: usize, now: Instant) -> Self {
        let initial = (rate.per_s * RESTART_S).min(rate.burst);
        Self {
            rate,
            peers: Peers::default(),
            fleet: initial,
            own: initial / to_f64(vms.max(1)) + 1.0,
            own_per_s: rate.per_s,
            refilled: now,
            received: 0,
            admitted: 0,
            demand_per_s: 0.0,
            admitted_per_s: 0.0,
            past_demand: VecDeque::new(),
        }
    }

    /// Returns the smoothed number of requests per second that this VM received.
    #[must_use]
    pub fn demand_per_s(&self) -> f64 {
        self.demand_per_s
    }

    /// Returns the requests per second that this VM admitted in the latest interval. The rate is not
    /// smoothed, so that the amounts that the other VMs take from their buckets sum up to the requests
    /// admitted.
    #[must_use]
    pub fn admitted_per_s(&self) -> f64 {
        self.admitted_per_s
    }

    /// Returns whether a request is admitted, and takes its tokens if so.
    pub fn admit(&mut self, now: Instant) -> bool {
        self.received += 1;
        self.refill(now);
        if self.fleet < 1.0 || self.own < 1.0 {
            return false;
        }
        self.fleet -= 1.0;
        self.own -= 1.0;
        self.admitted += 1;
        true
    }

    /// Returns the time in seconds until the next request may be admitted.
    #[must_use]
    pub fn wait_s(&self) -> f64 {
        let own = (1.0 - self.own).max(0.0) / self.own_per_s.max(0.01);
        let fleet = (1.0 - self.fleet).max(0.0) / self.rate.per_s.max(0.01);
        own.max(fleet)
    }

    /// Applies the reports of the other VMs, `elapsed_s` seconds after the previous call.
    pub fn rebalance(&mut self, rate: Rate, peers: Peers, elapsed_s: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.peers = peers;
        if elapsed_s > 0.0 {
            let demand = f64::from(std::mem::take(&mut self.received)) / elapsed_s;
            let admitted = f64::from(std::mem::take(&mut self.admitted)) / elapsed_s;
            self.demand_per_s += LATEST_WEIGHT * (demand - self.demand_per_s);
            self.admitted_per_s = admitted;
            self.past_demand.push_back(self.demand_per_s);
            if self.past_demand.len() > REPORT_DELAY {
                self.past_demand.pop_front();
            }
        }
        self.own_per_s = self.share_per_s();
    }

    /// Returns this VM's share of the rate, in requests per second.
    fn share_per_s(&self) -> f64 {
        let vms = to_f64(self.peers.vms.max(1));
        if self.peers.alive <= 1 && self.peers.vms > 1 {
            return self.rate.per_s / vms * BASE_SHARE;
        }
        let extra_demand = self.rate.per_s / vms * EXTRA_DEMAND;
        let alive = to_f64(self.peers.alive.max(1));
        let own = self.past_demand.front().copied().unwrap_or_default();
        let total = extra_demand.mul_add(alive, own + self.peers.demand);
        self.live_share_per_s() * (own + extra_demand) / total.max(f64::MIN_POSITIVE)
    }

    /// Returns the even shares of all live VMs, in requests per second.
    fn live_share_per_s(&self) -> f64 {
        let vms = to_f64(self.peers.vms.max(1));
        self.rate.per_s * to_f64(self.peers.alive.max(1)) / vms
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        let live_per_s = self.live_share_per_s();
        let live_ratio = live_per_s / self.rate.per_s.max(0.01);
        let net_per_s = live_per_s - self.peers.admitted;
        let max = (self.rate.burst * live_ratio).max(1.0);
        self.fleet = net_per_s
            .mul_add(elapsed, self.fleet)
            .clamp(-MAX_DEBT_S * self.rate.per_s, max);
        let own_ratio = self.own_per_s / self.rate.per_s.max(0.01);
        let even_per_s = self.rate.per_s / to_f64(self.peers.vms.max(1));
        let min = (even_per_s * MIN_BURST_S).clamp(MIN_BURST.0, MIN_BURST.1);
        // During a debt, VMs save no tokens. Otherwise all would spend them at once when it is repaid.
        let is_in_debt = self.fleet < 0.0;
        let own_max = if is_in_debt {
            1.0
        } else {
            (self.rate.burst * own_ratio).max(min)
        };
        self.own = self.own_per_s.mul_add(elapsed, self.own).min(own_max);
    }
}
