//! Checks that in any window all VMs together admit at most rate x window + burst.

#[path = "../../grant/tests/world/mod.rs"]
mod world;

use std::cell::Cell;

use grant::Split;
use limit::{Allowance, Bucket, Share};
use proptest::prelude::*;
use timer::Moment;
use wire::lend::FULL_SHARE;

use crate::world::{Step, VMS, World, drift, runner, steps};

const CASES: u32 = 2_500;

const RATE_PER_S: u32 = 40;

const BURST: u32 = 30;

/// Units in which shares are lent, each of `FULL_SHARE / 1000` parts.
const UNITS: u64 = 1_000;

const UNIT: u64 = FULL_SHARE / UNITS;

/// Requests that were admitted at one time.
#[derive(Debug, Clone, Copy)]
struct Admitted {
    at_ms: u64,
    count: u32,
}

/// The simulated fleet, with one bucket per holder.
struct Fleet {
    world: World,
    buckets: Vec<Bucket>,
    /// Share that each bucket was last set to.
    shares: Vec<Share>,
    split: Split,
    /// Reserve of the current leader, whose index is `leader`.
    reserve: Bucket,
    leader: usize,
    history: Vec<Admitted>,
}

impl Fleet {
    fn new(drift: Vec<i64>) -> Self {
        let split = Split::new(UNITS, VMS as u64);
        let world = World::new(split.pool(), drift);
        let (leader, now) = world.lead();
        Self {
            reserve: reserve(&split, now),
            leader,
            world,
            buckets: Vec::new(),
            shares: Vec::new(),
            split,
            history: Vec::new(),
        }
    }

    fn step(&mut self, step: &Step) {
        self.world.step(step);
        let (leader, now) = self.world.lead();
        if leader != self.leader {
            self.leader = leader;
            self.reserve = reserve(&self.split, now);
        }
        for leaf in 0..self.world.leaves.len() {
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

    /// Only the latest process of a VM has the base share; earlier processes, which may be paused,
    /// keep their lent shares. The bucket itself detects the end of a term.
    fn share(&self, leaf: usize) -> Share {
        let (leaves, vm) = (&self.world.leaves, self.world.leaves[leaf].vm);
        let replaced = leaves[leaf + 1..].iter().any(|later| later.vm == vm);
        let base = if replaced { 0 } else { self.split.seat(1) };
        let holder = &leaves[leaf].holder;
        let now = self.world.read(leaf);
        let (lent, expiry) = (holder.lent(now), holder.until(now));
        Share::new(base * UNIT).with_lent(lent * UNIT, expiry)
    }

    fn spend(&mut self, first: usize, max_requests: u32) {
        let mut count = 0;
        for offset in 0..self.buckets.len() {
            let leaf = (first + offset) % self.buckets.len();
            let now = self.world.read(leaf);
            while count < max_requests && self.buckets[leaf].take(now).is_ok() {
                count += 1;
            }
        }
        let (_, now) = self.world.lead();
        while count < max_requests && self.reserve.take(now).is_ok() {
            count += 1;
        }
        let at_ms = self.world.now;
        self.history.push(Admitted { at_ms, count });
    }

    /// Returns the largest number of requests above rate x window + burst in any window.
    fn excess(&self) -> f64 {
        let mut max_excess = f64::NEG_INFINITY;
        for (index, start) in self.history.iter().enumerate() {
            let mut sum = 0;
            for end in &self.history[index..] {
                sum += end.count;
                let window_ms = u32::try_from(end.at_ms - start.at_ms).expect("short");
                let allowed = f64::from(RATE_PER_S) * f64::from(window_ms) / 1_000.0;
                max_excess = max_excess.max(f64::from(sum) - allowed - f64::from(BURST));
            }
        }
        max_excess
    }
}

fn allowance() -> Allowance {
    Allowance::new(RATE_PER_S.into(), BURST.into())
}

fn reserve(split: &Split, now: Moment) -> Bucket {
    Bucket::new(allowance(), Share::new(split.reserve() * UNIT), now)
}

#[test]
fn fleet_admits_at_most_rate_and_burst_in_any_window() {
    let near_limit = Cell::new(0);
    let spends = prop::collection::vec((0_usize..12, prop_oneof![0_u32..4, Just(100)]), 150);
    let inputs = (drift(), steps(), spends);
    let outcome = runner(CASES).run(&inputs, |(drift, steps, spends)| {
        let mut fleet = Fleet::new(drift);
        for (step, (first, max_requests)) in steps.iter().zip(spends) {
            fleet.step(step);
            fleet.spend(first, max_requests);
        }
        let excess = fleet.excess();
        prop_assert!(excess <= 0.0, "{excess} requests over the limit");
        near_limit.set(near_limit.get() + u32::from(excess > -f64::from(BURST) / 3.0));
        Ok(())
    });
    outcome.unwrap();
    let near_limit = near_limit.get();
    assert!(
        near_limit > CASES / 10,
        "only {near_limit} cases came near the limit"
    );
}
