//! The slots of a backend server and its speed.

#[cfg(test)]
mod tests;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::Settings;
use super::health::{Health, State};
use crate::listener::lock;

/// Slots, speed and readiness, shared between threads.
#[derive(Clone, Debug)]
pub struct Load {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug)]
struct Inner {
    slots: usize,
    in_flight: usize,
    draining: bool,
    shedding: bool,
    service_time: Duration,
    cold_start: Duration,
    cold_factor: f64,
    started: Instant,
}

/// A slot in use. Dropping it frees the slot.
#[derive(Debug)]
pub struct Slot {
    load: Load,
}

impl Load {
    /// Free slots of a backend server that starts at `now`.
    pub fn new(settings: &Settings, now: Instant) -> Self {
        let inner = Inner {
            slots: settings.slots,
            in_flight: 0,
            draining: false,
            shedding: false,
            service_time: settings.service_time,
            cold_start: settings.cold_start,
            cold_factor: settings.cold_factor,
            started: now,
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Takes a slot; `None` if the request has to be refused.
    pub fn take(&self) -> Option<Slot> {
        let mut inner = lock(&self.inner);
        if inner.draining || inner.shedding || inner.in_flight >= inner.slots {
            return None;
        }
        inner.in_flight += 1;
        Some(Slot { load: self.clone() })
    }

    /// Starts or ends draining.
    pub fn set_draining(&self, draining: bool) {
        lock(&self.inner).draining = draining;
    }

    /// Starts or ends shedding.
    pub fn set_shedding(&self, shedding: bool) {
        lock(&self.inner).shedding = shedding;
    }

    /// Sets the time that a request runs when warm.
    pub fn set_service_time(&self, service_time: Duration) {
        lock(&self.inner).service_time = service_time;
    }

    /// Starts cold again, serving.
    pub fn restart(&self, now: Instant) {
        let mut inner = lock(&self.inner);
        inner.started = now;
        inner.draining = false;
        inner.shedding = false;
    }

    /// Time that a request runs if it starts at `now`.
    pub fn service_time(&self, now: Instant) -> Duration {
        let inner = lock(&self.inner);
        let factor = 1.0 + (inner.cold_factor - 1.0).max(0.0) * inner.coldness(now);
        inner.service_time.mul_f64(factor)
    }

    /// The true health.
    pub fn health(&self, now: Instant) -> Health {
        let inner = lock(&self.inner);
        let state = if inner.draining {
            State::Draining
        } else if inner.coldness(now) > 0.0 {
            State::Warming
        } else {
            State::Serving
        };
        Health {
            state,
            in_flight: inner.in_flight,
            slots: inner.slots,
            load: ratio(inner.in_flight, inner.slots),
        }
    }
}

impl Inner {
    /// 1 at the start, falling evenly to 0 over the cold start.
    fn coldness(&self, now: Instant) -> f64 {
        if self.cold_start.is_zero() {
            return 0.0;
        }
        let passed = now
            .saturating_duration_since(self.started)
            .div_duration_f64(self.cold_start);
        (1.0 - passed).max(0.0)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        lock(&self.load.inner).in_flight -= 1;
    }
}

fn ratio(part: usize, whole: usize) -> f64 {
    let part = u32::try_from(part).unwrap_or(u32::MAX);
    let whole = u32::try_from(whole).unwrap_or(u32::MAX);
    f64::from(part) / f64::from(whole)
}
