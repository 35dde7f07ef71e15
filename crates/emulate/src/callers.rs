//! Arrival rates, intervals and objects of callers' requests.

use std::f64::consts::TAU;

use rand::Rng;

use crate::scenario::{Effect, Scenario};

/// Returns the request rate, per second, of one kind from one zone's callers, `now` seconds after
/// the start.
#[must_use]
pub fn rate(scenario: &Scenario, kind: usize, zone: usize, now: f64) -> f64 {
    let base = base_rate(scenario, kind, zone, now);
    let mut rate = base;
    for fault in scenario
        .troubles
        .iter()
        .filter(|fault| fault.is_active(now))
    {
        match &fault.what {
            Effect::Burst {
                zone: burst_zone,
                x,
            } => {
                let is_affected = burst_zone
                    .as_ref()
                    .is_none_or(|name| scenario.zone(name) == Some(zone));
                rate *= if is_affected { *x } else { 1.0 };
            }
            Effect::Shift {
                zone: from,
                to_zone,
                share,
            } => {
                let from = scenario.zone(from).unwrap_or(zone);
                if from == zone {
                    rate -= base * share;
                } else if scenario.zone(to_zone) == Some(zone) {
                    rate += base_rate(scenario, kind, from, now) * share;
                }
            }
            Effect::Slow { .. } | Effect::Away { .. } => {}
        }
    }
    rate.max(0.0)
}

fn base_rate(scenario: &Scenario, kind: usize, zone: usize, now: f64) -> f64 {
    let kind = &scenario.kinds[kind];
    let zone = &scenario.zones[zone];
    let wave = (TAU * (now / kind.period_s + zone.phase)).sin();
    kind.per_s * zone.callers * kind.swing.mul_add(wave, 1.0)
}

/// Samples the exponentially distributed interval, in seconds, to the next event of a Poisson
/// process with a rate of `per_s` per second.
pub fn interval_s(per_s: f64, rng: &mut impl Rng) -> f64 {
    let sample: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    -sample.ln() / per_s.max(1e-6)
}

/// Samples the object of a request; low numbers are slightly more frequent.
pub fn object(objects: u64, rng: &mut impl Rng) -> u64 {
    let sample: f64 = rng.random();
    let position = sample.powf(1.25);
    let mut object = 0;
    let mut upper_bound = 1.0 / to_f64(objects);
    while object + 1 < objects && position >= upper_bound {
        object += 1;
        upper_bound += 1.0 / to_f64(objects);
    }
    object
}

#[allow(clippy::cast_precision_loss)] // counts are far below 2^52
fn to_f64(count: u64) -> f64 {
    count.max(1) as f64
}
