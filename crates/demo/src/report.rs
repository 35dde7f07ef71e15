//! What callers saw, phase by phase.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::caller::Outcome;

/// Outcomes of one kind of caller in one phase.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// Requests answered by a backend server.
    pub served: u64,
    /// Requests refused, by code.
    pub refused: BTreeMap<String, u64>,
    /// Requests without an answer.
    pub lost: u64,
    /// Latencies of served requests, in microseconds.
    latencies_us: Vec<u64>,
}

impl Tally {
    /// Adds one request.
    pub fn add(&mut self, outcome: &Outcome, took: Duration) {
        match outcome {
            Outcome::Served => {
                self.served += 1;
                let took = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
                self.latencies_us.push(took);
            }
            Outcome::Refused { code, .. } => *self.refused.entry(code.clone()).or_default() += 1,
            Outcome::Lost(_) => self.lost += 1,
        }
    }

    /// Adds the requests of `other`.
    pub fn merge(&mut self, other: &Self) {
        self.served += other.served;
        self.lost += other.lost;
        for (code, count) in &other.refused {
            *self.refused.entry(code.clone()).or_default() += count;
        }
        self.latencies_us.extend_from_slice(&other.latencies_us);
    }

    /// Returns the number of requests that were not served.
    #[must_use]
    pub fn failed(&self) -> u64 {
        self.lost + self.refused.values().sum::<u64>()
    }

    /// Returns the latency that `percent` of the served requests stay within, in microseconds.
    #[must_use]
    pub fn percentile_us(&self, percent: usize) -> u64 {
        let mut sorted = self.latencies_us.clone();
        sorted.sort_unstable();
        let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
        sorted.get(index).copied().unwrap_or(0)
    }
}

/// A line of the report.
#[derive(Debug, Clone)]
pub struct Row {
    /// What happened in the phase.
    pub phase: &'static str,
    /// Which callers.
    pub callers: &'static str,
    /// What they saw.
    pub tally: Tally,
    /// The promise that was broken, if any.
    pub broken: Option<String>,
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let refused = self.tally.refused.iter();
        let refused: Vec<String> = refused.map(|(code, n)| format!("{code}:{n}")).collect();
        write!(
            f,
            "{:<26} {:<22} {:>6} {:>5} {:>7} {:>7}  {:<28} {}",
            self.phase,
            self.callers,
            self.tally.served,
            self.tally.lost,
            self.tally.percentile_us(50),
            self.tally.percentile_us(99),
            refused.join(" "),
            self.broken.as_deref().unwrap_or("kept"),
        )
    }
}

/// Returns the report's heading.
#[must_use]
pub fn heading() -> String {
    format!(
        "{:<26} {:<22} {:>6} {:>5} {:>7} {:>7}  {:<28} {}",
        "phase", "callers", "served", "lost", "p50 µs", "p99 µs", "refused", "promise"
    )
}
