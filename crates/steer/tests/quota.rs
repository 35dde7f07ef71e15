//! Rates over a fleet of entry VMs that hear of each other late, or not at all.

#![allow(clippy::cast_precision_loss)]

use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use steer::quota::{Limiter, Peers, Rate};

/// Time between two messages.
const TICK: Duration = Duration::from_millis(300);

/// Messages that pass before one entry VM knows of another's.
const LAG: usize = 3;

/// Span over which the bound holds.
const WINDOW: Duration = Duration::from_secs(5);

/// Returns a rate whose burst is a second of it.
fn rate(per_s: f64) -> Rate {
    Rate {
        per_s,
        burst: per_s,
    }
}

/// What the fleet may admit in a window.
fn bound(rate: Rate) -> f64 {
    rate.per_s.mul_add(5.0, rate.burst) * 1.1 + 20.0
}

/// Returns the accounts of `vms` VMs that have just started and hear of `heard`.
fn accounts(vms: usize, heard: usize, rate: Rate, now: Instant) -> Vec<Limiter> {
    let others = Peers {
        vms,
        alive: heard,
        ..Peers::default()
    };
    let account = |_| {
        let mut account = Limiter::new(rate, vms, now);
        account.rebalance(rate, others, 0.0, now);
        account
    };
    (0..vms).map(account).collect()
}

/// A fleet of which some VMs hear of nobody in a span of time.
struct Fleet {
    rate: Rate,
    accounts: Vec<Limiter>,
    /// Demand and admissions told, the latest first.
    told: Vec<Vec<(f64, f64)>>,
    now: Instant,
    admitted: Vec<Instant>,
    asked: usize,
    /// Requests that are due at each VM, in parts.
    due: Vec<f64>,
}

impl Fleet {
    fn new(vms: usize, rate: Rate) -> Self {
        let now = Instant::now();
        Self {
            rate,
            accounts: accounts(vms, vms, rate, now),
            told: vec![vec![(0.0, 0.0); vms]; LAG],
            now,
            admitted: Vec::new(),
            asked: 0,
            due: (0..vms).map(|vm| vm as f64 / vms as f64).collect(),
        }
    }

    /// Lets all VMs die and start anew; none knows what was admitted.
    fn restart(&mut self, down: Duration) {
        self.now += down;
        let vms = self.accounts.len();
        self.accounts = accounts(vms, 1, self.rate, self.now);
        self.told = vec![vec![(0.0, 0.0); vms]; LAG];
    }

    /// Plays a tick in which each VM gets `per_s` requests a second and those from `cut` on hear
    /// of nobody.
    fn tick(&mut self, per_s: &[f64], cut: usize) {
        self.requests(per_s);
        let vms = self.accounts.len();
        let told = self.told.pop().expect("messages are on their way");
        for (index, account) in self.accounts.iter_mut().enumerate() {
            let is_cut = index >= cut;
            let heard = |other: &usize| *other != index && !is_cut && *other < cut;
            let heard: Vec<usize> = (0..vms).filter(heard).collect();
            let others = Peers {
                demand: heard.iter().map(|other| told[*other].0).sum(),
                admitted: heard.iter().map(|other| told[*other].1).sum(),
                vms,
                alive: heard.len() + 1,
            };
            account.rebalance(self.rate, others, TICK.as_secs_f64(), self.now);
        }
        let tells = |account: &Limiter| (account.demand_per_s(), account.admitted_per_s());
        self.told
            .insert(0, self.accounts.iter().map(tells).collect());
    }

    fn requests(&mut self, per_s: &[f64]) {
        const STEPS: u32 = 30;
        let step = TICK / STEPS;
        for _ in 0..STEPS {
            self.now += step;
            for (index, account) in self.accounts.iter_mut().enumerate() {
                self.due[index] += per_s[index] * step.as_secs_f64();
                while self.due[index] >= 1.0 {
                    self.due[index] -= 1.0;
                    self.asked += 1;
                    if account.admit(self.now) {
                        self.admitted.push(self.now);
                    }
                }
            }
        }
    }

    /// Returns the most that was admitted in any window.
    fn most(&self) -> f64 {
        let mut first = 0;
        let mut most = 0;
        for (last, at) in self.admitted.iter().enumerate() {
            while at.duration_since(self.admitted[first]) >= WINDOW {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most as f64
    }
}

/// Load pattern: 79 entry VMs and a workspace that sends less than one request a second to each.
#[test]
fn a_small_workspace_is_not_refused_by_many_vms() {
    let mut fleet = Fleet::new(79, rate(40.0));
    for _ in 0..60 {
        fleet.tick(&[0.4; 79], 79);
    }
    let refused = fleet.asked - fleet.admitted.len();
    assert!(
        refused * 1_000 <= fleet.asked,
        "{refused} of {} refused",
        fleet.asked
    );
}

/// Load pattern: a workspace sends eight times its usual, all of a sudden.
#[test]
fn a_hot_workspace_is_held_to_its_rate() {
    let hot = rate(300.0);
    let mut fleet = Fleet::new(8, hot);
    for _ in 0..20 {
        fleet.tick(&[24.0; 8], 8);
    }
    for _ in 0..40 {
        fleet.tick(&[190.0; 8], 8);
    }
    assert!(
        fleet.most() <= bound(hot),
        "{} of {}",
        fleet.most(),
        bound(hot)
    );
    let admitted = fleet.admitted.len() as f64;
    assert!(
        admitted >= 0.8 * 300.0 * 12.0,
        "only {admitted} were admitted"
    );
}

/// Load pattern: all VMs die again and again, and a workspace sends many times its usual.
#[test]
fn processes_that_start_anew_do_not_admit_a_whole_burst_each_time() {
    for (burst, up_ticks) in [(300.0, 1), (300.0, 2), (300.0, 5), (900.0, 2), (900.0, 5)] {
        let hot = Rate {
            per_s: 300.0,
            burst,
        };
        let mut fleet = Fleet::new(8, hot);
        for _ in 0..8 {
            for tick in 0..up_ticks {
                fleet.tick(&[500.0; 8], if tick < LAG { 0 } else { 8 });
            }
            fleet.restart(Duration::from_millis(500));
        }
        let most = fleet.most();
        assert!(
            most <= bound(hot),
            "{most} of {}: burst {burst}, up for {up_ticks} ticks",
            bound(hot)
        );
    }
}

/// Load pattern: callers of a workspace move to other entry VMs within its rate.
#[test]
fn callers_that_move_are_not_refused() {
    let mut fleet = Fleet::new(8, rate(300.0));
    for _ in 0..20 {
        fleet.tick(&[23.0; 8], 8);
    }
    let moved = [2.0, 2.0, 2.0, 2.0, 44.0, 44.0, 44.0, 44.0];
    for _ in 0..20 {
        fleet.tick(&moved, 8);
    }
    let refused = fleet.asked - fleet.admitted.len();
    assert!(
        refused * 1_000 <= fleet.asked,
        "{refused} of {} refused",
        fleet.asked
    );
}

/// Load pattern: all VMs start anew and hear of nobody for a second, while callers come back.
#[test]
fn callers_that_come_back_after_a_restart_are_not_refused() {
    let hot = rate(300.0);
    let mut fleet = Fleet::new(12, hot);
    for tick in 0..10 {
        let cut = if tick < 3 { 0 } else { 12 };
        fleet.tick(&[300.0 * 0.8 / 12.0; 12], cut);
    }
    let refused = fleet.asked - fleet.admitted.len();
    assert!(
        refused * 100 <= fleet.asked,
        "{refused} of {} refused",
        fleet.asked
    );
}

#[test]
fn a_lower_rate_binds_at_once() {
    let hot = rate(300.0);
    let mut fleet = Fleet::new(8, hot);
    for _ in 0..20 {
        fleet.tick(&[30.0; 8], 8);
    }
    fleet.rate = rate(30.0);
    fleet.tick(&[30.0; 8], 8);
    fleet.admitted.clear();
    for _ in 0..40 {
        fleet.tick(&[30.0; 8], 8);
    }
    assert!(
        fleet.most() <= bound(fleet.rate),
        "{} admitted in a window",
        fleet.most()
    );
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(3), ..Config::with_cases(2_000) })]

    #[test]
    fn the_sum_stays_within_the_bound_while_vms_are_cut_off(
        vms in 2..12_usize,
        cut in 0..4_usize,
        per_s in 20.0..300.0_f64,
        times in 0.2..9.0_f64,
        changes in prop::collection::vec(0.1..1.9_f64, 4),
    ) {
        let rate = Rate { per_s, burst: per_s };
        let mut fleet = Fleet::new(vms, rate);
        let reachable = vms.saturating_sub(cut).max(1);
        let even = vec![per_s * 0.6 / vms as f64; vms];
        for _ in 0..10 {
            fleet.tick(&even, vms);
        }
        for change in changes {
            let skew = |index: usize| if index.is_multiple_of(2) { change } else { 2.0 - change };
            let demand: Vec<f64> =
                (0..vms).map(|index| per_s * times / vms as f64 * skew(index)).collect();
            for _ in 0..5 {
                fleet.tick(&demand, reachable);
            }
        }
        prop_assert!(fleet.most() <= bound(rate), "{} of {}", fleet.most(), bound(rate));
    }
}
