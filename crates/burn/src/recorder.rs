//! Recording of requests at a gate.

use std::collections::HashMap;

use hdrhistogram::Histogram;
use text::Text;
use text::model::Goal;
use wire::burn::{Delta, LatencyBucket, Tally};

/// Longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Significant decimal digits of recorded latencies.
const DIGITS: u8 = 2;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// A backend server answered without a failure of its own.
    Served,
    /// It failed on the system's side.
    Failed,
    /// It was refused because the workspace's share was used up.
    Limited,
}

/// One request.
#[derive(Debug, Clone, Copy)]
pub struct Sample<'a> {
    /// Service.
    pub service: &'a str,
    /// Workspace; empty on open routes.
    pub workspace: &'a str,
    /// How it ended.
    pub ending: Ending,
    /// Time from its arrival to the head of its answer, in microseconds.
    pub latency_us: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Name {
    service: String,
    workspace: String,
}

#[derive(Debug)]
struct Cell {
    tally: Tally,
    latencies: Histogram<u64>,
}

/// Counts requests until they are taken.
#[derive(Debug, Default)]
pub struct Recorder {
    /// Latency bounds in microseconds; an empty workspace stands for the service's objective.
    bounds: HashMap<Name, u64>,
    cells: HashMap<Name, Cell>,
}

impl Recorder {
    /// Creates an empty recorder without objectives.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the latency bounds of a text's objectives.
    pub fn set_objectives(&mut self, text: &Text) {
        let latency = text.objectives.iter();
        let latency = latency.filter(|objective| objective.kind == Goal::Latency);
        self.bounds = latency
            .filter_map(|objective| {
                let name = Name {
                    service: objective.service.clone(),
                    workspace: objective.workspace.clone().unwrap_or_default(),
                };
                Some((name, objective.below_ms?.saturating_mul(1_000)))
            })
            .collect();
    }

    /// Records one request.
    pub fn record(&mut self, sample: Sample<'_>) {
        let own = Name {
            service: sample.service.to_owned(),
            workspace: sample.workspace.to_owned(),
        };
        let general = Name {
            service: sample.service.to_owned(),
            workspace: String::new(),
        };
        let later_than = |bound: Option<&u64>| bound.is_some_and(|us| sample.latency_us > *us);
        let served = sample.ending == Ending::Served;
        let late = served && later_than(self.bounds.get(&general));
        let late_own = served && !own.workspace.is_empty() && later_than(self.bounds.get(&own));
        let cell = self.cells.entry(own).or_insert_with(Cell::new);
        cell.tally.arrived += 1;
        cell.tally.limited += u64::from(sample.ending == Ending::Limited);
        cell.tally.failed += u64::from(sample.ending == Ending::Failed);
        cell.tally.late += u64::from(late);
        cell.tally.late_own += u64::from(late_own);
        if served {
            cell.latencies.saturating_record(sample.latency_us.max(1));
        }
    }

    /// Returns what was recorded since the last call.
    pub fn take(&mut self) -> Vec<Delta> {
        let cells = self.cells.drain();
        let delta = |(name, cell): (Name, Cell)| Delta {
            service: name.service,
            workspace: name.workspace,
            tally: cell.tally,
            latencies: steps(&cell.latencies),
        };
        cells.map(delta).collect()
    }
}

impl Cell {
    fn new() -> Self {
        Self {
            tally: Tally::default(),
            latencies: histogram(),
        }
    }
}

/// Creates an empty histogram of latencies in microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, DIGITS)
        .expect("the bounds of the histogram are constants that the library accepts")
}

/// Returns the non-empty steps of a histogram.
pub fn steps(histogram: &Histogram<u64>) -> Vec<LatencyBucket> {
    let recorded = histogram.iter_recorded();
    let step = |value: hdrhistogram::iterators::IterationValue<u64>| LatencyBucket {
        latency_us: value.value_iterated_to(),
        count: value.count_since_last_iteration(),
    };
    recorded.map(step).collect()
}

/// Adds steps to a histogram.
pub fn add_steps(histogram: &mut Histogram<u64>, steps: &[LatencyBucket]) {
    for step in steps {
        histogram.saturating_record_n(step.latency_us.max(1), step.count);
    }
}
