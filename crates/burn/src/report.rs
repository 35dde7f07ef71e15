//! Burn rates computed from the recordings of a fleet.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;
use text::Text;
use text::model::{Goal, Objective};
use wire::burn::{Bucket, Recording, Series, Tally};

use crate::history::sum;
use crate::recorder::{add_latency_buckets, histogram};
use crate::window::{WINDOWS, Window};

/// Burn rate at which [`Alert::Page`] is raised, if both short windows reach it.
const PAGE_RATE: f64 = 14.4;

/// Burn rate at which [`Alert::Ticket`] is raised, if both long windows reach it.
const TICKET_RATE: f64 = 1.0;

/// Urgency of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Alert {
    /// No action is needed: the error budget lasts.
    None,
    /// The error budget is exhausted within days: action in working hours.
    Ticket,
    /// The error budget is exhausted within hours: action at once.
    Page,
}

/// Burn rate over one window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Burn {
    /// Name of the window.
    pub window: &'static str,
    /// Requests counted by the objective.
    pub total: u64,
    /// Requests that missed the objective.
    pub bad: u64,
    /// Ratio of bad requests, divided by the ratio that the objective allows.
    pub rate: f64,
}

/// Part of the fleet that a report covers.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Coverage {
    /// Number of listed VMs.
    pub listed: usize,
    /// Number of VMs that responded.
    pub answered: usize,
    /// For each window, the ratio of the listed VMs' time that the recordings cover, from 0 to 1.
    pub windows: Vec<f64>,
}

/// Burn rates of one objective for one workspace.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// Name of the service.
    pub service: String,
    /// Name of the workspace; empty on open routes.
    pub workspace: String,
    /// Goal of the objective.
    pub goal: Goal,
    /// Requests that must meet the objective, in percent.
    pub percent: f64,
    /// Burn rate over each window, shortest first.
    pub burns: Vec<Burn>,
    /// 99th percentile of the latencies of the last hour, which 99 of 100 responses do not exceed,
    /// in microseconds.
    pub p99_us: u64,
    /// Urgency.
    pub alert: Alert,
}

/// Burn rates of all objectives.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Part of the fleet that is covered.
    pub coverage: Coverage,
    /// Rows, sorted by urgency and then by maximum burn rate, highest first.
    pub rows: Vec<Row>,
}

/// A series, merged over all VMs.
#[derive(Debug)]
struct Merged {
    /// Tallies of each window, by bucket index.
    windows: Vec<BTreeMap<u64, Tally>>,
    latencies: Histogram<u64>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    service: String,
    workspace: String,
}

impl Report {
    /// Computes the burn rates of the objectives in `text` from the recordings of the VMs that
    /// responded, out of `listed` VMs.
    #[must_use]
    pub fn new(text: &Text, recordings: &[Recording], listed: usize) -> Self {
        let merged = merge(recordings);
        let mut rows: Vec<Row> = text
            .objectives
            .iter()
            .flat_map(|objective| rows(text, objective, &merged))
            .collect();
        rows.sort_by(|left, right| {
            let urgency = right.alert.cmp(&left.alert);
            urgency.then_with(|| right.max_rate().total_cmp(&left.max_rate()))
        });
        Self {
            coverage: coverage(recordings, listed),
            rows,
        }
    }
}

impl Row {
    /// Returns the highest burn rate over all windows.
    #[must_use]
    pub fn max_rate(&self) -> f64 {
        let rates = self.burns.iter().map(|burn| burn.rate);
        rates.fold(0.0, f64::max)
    }
}

fn merge(recordings: &[Recording]) -> BTreeMap<Key, Merged> {
    let mut merged: BTreeMap<Key, Merged> = BTreeMap::new();
    for series in recordings.iter().flat_map(|recording| &recording.series) {
        let key = Key {
            service: series.service.clone(),
            workspace: series.workspace.clone(),
        };
        merged.entry(key).or_insert_with(Merged::new).add(series);
    }
    merged
}

impl Merged {
    fn new() -> Self {
        Self {
            windows: vec![BTreeMap::new(); WINDOWS.len()],
            latencies: histogram(),
        }
    }

    fn add(&mut self, series: &Series) {
        for (buckets, tallies) in series.windows.iter().zip(&mut self.windows) {
            for Bucket { index, tally } in buckets {
                let total = tallies.entry(*index).or_default();
                *total = sum(*total, *tally);
            }
        }
        add_latency_buckets(&mut self.latencies, &series.latencies);
    }
}

fn rows<'a>(
    text: &'a Text,
    objective: &'a Objective,
    merged: &'a BTreeMap<Key, Merged>,
) -> impl Iterator<Item = Row> + 'a {
    let applies = move |key: &&Key| {
        let wanted = objective.workspace.as_ref();
        key.service == objective.service && wanted.is_none_or(|name| *name == key.workspace)
    };
    let keys = merged.keys().filter(applies);
    keys.map(move |key| row(text, objective, key, merged))
}

fn row(text: &Text, objective: &Objective, key: &Key, all: &BTreeMap<Key, Merged>) -> Row {
    let allowed = (1.0 - objective.percent / 100.0).max(f64::EPSILON);
    let merged = &all[key];
    let burn = |(window, tallies): (&Window, &BTreeMap<u64, Tally>)| {
        let counts = match objective.kind {
            Goal::Admission => count_admission(text, key, *window, all),
            Goal::Availability | Goal::Latency => count(objective, tallies),
        };
        Burn {
            window: window.name,
            total: counts.total,
            bad: counts.bad,
            rate: bad_ratio(counts) / allowed,
        }
    };
    let burns: Vec<Burn> = WINDOWS.iter().zip(&merged.windows).map(burn).collect();
    Row {
        service: key.service.clone(),
        workspace: key.workspace.clone(),
        goal: objective.kind,
        percent: objective.percent,
        alert: alert(&burns),
        burns,
        p99_us: merged.latencies.value_at_quantile(0.99),
    }
}

/// Requests counted by an objective.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    total: u64,
    bad: u64,
}

fn count(objective: &Objective, tallies: &BTreeMap<u64, Tally>) -> Counts {
    let all = tallies.values().copied().fold(Tally::default(), sum);
    let admitted = all.arrived - all.limited.min(all.arrived);
    match objective.kind {
        Goal::Latency => Counts {
            total: admitted - all.failed.min(admitted),
            bad: if objective.workspace.is_some() {
                all.late_own
            } else {
                all.late
            },
        },
        Goal::Availability | Goal::Admission => Counts {
            total: admitted,
            bad: all.failed,
        },
    }
}

/// Counts the requests of a workspace that were refused although the workspace was within its rate
/// over the whole fleet. In each bucket, these are limited to the number of requests that the rate
/// would have admitted in addition to the admitted ones.
fn count_admission(text: &Text, key: &Key, window: Window, all: &BTreeMap<Key, Merged>) -> Counts {
    let Some(workspace) = text.workspace(&key.workspace) else {
        return Counts::default();
    };
    let position = WINDOWS.iter().position(|other| *other == window);
    let position = position.unwrap_or_default();
    let mut fleet_tallies: BTreeMap<u64, Tally> = BTreeMap::new();
    for (_, merged) in all
        .iter()
        .filter(|(other, _)| other.workspace == key.workspace)
    {
        for (index, tally) in &merged.windows[position] {
            let total = fleet_tallies.entry(*index).or_default();
            *total = sum(*total, *tally);
        }
    }
    let mut counts = Counts::default();
    for (index, tally) in &all[key].windows[position] {
        let tally_of_fleet = fleet_tallies[index];
        let capacity = capacity(workspace.rate, window.bucket_s, tally_of_fleet);
        let within_rate = tally.limited.min(capacity);
        counts.bad += within_rate;
        counts.total += tally.arrived - tally.limited + within_rate;
    }
    counts
}

/// Returns how many more requests `rate` requests per second would have admitted in a bucket.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "the product is a positive count far below 2^53"
)]
fn capacity(rate: f64, bucket_s: u64, tally: Tally) -> u64 {
    let allowed = (rate * bucket_s as f64).floor() as u64;
    allowed.saturating_sub(tally.arrived - tally.limited)
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
fn bad_ratio(counts: Counts) -> f64 {
    if counts.total == 0 {
        return 0.0;
    }
    counts.bad as f64 / counts.total as f64
}

fn alert(burns: &[Burn]) -> Alert {
    let reached = |range: std::ops::Range<usize>, rate: f64| {
        burns[range].iter().all(|burn| burn.rate >= rate)
    };
    if reached(0..2, PAGE_RATE) {
        Alert::Page
    } else if reached(2..4, TICKET_RATE) {
        Alert::Ticket
    } else {
        Alert::None
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
fn coverage(recordings: &[Recording], listed: usize) -> Coverage {
    let covered = |window: &Window| {
        let length_s = window.length_s();
        let recorded_s: u64 = recordings
            .iter()
            .map(|recording| {
                recording
                    .now_unix_s
                    .saturating_sub(recording.since_unix_s)
                    .min(length_s)
            })
            .sum();
        let listed = listed.max(recordings.len()).max(1);
        recorded_s as f64 / (length_s as f64 * listed as f64)
    };
    Coverage {
        listed: listed.max(recordings.len()),
        answered: recordings.len(),
        windows: WINDOWS.iter().map(covered).collect(),
    }
}
