//! The health endpoint, whose answers may be old or false.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::listener::lock;

/// What the backend server is ready for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It takes requests at full speed.
    Serving,
    /// It takes requests and is slow, as it started a short time ago.
    Warming,
    /// It finishes requests in flight and refuses new ones.
    Draining,
}

/// The answer of the health endpoint.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Health {
    /// What the backend server is ready for.
    pub state: State,
    /// Requests that run.
    pub in_flight: usize,
    /// Requests that may run at once.
    pub slots: usize,
    /// Share of the slots in use, from 0 to 1.
    pub load: f64,
}

/// What the health endpoint shows.
#[derive(Debug)]
pub struct Board {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    lag: Duration,
    false_health: Option<Health>,
    /// Past states, oldest first; at most one is older than the lag.
    samples: VecDeque<Sample>,
}

#[derive(Debug)]
struct Sample {
    taken: Instant,
    health: Health,
}

impl Board {
    /// A board that shows health as it was `lag` ago.
    pub fn new(lag: Duration) -> Self {
        let inner = Inner {
            lag,
            false_health: None,
            samples: VecDeque::new(),
        };
        Self {
            inner: Mutex::new(inner),
        }
    }

    /// Shows `health` whatever the truth is, or the truth again.
    pub fn set_false_health(&self, health: Option<Health>) {
        lock(&self.inner).false_health = health;
    }

    /// Sets the age of what is shown.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.inner).lag = lag;
    }

    /// Notes the true health.
    pub fn note(&self, health: Health, now: Instant) {
        let mut inner = lock(&self.inner);
        inner.samples.push_back(Sample { taken: now, health });
        inner.prune(now);
    }

    /// What the endpoint answers, given the true health now.
    pub fn show(&self, health: Health, now: Instant) -> Health {
        let mut inner = lock(&self.inner);
        if let Some(health) = inner.false_health {
            return health;
        }
        if inner.lag.is_zero() {
            return health;
        }
        inner.prune(now);
        inner.samples.front().map_or(health, |sample| sample.health)
    }
}

impl Inner {
    fn prune(&mut self, now: Instant) {
        let old = |sample: &Sample| now.saturating_duration_since(sample.taken) >= self.lag;
        while self.samples.len() > 1 && old(&self.samples[1]) {
            self.samples.pop_front();
        }
    }
}
