//! One run of one policy, and what came of it.

use std::hint::black_box;
use std::time::Instant;

use hdrhistogram::Histogram;
use limit::{Allowance, Bucket, Demand, Share};
use std::sync::Mutex;
use timer::{Moment, Service};
use wire::lend::FULL_SHARE;

use crate::layout::Cut;
use crate::policy::{Ideal, Policy};
use crate::traffic::{COUNTED_FROM_MS, HEAVY, WORKSPACES, Workload};

/// Checks whose time is measured.
const CHECKS: u32 = 200_000;

/// Requests of one workspace.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    ideal: u32,
    admitted: u32,
    /// Refused though the ideal admitted them.
    unjust: u32,
}

/// Outcome of a run.
#[derive(Debug)]
pub struct Outcome {
    counts: [Count; WORKSPACES],
    /// Time of decisions on the network, in microseconds.
    hops: Histogram<u64>,
}

/// Runs `policy` on `workload`.
pub fn run(workload: &Workload, cut: Cut, policy: &mut dyn Policy) -> Outcome {
    let mut ideal = Ideal::new(workload);
    let mut outcome = Outcome {
        counts: [Count::default(); WORKSPACES],
        hops: Histogram::new(3).expect("valid precision"),
    };
    let mut now = 0;
    for arrival in &workload.arrivals {
        while now <= arrival.at {
            policy.advance(cut, now);
            now += 1;
        }
        let due = ideal.admits(arrival);
        let admitted = policy.admits(cut, arrival);
        if arrival.at < COUNTED_FROM_MS {
            continue;
        }
        let count = &mut outcome.counts[arrival.workspace];
        count.ideal += u32::from(due);
        count.admitted += u32::from(admitted);
        count.unjust += u32::from(due && !admitted);
        let hop_us = policy.hop_ms(arrival) * 1_000.0;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small"
        )]
        outcome.hops.record(hop_us as u64).expect("it resizes");
    }

    outcome
}

impl Outcome {
    fn in_rate(&self) -> impl Iterator<Item = &Count> {
        let counts = self.counts.iter().enumerate();
        counts
            .filter(|(workspace, _)| *workspace != HEAVY)
            .map(|(_, count)| count)
    }

    /// Returns the unjust refusals of the workspaces that stay within their rates.
    pub fn unjust_percent(&self) -> f64 {
        let unjust = self.in_rate().map(|count| count.unjust).sum();
        percent(unjust, self.in_rate().map(|count| count.ideal).sum())
    }

    /// Returns the unjust refusals of the worst-served of them.
    pub fn worst_percent(&self) -> f64 {
        let percents = self
            .in_rate()
            .map(|count| percent(count.unjust, count.ideal));
        percents.fold(0.0, f64::max)
    }

    /// Returns what the workspace at five times its rate got of what the ideal gave it.
    pub fn heavy_percent(&self) -> f64 {
        let heavy = self.counts[HEAVY];
        percent(heavy.admitted, heavy.ideal)
    }

    #[expect(clippy::cast_precision_loss, reason = "small")]
    pub fn hop_ms(&self, quantile: f64) -> f64 {
        self.hops.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

fn percent(part: u32, whole: u32) -> f64 {
    100.0 * f64::from(part) / f64::from(whole.max(1))
}

/// Returns a quantile of the time of one check as a gate makes it, in nanoseconds.
pub fn check_ns(quantile: f64) -> u64 {
    let clock = Service::new();
    let share = Share::new(FULL_SHARE / 5).with_lent(FULL_SHARE / 5, Moment(u64::MAX));
    let bucket = Bucket::new(Allowance::new(1e6, 1e6), share, clock.now());
    let tenant = Mutex::new((bucket, Demand::new()));
    let mut times: Histogram<u64> = Histogram::new(3).expect("valid precision");
    for _ in 0..CHECKS {
        let start = Instant::now();
        let mut tenant = tenant.lock().expect("not poisoned");
        let now = clock.now();
        tenant.1.count(now);
        let _ = black_box(tenant.0.take(now));
        drop(tenant);
        let elapsed = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
        times.record(elapsed).expect("it resizes");
    }
    times.value_at_quantile(quantile)
}
