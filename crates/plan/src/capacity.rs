//! Capacity of each service in each zone.

use crate::model::Model;
use crate::{Input, Plan};

/// Age above which a measurement is stale, in milliseconds.
const MAX_AGE_MS: u64 = 10_000;

/// Smallest number of requests whose outcomes are used instead of the reported slots.
const MIN_SAMPLES: u32 = 20;

/// Largest share of failed requests at which a zone counts as healthy.
const MAX_HEALTHY_FAILURE_RATIO: f64 = 0.05;

/// Smallest share of failed requests at which a zone counts as down.
const MIN_DOWN_FAILURE_RATIO: f64 = 0.9;

/// Smallest load, as a share of its capacity, at which a zone counts as warm.
const MIN_WARM_LOAD: f64 = 0.4;

/// Load that a cold zone may get at once, as a share of its capacity.
const MAX_COLD_LOAD: f64 = 0.2;

/// Slots kept free for random arrivals, as a multiple of the square root of a zone's slots.
const SPARE_SLOTS_FACTOR: f64 = 0.5;

/// Time for which a request holds a slot if it was never measured, in milliseconds.
const DEFAULT_SERVICE_TIME_MS: f64 = 100.0;

/// Shortest time for which a request holds a slot, in milliseconds.
const MIN_SERVICE_TIME_MS: f64 = 1.0;

/// Requests per second that each service can handle in each zone.
#[derive(Debug, Clone)]
pub(crate) struct Capacity {
    /// Hard limit by service and zone; no plan sends more.
    pub(crate) hard: Vec<Vec<f64>>,
    /// Soft limit by service and zone: the hard limit less the headroom and, in a cold zone, the
    /// load above the warm-up limit. Traffic is moved to a zone only up to this limit.
    pub(crate) soft: Vec<Vec<f64>>,
    /// Services with a stale or missing measurement.
    pub(crate) stale: Vec<bool>,
}

impl Capacity {
    /// Limits each zone by its declared, granted and reported slots and by the outcomes of the
    /// gates' own requests. `loads` is the current load by service and zone: without a recent
    /// measurement a zone gets no more than that.
    pub(crate) fn new(model: &Model, input: Input, loads: &[Vec<f64>]) -> Self {
        let mut capacity = Self {
            hard: vec![vec![0.0; model.zones.len()]; model.services.len()],
            soft: vec![vec![0.0; model.zones.len()]; model.services.len()],
            stale: vec![false; model.services.len()],
        };
        let granted_slots = granted_slots(model, input);
        let measurements = measurements(model, input);
        let service_times_ms = service_times_ms(model, input);
        let elapsed_s = input.previous.map(|plan| elapsed_s(plan, input));
        for service in 0..model.services.len() {
            for zone in 0..model.zones.len() {
                let granted = granted_slots[service][zone].min(model.declared_slots[service][zone]);
                let per_s_per_slot = 1_000.0 / service_times_ms[service];
                let load = loads[service][zone];
                let bound = match measurements[service][zone] {
                    Some(measurement) => measurement.bound(granted),
                    None => granted.min(load / per_s_per_slot),
                };
                capacity.stale[service] |= measurements[service][zone].is_none() && granted > 0.0;
                let hard = bound * per_s_per_slot;
                let is_warm = load >= hard * MIN_WARM_LOAD;
                let warm_up_limit = elapsed_s.filter(|_| !is_warm).map_or(hard, |elapsed_s| {
                    let grown = load + hard * elapsed_s / model.cold_start_s[service].max(1.0);
                    grown.max(hard * MAX_COLD_LOAD)
                });
                let is_drained = model.drained[zone];
                capacity.hard[service][zone] = hard;
                let spare = SPARE_SLOTS_FACTOR * bound.sqrt() * per_s_per_slot;
                let planned = if measurements[service][zone].is_some() {
                    (hard * model.usable_share)
                        .min(hard - spare)
                        .min(warm_up_limit)
                } else {
                    hard
                };
                capacity.soft[service][zone] = if is_drained { 0.0 } else { planned.max(0.0) };
            }
        }
        capacity
    }
}

/// A measurement that is not stale.
#[derive(Debug, Clone, Copy)]
struct Measurement {
    slots: f64,
    reachable_slots: f64,
    answered: u32,
    failed: u32,
}

impl Measurement {
    /// Limits `granted` slots. Outcomes of the gates' own requests take precedence over the
    /// reported slots.
    fn bound(&self, granted: f64) -> f64 {
        let granted = granted.min(self.reachable_slots);
        let samples = self.answered.saturating_add(self.failed);
        if samples < MIN_SAMPLES {
            return granted.min(self.slots);
        }
        let failure_ratio = f64::from(self.failed) / f64::from(samples);
        if failure_ratio >= MIN_DOWN_FAILURE_RATIO {
            0.0
        } else if failure_ratio <= MAX_HEALTHY_FAILURE_RATIO {
            granted
        } else {
            granted.min(self.slots) * (1.0 - failure_ratio)
        }
    }
}

fn elapsed_s(plan: &Plan, input: Input) -> f64 {
    let ms = u32::try_from(input.now.ms_since(plan.at)).unwrap_or(u32::MAX);
    f64::from(ms) / 1_000.0
}

fn granted_slots(model: &Model, input: Input) -> Vec<Vec<f64>> {
    let mut granted_slots = vec![vec![0.0; model.zones.len()]; model.services.len()];
    for credit in input.grants {
        let key = (model.service(&credit.service), model.zone(&credit.zone));
        if let (Some(service), Some(zone)) = key {
            granted_slots[service][zone] += credit.slots.max(0.0);
        }
    }
    granted_slots
}

/// Returns the measurements that are not stale. Several measurements of one service and zone are
/// combined: the fewest slots, and the sums of answered and failed requests.
fn measurements(model: &Model, input: Input) -> Vec<Vec<Option<Measurement>>> {
    let mut measurements = vec![vec![None; model.zones.len()]; model.services.len()];
    let fresh = |at| at <= input.now && input.now.ms_since(at) <= MAX_AGE_MS;
    for observation in input
        .observations
        .iter()
        .filter(|observation| fresh(observation.at))
    {
        let key = (
            model.service(&observation.service),
            model.zone(&observation.zone),
        );
        let (Some(service), Some(zone)) = key else {
            continue;
        };
        let previous: Option<Measurement> = measurements[service][zone];
        measurements[service][zone] = Some(Measurement {
            slots: previous
                .map_or(f64::INFINITY, |previous| previous.slots)
                .min(f64::from(observation.slots)),
            reachable_slots: previous
                .map_or(f64::INFINITY, |previous| previous.reachable_slots)
                .min(f64::from(observation.reachable_slots)),
            answered: previous
                .map_or(0, |previous| previous.answered)
                .saturating_add(observation.answered),
            failed: previous
                .map_or(0, |previous| previous.failed)
                .saturating_add(observation.failed),
        });
    }
    measurements
}

/// Returns the longest service time of each service over all zones, since a shorter one may be
/// wrong.
fn service_times_ms(model: &Model, input: Input) -> Vec<f64> {
    let mut service_times_ms = vec![0.0_f64; model.services.len()];
    for observation in input.observations {
        if let Some(service) = model.service(&observation.service) {
            service_times_ms[service] = service_times_ms[service].max(observation.service_time_ms);
        }
    }
    let or_default = |ms: f64| {
        if ms > 0.0 {
            ms.max(MIN_SERVICE_TIME_MS)
        } else {
            DEFAULT_SERVICE_TIME_MS
        }
    };
    service_times_ms.into_iter().map(or_default).collect()
}
