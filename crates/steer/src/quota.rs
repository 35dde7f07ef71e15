//! Holding workspaces to their rate over all entry VMs.
//!
//! Answers a workspace that sends many times its rate, at any entry VM, while some entry VMs
//! hear nothing of the others. Every entry VM has a standing share that it may always use. The
//! rest follows demand: a VM takes of it what its part of the demand that it last heard of is.
//! The standing share of a VM that is not heard of stays reserved.

use std::time::Instant;

/// Part of a workspace's rate that is shared evenly and never lent.
const STANDING: f64 = 0.3;

/// Tokens of one workspace at one entry VM.
#[derive(Debug)]
pub struct Bucket {
    tokens: f64,
    rate_per_s: f64,
    burst: f64,
    refilled: Instant,
    /// Demand at this entry VM, in requests a second.
    demand: f64,
    /// Requests since the demand was last worked out.
    asked: u32,
}

/// What an entry VM knows of the others' demand for one workspace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Others {
    /// Demand that the others told lately, in requests a second.
    pub demand: f64,
    /// Entry VMs in all, this one included.
    pub vms: usize,
    /// Entry VMs that were heard of lately, this one included.
    pub heard: usize,
}

impl Bucket {
    /// Creates a bucket that holds its part of the burst among `vms` entry VMs.
    #[must_use]
    pub fn new(rate_per_s: f64, burst: f64, vms: usize, now: Instant) -> Self {
        let part = 1.0 / vms.max(1) as f64;
        Self {
            tokens: burst * part,
            rate_per_s: rate_per_s * part,
            burst: burst * part,
            refilled: now,
            demand: 0.0,
            asked: 0,
        }
    }

    /// Returns the demand, in requests a second.
    #[must_use]
    pub fn demand(&self) -> f64 {
        self.demand
    }

    /// Takes a token; returns false if there is none.
    pub fn take(&mut self, now: Instant) -> bool {
        self.asked += 1;
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the seconds until there is a token.
    #[must_use]
    pub fn wait_s(&self) -> f64 {
        (1.0 - self.tokens).max(0.0) / self.rate_per_s.max(0.01)
    }

    /// Works out the demand over the last `elapsed_s` seconds and the share that follows from it.
    pub fn rebalance(&mut self, rate_per_s: f64, burst: f64, others: Others, elapsed_s: f64, now: Instant) {
        self.refill(now);
        let seen = f64::from(self.asked) / elapsed_s.max(0.001);
        self.asked = 0;
        self.demand = self.demand.mul_add(0.4, seen * 0.6);
        let share = share(self.demand, others);
        self.rate_per_s = rate_per_s * share;
        self.burst = burst * share;
        self.tokens = self.tokens.min(self.burst);
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.tokens = elapsed.mul_add(self.rate_per_s, self.tokens).min(self.burst);
    }
}

/// Returns this entry VM's part of a rate, from 0 to 1.
#[must_use]
pub fn share(demand: f64, others: Others) -> f64 {
    let vms = others.vms.max(1) as f64;
    let standing = STANDING / vms;
    let is_alone = others.heard <= 1 && others.vms > 1;
    if is_alone {
        return standing;
    }
    let unheard = others.vms.saturating_sub(others.heard) as f64;
    let lendable = 1.0 - standing * (vms - unheard) - unheard / vms;
    let even = 1.0 / others.heard.max(1) as f64;
    let total = demand + others.demand;
    let part = if total < 1.0 { even } else { demand / total };
    standing + lendable.max(0.0) * part
}
