//! The limit on admitted requests, and what counts towards it.

#![allow(dead_code)]

use std::time::{Duration, Instant};

use steer::quota::Rate;

/// Window over which the limit holds.
pub const WINDOW: Duration = Duration::from_secs(5);

/// Returns a rate limit with a burst of one second.
pub fn rate(per_s: f64) -> Rate {
    Rate {
        per_s,
        burst: per_s,
    }
}

/// Returns the maximum number of requests that the fleet may admit in a window.
pub fn max_admitted(rate: Rate) -> f64 {
    rate.per_s.mul_add(WINDOW.as_secs_f64(), rate.burst) * 1.1 + 20.0
}

/// Returns the maximum number of requests, given in order of time, in any `window`.
pub fn max_in_window(requests: &[Instant], window: Duration) -> f64 {
    let mut first = 0;
    let mut max = 0;
    for (last, at) in requests.iter().enumerate() {
        while at.duration_since(requests[first]) >= window {
            first += 1;
        }
        max = max.max(last + 1 - first);
    }
    steer::to_f64(max)
}
