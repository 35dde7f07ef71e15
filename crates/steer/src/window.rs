//! Event counts over a sliding window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Times of the events within the latest `span`.
#[derive(Debug)]
pub struct Window {
    span: Duration,
    times: VecDeque<Instant>,
}

impl Window {
    /// Creates an empty window over `span`.
    #[must_use]
    pub fn new(span: Duration) -> Self {
        Self {
            span,
            times: VecDeque::new(),
        }
    }

    /// Records an event at `now`.
    pub fn note(&mut self, now: Instant) {
        self.expire(now);
        self.times.push_back(now);
    }

    /// Returns the number of events within the span before `now`.
    pub fn count(&mut self, now: Instant) -> f64 {
        to_f64(self.len(now))
    }

    /// Returns the number of events within the span before `now`, as an integer.
    pub fn len(&mut self, now: Instant) -> usize {
        self.expire(now);
        self.times.len()
    }

    fn expire(&mut self, now: Instant) {
        while let Some(first) = self.times.front()
            && now.duration_since(*first) >= self.span
        {
            self.times.pop_front();
        }
    }
}

/// Converts a count to a floating-point number.
#[allow(clippy::cast_precision_loss)] // counts are far below 2^52, so the conversion is exact
#[must_use]
pub fn to_f64(count: usize) -> f64 {
    count as f64
}
