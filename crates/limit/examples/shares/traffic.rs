//! Traffic of the callers of eight workspaces, which move between zones.

use limit::Allowance;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::layout::{VMS_PER_ZONE, ZONES};

/// Number of workspaces.
pub const WORKSPACES: usize = 8;

/// Index of the workspace that sends five times its rate.
pub const HEAVY: usize = 2;

/// Rate of the largest workspace, in requests per second; the others follow Zipf's law.
const LARGEST_RATE: f64 = 400.0;

/// Demand of a workspace that stays within its rate, as a share of the rate.
const UTILIZATION: f64 = 0.8;

/// Share of a workspace's callers in its main zone.
const MAIN_ZONE_SHARE: f64 = 0.6;

/// Pace at which callers move between zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// At the default shift cap: 10% of the traffic in 10 s, all the time.
    Capped,
    /// All callers within 3 s, every 20 s.
    Abrupt,
}

impl Pace {
    pub fn name(self) -> &'static str {
        match self {
            Self::Capped => "10% in 10 s",
            Self::Abrupt => "60% in 3 s",
        }
    }

    /// Returns the time between two moves of a workspace's main zone, in milliseconds.
    fn interval_ms(self) -> u64 {
        match self {
            Self::Capped => 60_000,
            Self::Abrupt => 20_000,
        }
    }

    /// Returns the duration of a move, in milliseconds.
    fn duration_ms(self) -> u64 {
        match self {
            Self::Capped => 60_000,
            Self::Abrupt => 3_000,
        }
    }
}

/// Length of a run, in milliseconds.
pub const RUN_MS: u64 = 300_000;

/// Time from which requests are counted, in milliseconds.
pub const COUNTED_FROM_MS: u64 = 30_000;

/// A request that arrives at a VM.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub at: u64,
    pub workspace: usize,
    pub vm: usize,
}

/// Allowances and the requests of a whole run.
#[derive(Debug)]
pub struct Workload {
    pub pace: Pace,
    pub burst_s: f64,
    pub allowances: Vec<Allowance>,
    pub arrivals: Vec<Arrival>,
}

impl Workload {
    pub fn new(pace: Pace, burst_s: f64) -> Self {
        let mut rng = StdRng::seed_from_u64(11);
        let rates: Vec<f64> = (1_u32..)
            .take(WORKSPACES)
            .map(|rank| LARGEST_RATE / f64::from(rank))
            .collect();
        let allowances = rates
            .iter()
            .map(|rate| Allowance::new(*rate, rate * burst_s));
        let allowances = allowances.collect();
        let mut arrivals = Vec::new();
        for at in 0..RUN_MS {
            for (workspace, rate) in rates.iter().enumerate() {
                let load = if workspace == HEAVY { 5.0 } else { UTILIZATION };
                let expected = rate * load / 1_000.0;
                for _ in 0..poisson(expected, &mut rng) {
                    let vm = choose_vm(pace, workspace, at, &mut rng);
                    arrivals.push(Arrival { at, workspace, vm });
                }
            }
        }
        Self {
            pace,
            burst_s,
            allowances,
            arrivals,
        }
    }
}

/// Returns the VM that a caller of `workspace` uses at `at`.
fn choose_vm(pace: Pace, workspace: usize, at: u64, rng: &mut StdRng) -> usize {
    let phase = at + 2_500 * workspace as u64;
    let moves = usize::try_from(phase / pace.interval_ms()).unwrap_or(0);
    let elapsed_ms = phase % pace.interval_ms();
    let has_moved = rng.random_range(0..pace.duration_ms()) < elapsed_ms;
    let main = main_zone(workspace, if has_moved { moves + 1 } else { moves });
    let zone = if rng.random_bool(MAIN_ZONE_SHARE) {
        main
    } else {
        rng.random_range(0..ZONES)
    };
    zone * VMS_PER_ZONE + rng.random_range(0..VMS_PER_ZONE)
}

fn main_zone(workspace: usize, moves: usize) -> usize {
    let mut rng = StdRng::seed_from_u64((workspace * 1_000 + moves) as u64);
    rng.random_range(0..ZONES)
}

fn poisson(expected: f64, rng: &mut StdRng) -> usize {
    let limit = (-expected).exp();
    let mut product: f64 = rng.random();
    let mut count = 0;
    while product > limit {
        count += 1;
        product *= rng.random::<f64>();
    }
    count
}
