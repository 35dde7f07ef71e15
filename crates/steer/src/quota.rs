//! Rate limits of workspaces over all entry VMs.
//!
//! Two load patterns. A workspace suddenly sends many times its rate, to all entry VMs at once: what
//! they admit together has to stay within the limit before they hear of each other's requests. And
//! hundreds of entry VMs serve small workspaces: a VM's share of the rate is far below one request a
//! second, so no share can follow single requests.
//!
//! Each workspace has an owner among the entry VMs, which every VM computes from its membership view
//! ([`crate::owner`]). The owner keeps the fleet's token bucket. A VM without tokens asks the owner
//! before it rejects a request ([`Limiter::admit`], [`Limiter::grant`]). Of a workspace that is large
//! enough, the VMs use [`LOCAL_RATIO`] of the rate and of the burst without asking, in proportion to
//! their demand. The owner hears of those requests with a delay; as they are at most that ratio of the
//! rate, what it grants too much meanwhile stays within the permitted overage. A VM that reaches no
//! owner uses its even share ([`Limiter::admit_unreached`]).

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use fleet::ask::Outcome;

use crate::window::to_f64;

/// Ratio of the rate and of the burst of a large workspace that the VMs use without asking its owner.
const LOCAL_RATIO: f64 = 0.5;

/// Ratio of its even share that a VM uses while it reaches no owner.
const BASE_SHARE: f64 = 0.9;

/// Demand that is added to each VM's reported demand, as a ratio of its even share, so that a VM can
/// serve callers that move to it before it has reported their demand.
const EXTRA_DEMAND: f64 = 0.5;

/// Minimum time that a process takes to restart, in seconds. The buckets start with the refill of that
/// time, since the requests admitted before the restart are unknown.
const RESTART_S: f64 = 0.5;

/// Weight of the latest interval in the smoothed demand.
const LATEST_WEIGHT: f64 = 0.4;

/// Intervals after which the other VMs know this VM's demand. The share is computed from the demand
/// of that time. Otherwise, in a surge, every VM would enlarge its share by its own demand before it
/// learns of the others'.
const REPORT_DELAY: usize = 3;

/// Mean time until a report arrives, in seconds.
const MEAN_REPORT_DELAY_S: f64 = 0.3;

/// Maximum debt of the fleet's bucket, in seconds of the rate.
const MAX_DEBT_S: f64 = 6.0;

/// Time for which granted tokens are valid.
const GRANT_TERM: Duration = Duration::from_millis(500);

/// Maximum number of tokens granted at once.
const MAX_GRANT: u32 = 8;

/// Ratio of the burst below which a VM grants nothing while another one may be the owner too.
const CONTESTED_RESERVE: f64 = 0.5;

/// Age of a limiter up to which it keeps no reserve: it began with an almost empty bucket.
const RESERVE_AFTER: Duration = Duration::from_secs(3);

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
    /// Requests admitted by the other VMs without asking.
    pub admitted: f64,
    /// Tokens granted by all VMs, including this one.
    pub granted: f64,
    /// Whether this VM granted all of them.
    pub is_sole_owner: bool,
    /// Number of known entry VMs, including this one.
    pub vms: usize,
    /// Number of live entry VMs, including this one.
    pub alive: usize,
}

/// Whether a VM is the only one that acts as the owner of a workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ownership {
    /// All VMs that this one knows have known it as the owner for a while.
    Settled,
    /// Another VM may act as the owner too.
    Contested,
}

/// The owner's answer to a VM that asks for tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Grant {
    /// The number of tokens, at least 1.
    Tokens(u32),
    /// The time until a token is due for this request.
    Wait(Duration),
}

/// Rate limiter of one workspace at one entry VM.
#[derive(Debug)]
pub struct Limiter {
    rate: Rate,
    peers: Peers,
    /// Tokens in the fleet's bucket, as far as this VM has heard; negative if the fleet admitted more
    /// requests than the rate allows.
    fleet: f64,
    /// Tokens that this VM uses without asking.
    own: f64,
    /// Refill of `own`, in requests per second.
    own_per_s: f64,
    /// Tokens that this VM uses while it reaches no owner.
    base: f64,
    /// Tokens granted by the owner, and until when they are valid.
    granted: (u32, Instant),
    /// Rejected requests that were told to come back and have not been due yet.
    promised: f64,
    started: Instant,
    refilled: Instant,
    received: u32,
    admitted: u32,
    granted_out: u32,
    demand_per_s: f64,
    admitted_per_s: f64,
    /// Tokens per second that this VM granted in each of the latest intervals, oldest first.
    past_granted: VecDeque<f64>,
    /// Smoothed demand after each of the latest intervals, oldest first.
    past_demand: VecDeque<f64>,
}

impl Limiter {
    /// Creates the limiter of one of `vms` entry VMs.
    #[must_use]
    pub fn new(rate: Rate, vms: usize, now: Instant) -> Self {
        let initial = (rate.per_s * RESTART_S).min(rate.burst) / to_f64(vms.max(1));
        Self {
            rate,
            peers: Peers {
                vms,
                alive: 1,
                ..Peers::default()
            },
            fleet: initial.max(1.0),
            own: initial * LOCAL_RATIO,
            own_per_s: 0.0,
            base: 1.0,
            granted: (0, now),
            promised: 0.0,
            started: now,
            refilled: now,
            received: 0,
            admitted: 0,
            granted_out: 0,
            demand_per_s: 0.0,
            admitted_per_s: 0.0,
            past_granted: VecDeque::new(),
            past_demand: VecDeque::new(),
        }
    }

    /// Returns the smoothed number of requests per second that this VM received.
    #[must_use]
    pub fn demand_per_s(&self) -> f64 {
        self.demand_per_s
    }

    /// Returns the requests per second that this VM admitted in the latest interval without asking.
    /// The rate is not smoothed, so that the amounts that the other VMs take from their buckets sum up
    /// to the requests admitted.
    #[must_use]
    pub fn admitted_per_s(&self) -> f64 {
        self.admitted_per_s
    }

    /// Returns the tokens per second that this VM granted in the latest interval.
    #[must_use]
    pub fn granted_per_s(&self) -> f64 {
        self.past_granted.back().copied().unwrap_or_default()
    }

    /// Returns the rate limit, the reports that apply to it and the tokens left, for the log.
    #[must_use]
    pub fn state(&self) -> (Rate, Peers, f64) {
        (self.rate, self.peers, self.fleet)
    }

    /// Returns whether the other VMs need this VM's demand: VMs share a part of the rate by it.
    #[must_use]
    pub fn shares_by_demand(&self) -> bool {
        self.local_ratio() > 0.0
    }

    /// Returns whether a request is admitted without asking the owner, and takes its token if so.
    pub fn admit(&mut self, now: Instant) -> bool {
        self.received += 1;
        self.refill(now);
        if self.granted.0 > 0 && now < self.granted.1 {
            self.granted.0 -= 1;
            return true;
        }
        // While the fleet is in debt, the owner alone decides.
        if self.own < 1.0 || self.fleet < 0.0 {
            return false;
        }
        self.own -= 1.0;
        self.fleet -= 1.0;
        self.admitted += 1;
        true
    }

    /// Returns whether a request is admitted while no owner answers, and takes its token if so.
    pub fn admit_unreached(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.base < 1.0 {
            return false;
        }
        self.base -= 1.0;
        self.fleet -= 1.0;
        self.admitted += 1;
        true
    }

    /// Returns the number of tokens to ask the owner for, for one request and those that will probably
    /// follow it within [`GRANT_TERM`].
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // the value is small
    pub fn wanted(&self) -> u32 {
        let following = self.demand_per_s * GRANT_TERM.as_secs_f64();
        1 + following.clamp(0.0, f64::from(MAX_GRANT - 1)) as u32
    }

    /// Answers a VM that asks for `wanted` tokens, as the owner.
    #[must_use]
    pub fn grant(&mut self, wanted: u32, ownership: Ownership, now: Instant) -> Grant {
        self.refill(now);
        let is_young = now.duration_since(self.started) < RESERVE_AFTER;
        let reserve = match ownership {
            Ownership::Contested if !is_young => self.max_fleet() * CONTESTED_RESERVE,
            Ownership::Contested | Ownership::Settled => 0.0,
        };
        let available = self.fleet - reserve;
        if available < 1.0 {
            return Grant::Wait(self.wait(available));
        }
        // Tokens granted in advance may expire unused, so they come from a bucket that is well filled.
        let is_plentiful = available > self.max_fleet() / 2.0;
        let tokens = if is_plentiful {
            wanted.clamp(1, MAX_GRANT)
        } else {
            1
        };
        self.fleet -= f64::from(tokens);
        self.granted_out += tokens;
        Grant::Tokens(tokens)
    }

    /// Returns the time until a rejected request finds a token, after those rejected before it.
    fn wait(&mut self, available: f64) -> Duration {
        let due = (1.0 - available + self.promised) / self.rate.per_s.max(0.01);
        self.promised += 1.0;
        Duration::try_from_secs_f64(due).unwrap_or(Duration::MAX)
    }

    /// Records tokens that the owner granted, for a request that takes one of them.
    pub fn note_granted(&mut self, tokens: u32, now: Instant) {
        let left = if now < self.granted.1 {
            self.granted.0
        } else {
            0
        };
        self.granted = (left + tokens.saturating_sub(1), now + GRANT_TERM);
    }

    /// Returns the time until this VM's even share holds a token.
    #[must_use]
    pub fn base_wait(&self) -> Duration {
        let due = (1.0 - self.base).max(0.0) / self.base_per_s().max(0.01);
        Duration::try_from_secs_f64(due).unwrap_or(Duration::MAX)
    }

    /// Applies the reports of the other VMs, `elapsed_s` seconds after the previous call.
    pub fn rebalance(&mut self, rate: Rate, peers: Peers, elapsed_s: f64, now: Instant) {
        self.refill(now);
        let earlier_ratio = self.live_ratio();
        self.rate = rate;
        self.peers = peers;
        self.follow_live_ratio(earlier_ratio);
        if elapsed_s > 0.0 {
            let demand = f64::from(std::mem::take(&mut self.received)) / elapsed_s;
            let admitted = f64::from(std::mem::take(&mut self.admitted)) / elapsed_s;
            self.demand_per_s += LATEST_WEIGHT * (demand - self.demand_per_s);
            self.admitted_per_s = admitted;
            let granted = f64::from(std::mem::take(&mut self.granted_out)) / elapsed_s;
            push_recent(&mut self.past_demand, self.demand_per_s, REPORT_DELAY);
            push_recent(&mut self.past_granted, granted, 2 * REPORT_DELAY);
        }
        self.own_per_s = self.local_ratio() * self.share_per_s();
    }

    /// Adjusts the fleet's bucket to a change of the live VMs. VMs that are lost may be partitioned and
    /// keep their part of the bucket. The first reports of VMs that return are about the time before,
    /// in which their part of the rate was left to them.
    fn follow_live_ratio(&mut self, earlier: f64) {
        let ratio = self.live_ratio();
        if ratio < earlier {
            self.fleet *= ratio / earlier;
        } else {
            self.fleet += self.rate.per_s * (ratio - earlier) * MEAN_REPORT_DELAY_S;
        }
    }

    /// Returns the ratio of the rate that the VMs use without asking: none of a workspace whose burst
    /// is too small to give each VM a token of it.
    fn local_ratio(&self) -> f64 {
        let is_large = self.rate.burst * LOCAL_RATIO >= to_f64(self.peers.vms.max(1));
        if is_large { LOCAL_RATIO } else { 0.0 }
    }

    /// Returns this VM's share of the live VMs' rate by its demand, in requests per second.
    fn share_per_s(&self) -> f64 {
        let vms = to_f64(self.peers.vms.max(1));
        let extra_demand = self.rate.per_s / vms * EXTRA_DEMAND;
        let alive = to_f64(self.peers.alive.max(1));
        let own = self.past_demand.front().copied().unwrap_or_default();
        let total = extra_demand.mul_add(alive, own + self.peers.demand);
        self.rate.per_s * self.live_ratio() * (own + extra_demand) / total.max(f64::MIN_POSITIVE)
    }

    /// Returns the ratio of known VMs that are alive. The rate of the others is left to them, since
    /// they may be partitioned from this VM.
    fn live_ratio(&self) -> f64 {
        let known = self.peers.vms.max(self.peers.alive).max(1);
        to_f64(self.peers.alive.max(1)) / to_f64(known)
    }

    /// Returns the refill of the even share that this VM uses while it reaches no owner.
    fn base_per_s(&self) -> f64 {
        self.rate.per_s / to_f64(self.peers.vms.max(1)) * BASE_SHARE
    }

    /// Returns the tokens per second that the other VMs granted. What this VM granted itself has already
    /// been taken out of the bucket; the report contains its amount of some recent interval.
    fn granted_by_others(&self) -> f64 {
        if self.peers.is_sole_owner {
            return 0.0;
        }
        let own: f64 = self.past_granted.iter().sum();
        let mean = own / to_f64(self.past_granted.len().max(1));
        (self.peers.granted - mean).max(0.0)
    }

    /// Returns the capacity of the fleet's bucket: the burst, without what the VMs use unasked.
    fn max_fleet(&self) -> f64 {
        (self.rate.burst * self.live_ratio() * (1.0 - self.local_ratio())).max(1.0)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        let used_by_others = self.peers.admitted + self.granted_by_others();
        let net_per_s = self.rate.per_s.mul_add(self.live_ratio(), -used_by_others);
        self.fleet = net_per_s
            .mul_add(elapsed, self.fleet)
            .clamp(-MAX_DEBT_S * self.rate.per_s, self.max_fleet());
        let own_ratio = self.own_per_s / self.rate.per_s.max(0.01);
        self.own = self
            .own_per_s
            .mul_add(elapsed, self.own)
            .min(self.rate.burst * own_ratio);
        let max_base = (self.rate.burst / to_f64(self.peers.vms.max(1))).max(1.0);
        self.base = self.base_per_s().mul_add(elapsed, self.base).min(max_base);
        self.promised = self.rate.per_s.mul_add(-elapsed, self.promised).max(0.0);
    }
}

/// Appends `value`, and removes the oldest values beyond `count`.
fn push_recent(values: &mut VecDeque<f64>, value: f64, count: usize) {
    values.push_back(value);
    if values.len() > count {
        values.pop_front();
    }
}

impl From<Grant> for Outcome {
    fn from(grant: Grant) -> Self {
        match grant {
            Grant::Tokens(tokens) => Self::Tokens(tokens),
            Grant::Wait(wait) => Self::WaitMs(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX)),
        }
    }
}

impl From<Outcome> for Grant {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Tokens(tokens) => Self::Tokens(tokens),
            Outcome::WaitMs(ms) => Self::Wait(Duration::from_millis(ms.into())),
        }
    }
}
