//! Results of a run, as callers see them.

use std::time::Duration;

use crate::scenario::Scenario;

/// Length of a window over which credit is summed, in seconds.
const WINDOW_S: usize = 2;

/// Number of windows that [`Tally::worst_windows`] includes.
const WORST_WINDOWS: usize = 2;

/// Earned and possible credit of a set of requests; each request can earn up to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Credit {
    /// Credit earned.
    pub earned: f64,
    /// Credit if every request had been served in time.
    pub possible: f64,
}

/// Counts of one run.
#[derive(Debug, Clone, PartialEq)]
pub struct Tally {
    /// Credit of all requests.
    pub all: Credit,
    /// Credit by zone of the callers.
    pub zones: Vec<Credit>,
    /// Credit by kind of request.
    pub kinds: Vec<Credit>,
    /// Credit by the second in which a request started.
    pub seconds: Vec<Credit>,
    /// Requests that got a response before their deadline.
    pub served: f64,
    /// Refused attempts, including those that were retried.
    pub refusals: u32,
    /// Requests run on warm objects.
    pub warm: u32,
    /// Requests run by servers, over all attempts.
    pub runs: u32,
    /// Requests run in another region than the caller's.
    pub far: u32,
}

impl Credit {
    fn add(&mut self, earned: f64) {
        self.earned += earned;
        self.possible += 1.0;
    }

    /// Returns earned divided by possible credit, from 0 to 1; 1 without requests.
    #[must_use]
    pub fn ratio(self) -> f64 {
        if self.possible <= 0.0 {
            return 1.0;
        }
        self.earned / self.possible
    }
}

impl Tally {
    /// Creates an empty tally.
    #[must_use]
    pub fn new(scenario: &Scenario) -> Self {
        Self {
            all: Credit::default(),
            zones: vec![Credit::default(); scenario.zones.len()],
            kinds: vec![Credit::default(); scenario.kinds.len()],
            seconds: Vec::new(),
            served: 0.0,
            refusals: 0,
            warm: 0,
            runs: 0,
            far: 0,
        }
    }

    /// Records the end of a request that started at `started` and the credit that it earned.
    pub fn end(
        &mut self,
        kind: usize,
        zone: usize,
        started: Duration,
        earned: f64,
        is_served: bool,
    ) {
        self.all.add(earned);
        self.zones[zone].add(earned);
        self.kinds[kind].add(earned);
        let second = usize::try_from(started.as_secs()).unwrap_or(usize::MAX);
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, Credit::default());
        }
        self.seconds[second].add(earned);
        self.served += if is_served { 1.0 } else { 0.0 };
    }

    /// Returns the lowest credit ratio of a zone.
    #[must_use]
    pub fn worst_zone(&self) -> f64 {
        worst(&self.zones)
    }

    /// Returns the lowest credit ratio of a kind.
    #[must_use]
    pub fn worst_kind(&self) -> f64 {
        worst(&self.kinds)
    }

    /// Returns the credit ratio over the windows with the lowest ratios.
    #[must_use]
    pub fn worst_windows(&self) -> f64 {
        let windows = self.seconds.chunks(WINDOW_S);
        let sum = |window: &[Credit]| {
            window.iter().fold(Credit::default(), |sum, second| Credit {
                earned: sum.earned + second.earned,
                possible: sum.possible + second.possible,
            })
        };
        let mut windows: Vec<Credit> = windows.map(sum).collect();
        windows.sort_by(|a, b| a.ratio().total_cmp(&b.ratio()));
        windows.truncate(WORST_WINDOWS);
        sum(&windows).ratio()
    }

    /// Returns the share of requests that were served before their deadline.
    #[must_use]
    pub fn served(&self) -> f64 {
        self.served / self.all.possible.max(1.0)
    }

    /// Returns a table row: credit ratio, worst zone, worst windows, worst kind, share of requests
    /// served, shares of runs on warm objects and in other regions, and refusals per request.
    #[must_use]
    pub fn row(&self) -> [f64; 8] {
        let runs = f64::from(self.runs.max(1));
        [
            self.all.ratio(),
            self.worst_zone(),
            self.worst_windows(),
            self.worst_kind(),
            self.served(),
            f64::from(self.warm) / runs,
            f64::from(self.far) / runs,
            f64::from(self.refusals) / self.all.possible.max(1.0),
        ]
    }
}

/// Column headings of [`Tally::row`].
pub const COLUMNS: [&str; 8] = [
    "credit", "zone", "windows", "kind", "served", "warm", "far", "refusals",
];

fn worst(credits: &[Credit]) -> f64 {
    let ratios = credits.iter().map(|credit| credit.ratio());
    ratios.fold(1.0, f64::min)
}
