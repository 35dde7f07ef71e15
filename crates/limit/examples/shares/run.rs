//! Runs one policy and collects its outcome.

use std::hint::black_box;
use std::time::Instant;

use hdrhistogram::Histogram;
use limit::{Allowance, Bucket, Demand, Share};
use std::sync::Mutex;
use timer::{Moment, Service};
use wire::lend::FULL_SHARE;

use crate::layout::Partition;
use crate::policy::{Ideal, Policy};
use crate::traffic::{COUNTED_FROM_MS, HEAVY, WORKSPACES, Workload};

/// Number of checks whose time is measured.
const CHECKS: u32 = 200_000;

/// Request counts of one workspace.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    ideal: u32,
    admitted: u32,
    /// Refused although the ideal policy admitted them.
    wrongly_refused: u32,
}

/// Outcome of a run.
#[derive(Debug)]
pub struct Outcome {
    counts: [Count; WORKSPACES],
    /// Network times of decisions, in microseconds.
    network_times: Histogram<u64>,
}

/// Runs `policy` on `workload`.
pub fn run(workload: &Workload, partition: Partition, policy: &mut dyn Policy) -> Outcome {
    let mut ideal = Ideal::new(workload);
    let mut outcome = Outcome {
        counts: [Count::default(); WORKSPACES],
        network_times: Histogram::new(3).expect("valid precision"),
    };
    let mut now = 0;
    for arrival in &workload.arrivals {
        while now <= arrival.at {
            policy.advance(partition, now);
            now += 1;
        }
        let ideally_admitted = ideal.admits(arrival);
        let admitted = policy.admits(partition, arrival);
        if arrival.at < COUNTED_FROM_MS {
            continue;
        }
        let count = &mut outcome.counts[arrival.workspace];
        count.ideal += u32::from(ideally_admitted);
        count.admitted += u32::from(admitted);
        count.wrongly_refused += u32::from(ideally_admitted && !admitted);
        let network_us = policy.network_ms(arrival) * 1_000.0;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small"
        )]
        outcome
            .network_times
            .record(network_us as u64)
            .expect("the histogram resizes");
    }

    outcome
}

impl Outcome {
    fn within_rate(&self) -> impl Iterator<Item = &Count> {
        let counts = self.counts.iter().enumerate();
        counts
            .filter(|(workspace, _)| *workspace != HEAVY)
            .map(|(_, count)| count)
    }

    /// Returns the wrongly refused percentage of the requests of workspaces within their rates.
    pub fn wrongly_refused_percent(&self) -> f64 {
        let wrongly_refused = self.within_rate().map(|count| count.wrongly_refused).sum();
        percent(
            wrongly_refused,
            self.within_rate().map(|count| count.ideal).sum(),
        )
    }

    /// Returns the largest wrongly refused percentage of any workspace within its rate.
    pub fn max_wrongly_refused_percent(&self) -> f64 {
        let percents = self
            .within_rate()
            .map(|count| percent(count.wrongly_refused, count.ideal));
        percents.fold(0.0, f64::max)
    }

    /// Returns the admitted requests of the workspace at five times its rate, in percent of the
    /// requests that the ideal policy admits.
    pub fn heavy_admitted_percent(&self) -> f64 {
        let heavy = self.counts[HEAVY];
        percent(heavy.admitted, heavy.ideal)
    }

    #[expect(clippy::cast_precision_loss, reason = "small")]
    pub fn network_ms(&self, quantile: f64) -> f64 {
        self.network_times.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

fn percent(part: u32, whole: u32) -> f64 {
    100.0 * f64::from(part) / f64::from(whole.max(1))
}

/// Returns a quantile of the duration of one check, made as in a gate, in nanoseconds.
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
        times.record(elapsed).expect("the histogram resizes");
    }
    times.value_at_quantile(quantile)
}
