//! Counts kept in buckets by a control daemon.

use std::collections::{BTreeMap, VecDeque};

use hdrhistogram::Histogram;
use wire::burn::{Bucket, Delta, LatencyBucket, Recording, Series, Tally};

use crate::recorder::{add_steps, histogram, steps};
use crate::window::{WINDOWS, Window};

/// Length of a slice of kept latencies, in seconds.
const SLICE_S: u64 = 600;

/// Slices of kept latencies.
const SLICES: u64 = 6;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Name {
    service: String,
    workspace: String,
}

#[derive(Debug, Default)]
struct Kept {
    /// Buckets of each window in [`WINDOWS`], oldest first, none older than its window.
    windows: [VecDeque<Bucket>; WINDOWS.len()],
    /// Latencies by slice, oldest first.
    slices: VecDeque<Slice>,
}

#[derive(Debug)]
struct Slice {
    index: u64,
    latencies: Histogram<u64>,
}

/// The recording of one VM.
#[derive(Debug)]
pub struct History {
    since_unix_s: u64,
    kept: BTreeMap<Name, Kept>,
}

impl History {
    /// Creates an empty history that begins at `now_unix_s`.
    #[must_use]
    pub fn new(now_unix_s: u64) -> Self {
        Self {
            since_unix_s: now_unix_s,
            kept: BTreeMap::new(),
        }
    }

    /// Adds what a gate recorded.
    pub fn add(&mut self, deltas: &[Delta], now_unix_s: u64) {
        for delta in deltas {
            let name = Name {
                service: delta.service.clone(),
                workspace: delta.workspace.clone(),
            };
            self.kept.entry(name).or_default().add(delta, now_unix_s);
        }
    }

    /// Returns everything that is still within a window.
    #[must_use]
    pub fn recording(&self, now_unix_s: u64) -> Recording {
        let series = |(name, kept): (&Name, &Kept)| Series {
            service: name.service.clone(),
            workspace: name.workspace.clone(),
            windows: kept.windows_at(now_unix_s),
            latencies: kept.latencies_at(now_unix_s),
        };
        Recording {
            since_unix_s: self.since_unix_s,
            now_unix_s,
            series: self.kept.iter().map(series).collect(),
        }
    }
}

impl Kept {
    fn add(&mut self, delta: &Delta, now_unix_s: u64) {
        for (window, buckets) in WINDOWS.iter().zip(&mut self.windows) {
            add_bucket(window, buckets, delta.tally, now_unix_s);
        }
        let index = now_unix_s / SLICE_S;
        if self.slices.back().is_none_or(|slice| slice.index < index) {
            let latencies = histogram();
            self.slices.push_back(Slice { index, latencies });
        }
        if let Some(slice) = self.slices.back_mut() {
            add_steps(&mut slice.latencies, &delta.latencies);
        }
        while self.slices.len() as u64 > SLICES {
            self.slices.pop_front();
        }
    }

    fn windows_at(&self, now_unix_s: u64) -> Vec<Vec<Bucket>> {
        let current = |(window, buckets): (&Window, &VecDeque<Bucket>)| {
            let held = buckets.iter();
            let held = held.filter(|bucket| window.holds(bucket.index, now_unix_s));
            held.copied().collect()
        };
        WINDOWS.iter().zip(&self.windows).map(current).collect()
    }

    fn latencies_at(&self, now_unix_s: u64) -> Vec<LatencyBucket> {
        let last = now_unix_s / SLICE_S;
        let mut merged = histogram();
        let recent = self.slices.iter();
        for slice in recent.filter(|slice| last.saturating_sub(slice.index) < SLICES) {
            add_steps(&mut merged, &steps(&slice.latencies));
        }
        steps(&merged)
    }
}

fn add_bucket(window: &Window, buckets: &mut VecDeque<Bucket>, tally: Tally, now_unix_s: u64) {
    let index = window.index(now_unix_s);
    match buckets.back_mut() {
        // A clock that was set back counts into the newest bucket.
        Some(last) if last.index >= index => last.tally = sum(last.tally, tally),
        _ => buckets.push_back(Bucket { index, tally }),
    }
    while buckets
        .front()
        .is_some_and(|first| !window.holds(first.index, now_unix_s) && first.index < index)
    {
        buckets.pop_front();
    }
}

/// Adds two tallies.
pub fn sum(left: Tally, right: Tally) -> Tally {
    Tally {
        arrived: left.arrived + right.arrived,
        limited: left.limited + right.limited,
        failed: left.failed + right.failed,
        late: left.late + right.late,
        late_own: left.late_own + right.late_own,
    }
}
