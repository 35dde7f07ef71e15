//! Computes the next plan.

use std::collections::BTreeMap;

use crate::allocation::{Allocation, Traffic};
use crate::capacity::Capacity;
use crate::model::Model;
use crate::shares::{Load, Shares, clamp, moved, shares, shift};
use crate::shift::{Outcome, advance};
use crate::{Input, Move, Placement, Plan, Progress, Route};

/// Age above which a measurement of traffic is stale, in milliseconds.
const MAX_AGE_MS: u64 = 10_000;

/// Longest time until all gates follow a plan, in milliseconds.
const MAX_APPLY_MS: u64 = 1_000;

/// Share of a service's traffic below which a shift is ignored.
const NEGLIGIBLE: f64 = 1e-6;

/// Traffic assumed from a zone without any, in requests per second, so that the zone has a route
/// before its first request.
const MIN_PER_S: f64 = 1e-3;

/// Successive shares of the capacity up to which all zones are filled, so that traffic spills to
/// farther zones before requests queue in the near ones.
const FILL_LEVELS: [f64; 4] = [0.75, 0.85, 0.93, 1.0];

/// Smallest size of a request or a response, in bytes.
const MIN_BYTES: f64 = 1.0;

/// Returns the plan that follows `input.previous`.
#[must_use]
pub fn decide(input: Input) -> Plan {
    let model = Model::new(input.text, input.partitions);
    let traffic = traffic(&model, input);
    let mut current = previous(&model, input.previous);
    let current_load = Load::new(&model, &traffic, &current);
    let capacity = Capacity::new(&model, input, &current_load.by_zone);
    clamp(&model, &traffic, &capacity, &mut current);
    let target = target(&model, &traffic, &capacity, &current);
    let mut limiter = ShiftLimiter::new(&model, input, &capacity);
    match input.previous {
        Some(_) => limiter.shift(&current_load, &mut current, &target),
        None => current = target,
    }
    clamp(&model, &traffic, &capacity, &mut current);
    Plan {
        at: input.now,
        services: placements(&model, &traffic, &current),
        moves: limiter.moves,
        shifts: limiter.shifts,
    }
}

/// Returns the requests per second that `plan` sends to each service and zone, including requests
/// between services.
#[must_use]
pub fn load(plan: &Plan, input: Input) -> BTreeMap<(String, String), f64> {
    let model = Model::new(input.text, input.partitions);
    let traffic = traffic(&model, input);
    let load = Load::new(&model, &traffic, &previous(&model, Some(plan)));
    let mut by_name = BTreeMap::new();
    for (service, row) in model.services.iter().zip(&load.by_zone) {
        for (zone, per_s) in model.zones.iter().zip(row) {
            by_name.insert((service.clone(), zone.clone()), *per_s);
        }
    }
    by_name
}

/// Returns callers' traffic. Without a recent measurement, the previous plan's value is used.
fn traffic(model: &Model, input: Input) -> Vec<Traffic> {
    let zones = model.zones.len();
    let mut per_s: Vec<Vec<Option<f64>>> = vec![vec![None; zones]; model.services.len()];
    let mut bytes = vec![(MIN_BYTES, MIN_BYTES); model.services.len()];
    for demand in input.demand {
        let key = (model.service(&demand.service), model.zone(&demand.zone));
        let (Some(service), Some(zone)) = key else {
            continue;
        };
        let (request, response) = bytes[service];
        bytes[service] = (
            request.max(demand.request_bytes),
            response.max(demand.response_bytes),
        );
        if demand.at <= input.now && input.now.ms_since(demand.at) <= MAX_AGE_MS {
            let sum = per_s[service][zone].unwrap_or(0.0);
            per_s[service][zone] = Some(sum + demand.per_s.max(0.0));
        }
    }
    let previous_per_s = |service: usize, zone: usize| {
        let placement = input.previous?.services.get(&model.services[service])?;
        Some(placement.sources.get(&model.zones[zone])?.per_s)
    };
    let traffic = |(service, row): (usize, Vec<Option<f64>>)| {
        let row = row.into_iter().enumerate();
        let per_s = row.map(|(zone, per_s)| per_s.or_else(|| previous_per_s(service, zone)));
        Traffic {
            per_s: per_s
                .map(|per_s| per_s.unwrap_or(0.0).max(MIN_PER_S))
                .collect(),
            request_bytes: bytes[service].0,
            answer_bytes: bytes[service].1,
        }
    };
    per_s.into_iter().enumerate().map(traffic).collect()
}

fn previous(model: &Model, plan: Option<&Plan>) -> Shares {
    let zones = model.zones.len();
    let mut shares = vec![vec![vec![0.0; zones]; zones]; model.services.len()];
    for (service, placement) in plan.into_iter().flat_map(|plan| &plan.services) {
        for (from, route) in &placement.sources {
            for (to, share) in &route.shares {
                let key = (model.service(service), model.zone(from), model.zone(to));
                if let (Some(service), Some(from), Some(to)) = key {
                    shares[service][from][to] = *share;
                }
            }
        }
    }
    shares
}

/// Returns the best shares, to be reached by limited shifts. Drained zones keep only traffic that
/// no other zone has capacity for.
fn target(model: &Model, traffic: &[Traffic], capacity: &Capacity, current: &Shares) -> Shares {
    let none = vec![vec![0.0; model.zones.len()]; model.services.len()];
    let mut allocation = Allocation::new(model, traffic, none);
    let mut filled = 0.0;
    for level in FILL_LEVELS {
        for (service, row) in capacity.soft.iter().enumerate() {
            for (zone, per_s) in row.iter().enumerate() {
                allocation.add(service, zone, per_s * (level - filled));
            }
        }
        filled = level;
        allocation.allocate_all();
    }
    if model.drained.contains(&true) {
        let current_load = Load::new(model, traffic, current);
        for service in 0..model.services.len() {
            for zone in (0..model.zones.len()).filter(|zone| model.drained[*zone]) {
                let per_s = current_load.by_zone[service][zone];
                allocation.add(service, zone, per_s.min(capacity.hard[service][zone]));
            }
        }
        allocation.allocate_all();
    }
    let flows = allocation.into_flows();
    let mut entering: Vec<Vec<f64>> = traffic.iter().map(|t| t.per_s.clone()).collect();
    for service in &model.topological_order {
        for dependency in &model.dependencies[*service] {
            for row in &flows[*service] {
                let of_dependency = entering[*dependency].iter_mut();
                of_dependency
                    .zip(row)
                    .for_each(|(entering, per_s)| *entering += per_s);
            }
        }
    }
    shares(&flows, &entering)
}

/// Moves shares within the cap on shifts and records the moves.
struct ShiftLimiter<'a> {
    model: &'a Model,
    input: Input<'a>,
    capacity: &'a Capacity,
    moves: Vec<Move>,
    shifts: BTreeMap<String, Progress>,
}

impl<'a> ShiftLimiter<'a> {
    fn new(model: &'a Model, input: Input<'a>, capacity: &'a Capacity) -> Self {
        let moves = input.previous.map_or(&[][..], |plan| &plan.moves);
        let unexpired = moves.iter().filter(|shift| shift.expiry > input.now);
        Self {
            model,
            input,
            capacity,
            moves: unexpired.cloned().collect(),
            shifts: BTreeMap::new(),
        }
    }

    fn shift(&mut self, current_load: &Load, current: &mut Shares, target: &Shares) {
        for service in 0..self.model.services.len() {
            let entering = &current_load.entering[service];
            self.shift_service(service, entering, &mut current[service], &target[service]);
        }
    }

    fn shift_service(
        &mut self,
        service: usize,
        entering: &[f64],
        current: &mut [Vec<f64>],
        target: &[Vec<f64>],
    ) {
        let name = &self.model.services[service];
        let previous = self.input.previous.and_then(|plan| plan.shifts.get(name));
        let before = current.to_vec();
        let remaining = shift(
            &self.model.drained,
            entering,
            current,
            target,
            self.budget(name),
        );
        let moved_share = moved(entering, &before, current);
        self.note_shift(service, moved_share, remaining, previous);
    }

    /// Returns the share of a service's traffic that may still move in the current window.
    fn budget(&self, service: &str) -> f64 {
        let cap =
            self.input.text.steering.shift_cap_percent * self.input.shift_share.clamp(0.0, 1.0);
        let pending = self.input.pending.iter();
        let pending = pending.filter(|shift| shift.expiry > self.input.now);
        let unexpired = self.moves.iter().chain(pending);
        let of_service = unexpired.filter(|shift| shift.service == service);
        let used: f64 = of_service.map(|shift| shift.percent).sum();
        ((cap - used) / 100.0).max(0.0)
    }

    fn note_shift(
        &mut self,
        service: usize,
        moved_share: f64,
        remaining: f64,
        previous: Option<&Progress>,
    ) {
        let name = self.model.services[service].clone();
        let steering = &self.input.text.steering;
        let counted_ms = steering.shift_window_s * 1_000 + MAX_APPLY_MS;
        if moved_share > NEGLIGIBLE {
            self.moves.push(Move {
                service: name.clone(),
                percent: moved_share * 100.0,
                expiry: self.input.now.plus_ms(counted_ms),
            });
        }
        let remaining = if remaining > NEGLIGIBLE {
            remaining
        } else {
            0.0
        };
        let window_count = (remaining * 100.0 / steering.shift_cap_percent.max(NEGLIGIBLE)).ceil();
        let window_s = f64::from(u32::try_from(counted_ms).unwrap_or(u32::MAX)) / 1_000.0;
        let outcome = Outcome {
            remaining_percent: remaining * 100.0,
            moving_percent: if moved_share > NEGLIGIBLE {
                moved_share * 100.0
            } else {
                0.0
            },
            stale: self.capacity.stale[service],
            remaining_s: window_count * window_s,
        };
        if let Some(progress) = advance(previous, outcome) {
            self.shifts.insert(name, progress);
        }
    }
}

fn placements(model: &Model, traffic: &[Traffic], shares: &Shares) -> BTreeMap<String, Placement> {
    let mut services = BTreeMap::new();
    for (service, name) in model.services.iter().enumerate() {
        let mut placement = Placement::default();
        for (from, row) in shares[service].iter().enumerate() {
            let pairs = model
                .zones
                .iter()
                .zip(row)
                .filter(|(_, share)| **share > 0.0);
            let route = Route {
                per_s: traffic[service].per_s[from],
                shares: pairs.map(|(zone, share)| (zone.clone(), *share)).collect(),
            };
            placement.sources.insert(model.zones[from].clone(), route);
        }
        services.insert(name.clone(), placement);
    }
    services
}
