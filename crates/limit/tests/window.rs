//! In no window do all VMs together admit more than rate x window + burst.

#[path = "../../grant/tests/simulation/mod.rs"]
mod simulation;

use std::cell::Cell;

use grant::Split;
use limit::{Allowance, Bucket, Share};
use proptest::prelude::*;
use timer::Moment;
use wire::lend::FULL_SHARE;

use crate::simulation::{Simulation, Step, VMS, drift, runner, steps};

const CASES: u32 = 2_500;

const RATE_PER_S: u32 = 40;

const BURST: u32 = 30;

/// Units in which the world lends, each of `FULL_SHARE / 1000` parts.
const UNITS: u64 = 1_000;

const UNIT: u64 = FULL_SHARE / UNITS;

/// Requests that all came at one moment and were admitted.
#[derive(Debug, Clone, Copy)]
struct Admitted {
    at_ms: u64,
    count: u32,
}

/// The world's holders with a bucket each.
struct Fleet {
    world: Simulation,
    buckets: Vec<Bucket>,
    /// The shares that the buckets were last told.
    shares: Vec<Share>,
    split: Split,
    /// The reserve of the present lead, whose number is `lead`.
    reserve: Bucket,
    lead: usize,
    history: Vec<Admitted>,
}

impl Fleet {
    fn new(drift: Vec<i64>) -> Self {
        let split = Split::new(UNITS, VMS as u64);
        let world = Simulation::new(split.pool(), drift);
        let (lead, now) = world.leader();
        Self {
            reserve: reserve(&split, now),
            lead,
            world,
            buckets: Vec::new(),
            shares: Vec::new(),
            split,
            history: Vec::new(),
        }
    }

    fn step(&mut self, step: &Step) {
        self.world.step(step);
        let (lead, now) = self.world.leader();
        if lead != self.lead {
            self.lead = lead;
            self.reserve = reserve(&self.split, now);
        }
        for leaf in 0..self.world.holders.len() {
            let share = self.share(leaf);
            let now = self.world.read(leaf);
            if leaf == self.buckets.len() {
                self.buckets.push(Bucket::new(allowance(), share, now));
                self.shares.push(share);
            } else if self.shares[leaf] != share {
                self.buckets[leaf].set(allowance(), share, now);
                self.shares[leaf] = share;
            }
        }
    }

    /// The latest process of a VM has its standing share; earlier ones, which may be paused, go
    /// on with what they were lent. That a term has ended is left to the bucket to notice.
    fn share(&self, leaf: usize) -> Share {
        let (leaves, vm) = (&self.world.holders, self.world.holders[leaf].vm);
        let replaced = leaves[leaf + 1..].iter().any(|later| later.vm == vm);
        let seat = if replaced {
            0
        } else {
            self.split.base_share(1)
        };
        let holder = &leaves[leaf].holder;
        let now = self.world.read(leaf);
        let (lent, until) = (holder.lent(now), holder.expiry(now));
        Share::new(seat * UNIT).with_lent(lent * UNIT, until)
    }

    fn spend(&mut self, first: usize, most: u32) {
        let mut count = 0;
        for offset in 0..self.buckets.len() {
            let leaf = (first + offset) % self.buckets.len();
            let now = self.world.read(leaf);
            while count < most && self.buckets[leaf].take(now).is_ok() {
                count += 1;
            }
        }
        let (_, now) = self.world.leader();
        while count < most && self.reserve.take(now).is_ok() {
            count += 1;
        }
        let at_ms = self.world.now;
        self.history.push(Admitted { at_ms, count });
    }

    /// Returns the requests beyond the rate and the burst in the worst window.
    fn excess(&self) -> f64 {
        let mut worst = f64::NEG_INFINITY;
        for (index, start) in self.history.iter().enumerate() {
            let mut sum = 0;
            for end in &self.history[index..] {
                sum += end.count;
                let window_ms = u32::try_from(end.at_ms - start.at_ms).expect("short");
                let allowed = f64::from(RATE_PER_S) * f64::from(window_ms) / 1_000.0;
                worst = worst.max(f64::from(sum) - allowed - f64::from(BURST));
            }
        }
        worst
    }
}

fn allowance() -> Allowance {
    Allowance::new(RATE_PER_S.into(), BURST.into())
}

fn reserve(split: &Split, now: Moment) -> Bucket {
    Bucket::new(allowance(), Share::new(split.reserve() * UNIT), now)
}

#[test]
fn fleet_never_admits_more_than_rate_and_burst() {
    let close = Cell::new(0);
    let spends = prop::collection::vec((0_usize..12, prop_oneof![0_u32..4, Just(100)]), 150);
    let inputs = (drift(), steps(), spends);
    let outcome = runner(CASES).run(&inputs, |(drift, steps, spends)| {
        let mut fleet = Fleet::new(drift);
        for (step, (first, most)) in steps.iter().zip(spends) {
            fleet.step(step);
            fleet.spend(first, most);
        }
        let excess = fleet.excess();
        prop_assert!(excess <= 0.0, "{excess} requests too many");
        close.set(close.get() + u32::from(excess > -f64::from(BURST) / 3.0));
        Ok(())
    });
    outcome.unwrap();
    let close = close.get();
    assert!(
        close > CASES / 10,
        "close to the bound in {close} cases only"
    );
}
