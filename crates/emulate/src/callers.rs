//! When callers send requests.

use std::f64::consts::TAU;

use rand::Rng;

use crate::scenario::{Scenario, What};

/// Returns the requests a second of a kind that come from a zone's callers, `now` seconds after
/// the start.
#[must_use]
pub fn rate(scenario: &Scenario, kind: usize, zone: usize, now: f64) -> f64 {
    let own = steady(scenario, kind, zone, now);
    let mut rate = own;
    for trouble in scenario
        .troubles
        .iter()
        .filter(|trouble| trouble.is_on(now))
    {
        match &trouble.what {
            What::Burst { zone: at, x } => {
                let is_here = at.as_ref().is_none_or(|at| scenario.zone(at) == Some(zone));
                rate *= if is_here { *x } else { 1.0 };
            }
            What::Shift {
                zone: from,
                to_zone,
                share,
            } => {
                let from = scenario.zone(from).unwrap_or(zone);
                if from == zone {
                    rate -= own * share;
                } else if scenario.zone(to_zone) == Some(zone) {
                    rate += steady(scenario, kind, from, now) * share;
                }
            }
            What::Slow { .. } | What::Away { .. } => {}
        }
    }
    rate.max(0.0)
}

fn steady(scenario: &Scenario, kind: usize, zone: usize, now: f64) -> f64 {
    let kind = &scenario.kinds[kind];
    let zone = &scenario.zones[zone];
    let wave = (TAU * (now / kind.period_s + zone.phase)).sin();
    kind.per_s * zone.callers * kind.swing.mul_add(wave, 1.0)
}

/// Returns a time until the next of events that come `per_s` a second, at random.
pub fn pause_s(per_s: f64, rng: &mut impl Rng) -> f64 {
    let draw: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    -draw.ln() / per_s.max(1e-6)
}

/// Draws the object of a request; low ones are a little more frequent.
pub fn object(objects: u64, rng: &mut impl Rng) -> u64 {
    let draw: f64 = rng.random();
    let place = draw.powf(1.25);
    let mut object = 0;
    let mut below = 1.0 / to_f64(objects);
    while object + 1 < objects && place >= below {
        object += 1;
        below += 1.0 / to_f64(objects);
    }
    object
}

#[allow(clippy::cast_precision_loss)] // counts are far below 2^52
fn to_f64(count: u64) -> f64 {
    count.max(1) as f64
}
