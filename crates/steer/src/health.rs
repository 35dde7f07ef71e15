//! Telling poor backend servers by their answers.
//!
//! Answers servers that are slow, fail a part of their requests, or fall silent, while their own
//! health checks say otherwise or say nothing. A server is compared with the others of its
//! service, so that what troubles all of them makes none of them poor. A poor one is left alone for
//! a while and then tried again.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Latest answers whose fastest is compared; a server that has handled none of these objects
/// before is slow with all of them, so there are as many as its slots usually are.
const LATEST: usize = 6;

/// Factor on the other servers' latency from which a server is slow: more than that between an
/// object that a server has handled lately and one that it has not.
const SLOW: f64 = 3.5;

/// Weight of the latest answer in the part of failures.
const WEIGHT: f64 = 0.1;

/// Part of failures beyond the other servers' from which a server is failing.
const FAILING: f64 = 0.25;

/// Shortest time for which a poor server is left alone.
const PAUSE: Duration = Duration::from_millis(700);

/// Longest such time.
const PAUSE_MOST: Duration = Duration::from_millis(2_800);

/// How a server answered lately.
#[derive(Debug, Default)]
pub struct Health {
    latest_ms: VecDeque<f64>,
    failures: f64,
    pause: Option<Pause>,
    /// When the oldest request was sent that no answer came after.
    waiting_since: Option<Instant>,
}

#[derive(Debug, Clone, Copy)]
struct Pause {
    until: Instant,
    length: Duration,
}

/// How the servers of a service answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usual {
    /// Median of their fastest latest answers, in milliseconds.
    pub latency_ms: Option<f64>,
    /// Median part of failures.
    pub failures: f64,
}

impl Health {
    /// Notes that a request was sent.
    pub fn note_sent(&mut self, now: Instant) {
        self.waiting_since.get_or_insert(now);
    }

    /// Notes that no answer is awaited any more, since callers left or gave up.
    pub fn note_idle(&mut self) {
        self.waiting_since = None;
    }

    /// Notes an answer after `latency`; `failed` says that it was a failure of the server's own.
    pub fn note_answer(&mut self, latency: Duration, failed: bool, usual: Usual, now: Instant) {
        self.waiting_since = None;
        let failure = if failed { 1.0 } else { 0.0 };
        self.failures += WEIGHT * (failure - self.failures);
        if !failed {
            self.latest_ms.push_back(latency.as_secs_f64() * 1_000.0);
            if self.latest_ms.len() > LATEST {
                self.latest_ms.pop_front();
            }
        }
        if self.is_poor(usual) {
            self.pause(now);
        } else {
            self.pause = None;
        }
    }

    /// Returns the fastest of the latest answers, in milliseconds, once there are enough.
    #[must_use]
    pub fn latency_ms(&self) -> Option<f64> {
        let is_known = self.latest_ms.len() == LATEST;
        let fastest = self.latest_ms.iter().copied().reduce(f64::min);
        fastest.filter(|_| is_known)
    }

    /// Returns the part of failures.
    #[must_use]
    pub fn failures(&self) -> f64 {
        self.failures
    }

    fn is_poor(&self, usual: Usual) -> bool {
        let is_slow = match (self.latency_ms(), usual.latency_ms) {
            (Some(own), Some(usual)) => own > usual * SLOW,
            _ => false,
        };
        is_slow || self.failures > usual.failures + FAILING
    }

    fn pause(&mut self, now: Instant) {
        if self.pause.is_some_and(|pause| now < pause.until) {
            return;
        }
        let length = self
            .pause
            .map_or(PAUSE, |pause| (pause.length * 2).min(PAUSE_MOST));
        let until = now + length;
        self.pause = Some(Pause { until, length });
    }

    /// Returns whether the server is left alone.
    #[must_use]
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.pause.is_some_and(|pause| now < pause.until)
    }

    /// Returns whether nothing came from the server for `limit` although a request was sent.
    #[must_use]
    pub fn is_silent(&self, limit: Duration, now: Instant) -> bool {
        self.waiting_since
            .is_some_and(|since| now.duration_since(since) > limit)
    }
}

/// Returns how the servers of a service usually answer.
#[must_use]
pub fn usual<'a>(servers: impl Iterator<Item = (Option<f64>, f64)> + 'a) -> Usual {
    let (latencies, mut failures): (Vec<Option<f64>>, Vec<f64>) = servers.unzip();
    let mut latencies: Vec<f64> = latencies.into_iter().flatten().collect();
    Usual {
        latency_ms: median(&mut latencies),
        failures: median(&mut failures).unwrap_or_default(),
    }
}

fn median(values: &mut [f64]) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
