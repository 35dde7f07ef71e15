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
            Effect::Slow { .. } | Effect::Cut { .. } | Effect::Away { .. } => {}
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

/// Samples the object of a request from callers in `zone`. Each object belongs to the callers of one
/// region, and regions have objects in proportion to their callers. Low numbers are slightly more
/// frequent.
pub fn object(scenario: &Scenario, kind: usize, zone: usize, rng: &mut impl Rng) -> u64 {
    let objects = scenario.kinds[kind].objects;
    let (first, last) = region_objects(scenario, zone, objects);
    let position = rng.random::<f64>().powf(1.25) * to_f64(last - first);
    let mut object = first;
    while object + 1 < last && position >= to_f64(object + 1 - first) {
        object += 1;
    }
    object
}

/// Returns the range of the objects that belong to the callers of the region of `zone`.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // within the number of objects
fn region_objects(scenario: &Scenario, zone: usize, objects: u64) -> (u64, u64) {
    let region = &scenario.zones[zone].region;
    let callers = |is_counted: &dyn Fn(&str) -> bool| -> f64 {
        let zones = scenario.zones.iter();
        let counted = zones.filter(|zone| is_counted(&zone.region));
        counted.map(|zone| zone.callers).sum()
    };
    let all = callers(&|_| true);
    let before = callers(&|other| other < region.as_str()) / all;
    let until = before + callers(&|other| other == region) / all;
    let first = (to_f64(objects) * before) as u64;
    let last = (to_f64(objects) * until) as u64;
    (first, last.clamp(first + 1, objects.max(first + 1)))
}

#[allow(clippy::cast_precision_loss)] // counts are far below 2^52
fn to_f64(count: u64) -> f64 {
    count.max(1) as f64
}
