//! History of request counts, kept in buckets by a control daemon.

use std::collections::{BTreeMap, VecDeque};

use hdrhistogram::Histogram;
use wire::burn::{Bucket, Delta, LatencyBucket, Recording, Series, Tally};

use crate::recorder::{add_latency_buckets, histogram, latency_buckets};
use crate::window::{WINDOWS, Window};

/// Length of a latency slice, in seconds.
const SLICE_S: u64 = 600;

/// Maximum number of latency slices.
const MAX_SLICES: u64 = 6;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    service: String,
    workspace: String,
}

/// Counts and latencies of one service and workspace.
#[derive(Debug, Default)]
struct SeriesHistory {
    /// Buckets of each window in [`WINDOWS`], oldest first; buckets older than the window are
    /// removed.
    windows: [VecDeque<Bucket>; WINDOWS.len()],
    /// Latency slices, oldest first.
    slices: VecDeque<Slice>,
}

/// Latencies recorded within [`SLICE_S`] seconds.
#[derive(Debug)]
struct Slice {
    index: u64,
    latencies: Histogram<u64>,
}

/// Request counts and latencies of one VM.
#[derive(Debug)]
pub struct History {
    since_unix_s: u64,
    series: BTreeMap<Key, SeriesHistory>,
}

impl History {
    /// Creates an empty history that begins at `now_unix_s`.
    #[must_use]
    pub fn new(now_unix_s: u64) -> Self {
        Self {
            since_unix_s: now_unix_s,
            series: BTreeMap::new(),
        }
    }

    /// Adds counts recorded by a gate.
    pub fn add(&mut self, deltas: &[Delta], now_unix_s: u64) {
        for delta in deltas {
            let key = Key {
                service: delta.service.clone(),
                workspace: delta.workspace.clone(),
            };
            self.series.entry(key).or_default().add(delta, now_unix_s);
        }
    }

    /// Returns all counts that are still within a window.
    #[must_use]
    pub fn recording(&self, now_unix_s: u64) -> Recording {
        let to_series = |(key, series): (&Key, &SeriesHistory)| Series {
            service: key.service.clone(),
            workspace: key.workspace.clone(),
            windows: series.windows_at(now_unix_s),
            latencies: series.latencies_at(now_unix_s),
        };
        Recording {
            since_unix_s: self.since_unix_s,
            now_unix_s,
            series: self.series.iter().map(to_series).collect(),
        }
    }
}

impl SeriesHistory {
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
            add_latency_buckets(&mut slice.latencies, &delta.latencies);
        }
        while self.slices.len() as u64 > MAX_SLICES {
            self.slices.pop_front();
        }
    }

    fn windows_at(&self, now_unix_s: u64) -> Vec<Vec<Bucket>> {
        let in_window = |(window, buckets): (&Window, &VecDeque<Bucket>)| {
            let included = buckets.iter();
            let included = included.filter(|bucket| window.includes(bucket.index, now_unix_s));
            included.copied().collect()
        };
        WINDOWS.iter().zip(&self.windows).map(in_window).collect()
    }

    fn latencies_at(&self, now_unix_s: u64) -> Vec<LatencyBucket> {
        let last = now_unix_s / SLICE_S;
        let mut merged = histogram();
        let recent = self.slices.iter();
        for slice in recent.filter(|slice| last.saturating_sub(slice.index) < MAX_SLICES) {
            add_latency_buckets(&mut merged, &latency_buckets(&slice.latencies));
        }
        latency_buckets(&merged)
    }
}

fn add_bucket(window: &Window, buckets: &mut VecDeque<Bucket>, tally: Tally, now_unix_s: u64) {
    let index = window.index(now_unix_s);
    match buckets.back_mut() {
        // If the clock was set back, the counts go into the newest bucket.
        Some(last) if last.index >= index => last.tally = sum(last.tally, tally),
        _ => buckets.push_back(Bucket { index, tally }),
    }
    while buckets
        .front()
        .is_some_and(|first| !window.includes(first.index, now_unix_s) && first.index < index)
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
