//! Latencies and error counts of a run.

use hdrhistogram::Histogram;

use crate::policy::Policy;

/// Column names of the table.
pub const HEADER: &str = "| shape | policy | p50 ms | p99 ms | p99.9 ms | good/s | refused % | \
failed % | worst workspace p99 ms | worst workspace refused or failed % | drain s | most shifted %/window |";

/// Separator line below the column names.
pub const RULE: &str = "|---|---|---|---|---|---|---|---|---|---|---|---|";

/// Counts and latencies of requests that were within rate.
#[derive(Debug)]
pub struct Record {
    latency: Histogram<u64>,
    workspaces: Vec<Histogram<u64>>,
    /// Requests that were refused or failed, by workspace.
    bad: Vec<u64>,
    good: u64,
    refused: u64,
    failed: u64,
    /// Time from the drain of a zone until no request runs there, in seconds.
    pub drain_s: Option<f64>,
    /// Largest share of one service's traffic that changed zones within one window, in percent.
    pub shifted_percent: f64,
}

/// Result of a request for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// A response arrived after this many milliseconds.
    Good(u64),
    /// The request was refused and did not run.
    Refused,
    /// The request was sent but received no usable response.
    Failed,
}

impl Record {
    /// Creates empty counts for `workspaces` workspaces.
    pub fn new(workspaces: usize) -> eyre::Result<Self> {
        let histogram = Histogram::new(3)?;
        Ok(Self {
            workspaces: vec![histogram.clone(); workspaces],
            latency: histogram,
            bad: vec![0; workspaces],
            good: 0,
            refused: 0,
            failed: 0,
            drain_s: None,
            shifted_percent: 0.0,
        })
    }

    /// Counts a request that was within rate.
    pub fn add(&mut self, workspace: usize, completion: Completion) {
        match completion {
            Completion::Good(ms) => {
                self.good += 1;
                self.latency.saturating_record(ms);
                self.workspaces[workspace].saturating_record(ms);
            }
            Completion::Refused => self.refused += 1,
            Completion::Failed => self.failed += 1,
        }
        if !matches!(completion, Completion::Good(_)) {
            self.bad[workspace] += 1;
        }
    }

    /// Returns the run's row of the table.
    pub fn row(&self, shape: &str, policy: Policy, seconds: u64) -> String {
        let p = |quantile| self.latency.value_at_quantile(quantile);
        let worst = self.workspaces.iter().map(|w| w.value_at_quantile(0.99));
        let all = count(self.good + self.refused + self.failed).max(1.0);
        let percent = |part: u64| count(part) * 100.0 / all;
        let refused = |(bad, good): (&u64, &Histogram<u64>)| {
            count(*bad) * 100.0 / count(bad + good.len()).max(1.0)
        };
        let worst_bad = self.bad.iter().zip(&self.workspaces).map(refused);
        let drain = self
            .drain_s
            .map_or("never".to_owned(), |s| format!("{s:.1}"));
        format!(
            "| {shape} | {policy} | {} | {} | {} | {:.0} | {:.3} | {:.3} | {} | {:.2} | {drain} | {:.1} |",
            p(0.5),
            p(0.99),
            p(0.999),
            count(self.good) / count(seconds),
            percent(self.refused),
            percent(self.failed),
            worst.max().unwrap_or(0),
            worst_bad.fold(0.0, f64::max),
            self.shifted_percent,
        )
    }
}

fn count(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
