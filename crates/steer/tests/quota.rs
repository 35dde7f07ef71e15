//! Rate limits over a fleet of entry VMs whose reports arrive late or not at all.

#![allow(clippy::cast_precision_loss)]

mod common;

use std::time::{Duration, Instant};

use common::{WINDOW, max_admitted, max_in_window, rate};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use steer::quota::{Grant, Limiter, Ownership, Peers, Rate};

/// Time between two reports.
const TICK: Duration = Duration::from_millis(300);

/// Delay until a report arrives, in ticks.
const REPORT_DELAY: usize = 3;

/// Returns the limiters of `vms` VMs that have just started and know of `alive` live VMs.
fn limiters(vms: usize, alive: usize, rate: Rate, now: Instant) -> Vec<Limiter> {
    let peers = Peers {
        vms,
        alive,
        ..Peers::default()
    };
    let limiter = |_| {
        let mut limiter = Limiter::new(rate, vms, now);
        limiter.rebalance(rate, peers, 0.0, now);
        limiter
    };
    (0..vms).map(limiter).collect()
}

/// A fleet of which some VMs can be partitioned from all others.
struct Fleet {
    rate: Rate,
    limiters: Vec<Limiter>,
    /// Reported demand, admissions and grants of each VM, latest first.
    reports: Vec<Vec<(f64, f64, f64)>>,
    now: Instant,
    admitted: Vec<Instant>,
    received: usize,
    /// Number of VMs that reach each other, now and as of the VMs' latest views.
    connected: usize,
    known_connected: usize,
    /// Fractional number of requests that are due at each VM.
    due: Vec<f64>,
}

impl Fleet {
    fn new(vms: usize, rate: Rate) -> Self {
        let now = Instant::now();
        Self {
            rate,
            limiters: limiters(vms, vms, rate, now),
            reports: vec![vec![(0.0, 0.0, 0.0); vms]; REPORT_DELAY],
            now,
            admitted: Vec::new(),
            received: 0,
            connected: vms,
            known_connected: vms,
            due: (0..vms).map(|vm| vm as f64 / vms as f64).collect(),
        }
    }

    /// Restarts all VMs, which lose their knowledge of admitted requests.
    fn restart(&mut self, down: Duration) {
        self.now += down;
        let vms = self.limiters.len();
        self.limiters = limiters(vms, 1, self.rate, self.now);
        self.known_connected = 0;
        self.reports = vec![vec![(0.0, 0.0, 0.0); vms]; REPORT_DELAY];
    }

    /// Runs a tick in which each VM gets `per_s` requests per second and the VMs from index `connected`
    /// on are partitioned.
    fn tick(&mut self, per_s: &[f64], connected: usize) {
        self.connected = connected;
        self.requests(per_s);
        self.known_connected = connected;
        let vms = self.limiters.len();
        let delivered = self.reports.pop().expect("at least one report is pending");
        for (index, limiter) in self.limiters.iter_mut().enumerate() {
            let is_partitioned = index >= connected;
            let is_alive = |other: &usize| *other != index && !is_partitioned && *other < connected;
            let alive: Vec<usize> = (0..vms).filter(is_alive).collect();
            let peers = Peers {
                demand: alive.iter().map(|other| delivered[*other].0).sum(),
                admitted: alive.iter().map(|other| delivered[*other].1).sum(),
                granted: alive
                    .iter()
                    .chain([&index])
                    .map(|vm| delivered[*vm].2)
                    .sum(),
                is_sole_owner: delivered[index].2 > 0.0
                    && alive.iter().all(|vm| delivered[*vm].2 <= 0.0),
                vms,
                alive: alive.len() + 1,
            };
            limiter.rebalance(self.rate, peers, TICK.as_secs_f64(), self.now);
        }
        let report = |limiter: &Limiter| {
            let granted = limiter.granted_per_s();
            (limiter.demand_per_s(), limiter.admitted_per_s(), granted)
        };
        self.reports
            .insert(0, self.limiters.iter().map(report).collect());
    }

    fn requests(&mut self, per_s: &[f64]) {
        const STEPS: u32 = 30;
        let step = TICK / STEPS;
        for _ in 0..STEPS {
            self.now += step;
            for (index, per_s) in per_s.iter().enumerate() {
                self.due[index] += per_s * step.as_secs_f64();
                while self.due[index] >= 1.0 {
                    self.due[index] -= 1.0;
                    self.received += 1;
                    if self.admit(index) {
                        self.admitted.push(self.now);
                    }
                }
            }
        }
    }

    /// Admits a request at the VM `index`. It asks the owner in its latest view: the first VM, or itself
    /// if it was partitioned. A VM that does not reach that owner uses its even share.
    fn admit(&mut self, index: usize) -> bool {
        if self.limiters[index].admit(self.now) {
            return true;
        }
        let wanted = self.limiters[index].wanted();
        let owner = if index < self.known_connected {
            0
        } else {
            index
        };
        if owner != index && index >= self.connected {
            return self.limiters[index].admit_unreached(self.now);
        }
        match self.limiters[owner].grant(wanted, Ownership::Settled, self.now) {
            Grant::Tokens(tokens) => {
                self.limiters[index].note_granted(tokens, self.now);
                true
            }
            Grant::Wait(_) => false,
        }
    }
}

/// Load pattern: 79 entry VMs, and a workspace that sends less than one request per second to each.
#[test]
fn small_workspace_is_admitted_by_many_vms() {
    let mut fleet = Fleet::new(79, rate(40.0));
    for _ in 0..60 {
        fleet.tick(&[0.4; 79], 79);
    }
    let refused = fleet.received - fleet.admitted.len();
    assert!(
        refused * 1_000 <= fleet.received,
        "{refused} of {} refused",
        fleet.received
    );
}

/// Load pattern: a workspace suddenly sends eight times its usual rate.
#[test]
fn overloading_workspace_is_limited_to_its_rate() {
    let rate_limit = rate(300.0);
    let mut fleet = Fleet::new(8, rate_limit);
    for _ in 0..20 {
        fleet.tick(&[24.0; 8], 8);
    }
    for _ in 0..40 {
        fleet.tick(&[190.0; 8], 8);
    }
    assert!(
        max_in_window(&fleet.admitted, WINDOW) <= max_admitted(rate_limit),
        "{} of {}",
        max_in_window(&fleet.admitted, WINDOW),
        max_admitted(rate_limit)
    );
    let admitted = fleet.admitted.len() as f64;
    assert!(
        admitted >= 0.8 * 300.0 * 12.0,
        "only {admitted} were admitted"
    );
}

/// Load pattern: all VMs restart repeatedly while a workspace sends many times its usual rate.
#[test]
fn restarted_processes_do_not_admit_full_burst_each_time() {
    for (burst, up_ticks) in [(300.0, 1), (300.0, 2), (300.0, 5), (900.0, 2), (900.0, 5)] {
        let rate_limit = Rate {
            per_s: 300.0,
            burst,
        };
        let mut fleet = Fleet::new(8, rate_limit);
        for _ in 0..8 {
            for tick in 0..up_ticks {
                fleet.tick(&[500.0; 8], if tick < REPORT_DELAY { 0 } else { 8 });
            }
            fleet.restart(Duration::from_millis(500));
        }
        let max = max_in_window(&fleet.admitted, WINDOW);
        assert!(
            max <= max_admitted(rate_limit),
            "{max} of {}: burst {burst}, up for {up_ticks} ticks",
            max_admitted(rate_limit)
        );
    }
}

/// Load pattern: a workspace's callers move to other entry VMs and stay within its rate.
#[test]
fn moving_callers_are_admitted() {
    let mut fleet = Fleet::new(8, rate(300.0));
    for _ in 0..20 {
        fleet.tick(&[23.0; 8], 8);
    }
    let moved = [2.0, 2.0, 2.0, 2.0, 44.0, 44.0, 44.0, 44.0];
    for _ in 0..20 {
        fleet.tick(&moved, 8);
    }
    let refused = fleet.received - fleet.admitted.len();
    assert!(
        refused * 1_000 <= fleet.received,
        "{refused} of {} refused",
        fleet.received
    );
}

/// Load pattern: all VMs restart and know of no other VM for a second, while callers return.
#[test]
fn callers_returning_after_restart_are_admitted() {
    let rate_limit = rate(300.0);
    let mut fleet = Fleet::new(12, rate_limit);
    for tick in 0..10 {
        let connected = if tick < 3 { 0 } else { 12 };
        fleet.tick(&[300.0 * 0.8 / 12.0; 12], connected);
    }
    let refused = fleet.received - fleet.admitted.len();
    assert!(
        refused * 100 <= fleet.received,
        "{refused} of {} refused",
        fleet.received
    );
}

#[test]
fn lower_rate_applies_immediately() {
    let rate_limit = rate(300.0);
    let mut fleet = Fleet::new(8, rate_limit);
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
        max_in_window(&fleet.admitted, WINDOW) <= max_admitted(fleet.rate),
        "{} admitted in a window",
        max_in_window(&fleet.admitted, WINDOW)
    );
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(3), ..Config::with_cases(2_000) })]

    #[test]
    fn fleet_stays_within_limit_while_vms_are_partitioned(
        vms in 2..12_usize,
        partitioned in 0..4_usize,
        per_s in 20.0..300.0_f64,
        load_factor in 0.2..9.0_f64,
        changes in prop::collection::vec(0.1..1.9_f64, 4),
    ) {
        let rate = Rate { per_s, burst: per_s };
        let mut fleet = Fleet::new(vms, rate);
        let connected = vms.saturating_sub(partitioned).max(1);
        let even = vec![per_s * 0.6 / vms as f64; vms];
        for _ in 0..10 {
            fleet.tick(&even, vms);
        }
        for change in changes {
            let skew = |index: usize| if index.is_multiple_of(2) { change } else { 2.0 - change };
            let demand: Vec<f64> =
                (0..vms).map(|index| per_s * load_factor / vms as f64 * skew(index)).collect();
            for _ in 0..5 {
                fleet.tick(&demand, connected);
            }
        }
        prop_assert!(max_in_window(&fleet.admitted, WINDOW) <= max_admitted(rate), "{} of {}", max_in_window(&fleet.admitted, WINDOW), max_admitted(rate));
    }
}
