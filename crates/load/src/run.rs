//! Load runs against one or more targets concurrently.

use std::fmt;
use std::thread;
use std::time::Duration;

use eyre::eyre;
use tokio::runtime::Runtime;
use tokio::sync::mpsc::unbounded_channel;

use crate::caller::{self, Tally, Target};
use crate::pacer;

/// Rate, duration and connections of a run.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Requests per second to each target.
    pub rate: f64,
    /// Duration of the run.
    pub duration: Duration,
    /// Connections to each target.
    pub connections: usize,
}

/// Results of the requests to one target.
#[derive(Debug)]
pub struct Report {
    /// Name of the target.
    pub name: String,
    /// Requests that were due.
    pub due: u64,
    /// Counts and latencies.
    pub tally: Tally,
}

impl Report {
    /// Returns a quantile of the latencies, in microseconds.
    #[must_use]
    pub fn quantile_us(&self, quantile: f64) -> u64 {
        self.tally.latencies.value_at_quantile(quantile)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let served = self.tally.latencies.len();
        write!(
            f,
            "{:<14} due {:>7}, served {served:>7}",
            self.name, self.due
        )?;
        let Tally {
            refused, failed, ..
        } = self.tally;
        write!(f, ", refused {refused}, failed {failed}; ")?;
        for (name, quantile) in [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p99.9", 0.999)] {
            write!(f, "{name} {} us, ", self.quantile_us(quantile))?;
        }
        write!(f, "max {} us", self.tally.latencies.max())
    }
}

/// Sends requests to all `targets` at the same time, so that disturbances on the machine affect
/// all of them. Blocks the current thread.
///
/// # Errors
///
/// Fails if a thread cannot be started or panics.
pub fn run(targets: &[(&str, Target)], plan: Plan) -> eyre::Result<Vec<Report>> {
    let threads = targets.iter().map(|(name, target)| {
        let (name, target) = ((*name).to_owned(), target.clone());
        thread::spawn(move || run_target(name, &target, plan))
    });
    let threads: Vec<_> = threads.collect();
    let results = threads.into_iter().map(|thread| {
        let result = thread.join();
        result.map_err(|_| eyre!("a load thread panicked"))?
    });
    results.collect()
}

fn run_target(name: String, target: &Target, plan: Plan) -> eyre::Result<Report> {
    let runtime = runtime(1)?;
    let mut senders = Vec::new();
    let mut callers = Vec::new();
    for _ in 0..plan.connections {
        let (sender, receiver) = unbounded_channel();
        senders.push(sender);
        callers.push(runtime.spawn(caller::run(target.clone(), receiver)));
    }
    pacer::run(&senders, plan.rate, plan.duration);
    drop(senders);
    let mut tally = Tally::new();
    for caller in callers {
        tally.add(&runtime.block_on(caller)?);
    }
    let due = tally.latencies.len() + tally.refused + tally.failed;
    Ok(Report { name, due, tally })
}

/// Creates a runtime with `workers` threads.
///
/// # Errors
///
/// Fails if a thread cannot be started.
pub fn runtime(workers: usize) -> eyre::Result<Runtime> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    Ok(builder.worker_threads(workers).enable_all().build()?)
}
