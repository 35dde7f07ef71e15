//! Recording of request outcomes and latencies at a gate.

use std::collections::HashMap;

use hdrhistogram::Histogram;
use text::Text;
use text::model::Goal;
use wire::burn::{Delta, LatencyBucket, Tally};

/// Maximum recorded latency, in microseconds; longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Significant decimal digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// A backend server responded without a server error.
    Served,
    /// The request failed because of the system, not the caller.
    Failed,
    /// The request was refused because the workspace's share was exhausted.
    Limited,
}

/// A finished request.
#[derive(Debug, Clone, Copy)]
pub struct Sample<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Name of the workspace; empty on open routes.
    pub workspace: &'a str,
    /// Outcome.
    pub ending: Ending,
    /// Time from the arrival of the request to the response head, in microseconds.
    pub latency_us: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Key {
    service: String,
    workspace: String,
}

#[derive(Debug)]
struct Counters {
    tally: Tally,
    latencies: Histogram<u64>,
}

/// Counts requests between two calls of [`Recorder::take`].
#[derive(Debug, Default)]
pub struct Recorder {
    /// Latency limits in microseconds. The limit of a service's objective has an empty workspace.
    latency_limits: HashMap<Key, u64>,
    counters: HashMap<Key, Counters>,
}

impl Recorder {
    /// Creates an empty recorder without objectives.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the latency limits by those of the objectives in `text`.
    pub fn set_objectives(&mut self, text: &Text) {
        let objectives = text.objectives.iter();
        let objectives = objectives.filter(|objective| objective.kind == Goal::Latency);
        self.latency_limits = objectives
            .filter_map(|objective| {
                let key = Key {
                    service: objective.service.clone(),
                    workspace: objective.workspace.clone().unwrap_or_default(),
                };
                Some((key, objective.below_ms?.saturating_mul(1_000)))
            })
            .collect();
    }

    /// Records one request.
    pub fn record(&mut self, sample: Sample<'_>) {
        let key = Key {
            service: sample.service.to_owned(),
            workspace: sample.workspace.to_owned(),
        };
        let service_key = Key {
            service: sample.service.to_owned(),
            workspace: String::new(),
        };
        let exceeds = |limit_us: Option<&u64>| limit_us.is_some_and(|us| sample.latency_us > *us);
        let served = sample.ending == Ending::Served;
        let late = served && exceeds(self.latency_limits.get(&service_key));
        let late_own =
            served && !key.workspace.is_empty() && exceeds(self.latency_limits.get(&key));
        let counter = self.counters.entry(key).or_insert_with(Counters::new);
        counter.tally.arrived += 1;
        counter.tally.limited += u64::from(sample.ending == Ending::Limited);
        counter.tally.failed += u64::from(sample.ending == Ending::Failed);
        counter.tally.late += u64::from(late);
        counter.tally.late_own += u64::from(late_own);
        if served {
            counter
                .latencies
                .saturating_record(sample.latency_us.max(1));
        }
    }

    /// Returns and clears the counts recorded since the last call.
    pub fn take(&mut self) -> Vec<Delta> {
        let counters = self.counters.drain();
        let delta = |(key, counter): (Key, Counters)| Delta {
            service: key.service,
            workspace: key.workspace,
            tally: counter.tally,
            latencies: latency_buckets(&counter.latencies),
        };
        counters.map(delta).collect()
    }
}

impl Counters {
    fn new() -> Self {
        Self {
            tally: Tally::default(),
            latencies: histogram(),
        }
    }
}

/// Creates an empty histogram of latencies in microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .expect("the constant histogram limits are valid")
}

/// Returns the non-empty buckets of a histogram.
pub fn latency_buckets(histogram: &Histogram<u64>) -> Vec<LatencyBucket> {
    let recorded = histogram.iter_recorded();
    let bucket = |value: hdrhistogram::iterators::IterationValue<u64>| LatencyBucket {
        latency_us: value.value_iterated_to(),
        count: value.count_since_last_iteration(),
    };
    recorded.map(bucket).collect()
}

/// Adds buckets to a histogram.
pub fn add_latency_buckets(histogram: &mut Histogram<u64>, buckets: &[LatencyBucket]) {
    for bucket in buckets {
        histogram.saturating_record_n(bucket.latency_us.max(1), bucket.count);
    }
}
