//! Shares of traffic: their load, their reduction to what fits, and limited shifts.

use crate::allocation::{Flows, Traffic};
use crate::capacity::Capacity;
use crate::model::Model;

/// Shares by service, source and destination.
pub(crate) type Shares = Vec<Vec<Vec<f64>>>;

/// Smallest served share of a service's traffic from a zone at which services in that zone may
/// depend on it.
const MIN_SERVED: f64 = 0.5;

/// Converts `flows` into shares of the entering traffic.
pub(crate) fn shares(flows: &Flows, entering: &[Vec<f64>]) -> Shares {
    let mut shares = flows.clone();
    for (service, rows) in shares.iter_mut().enumerate() {
        for (from, row) in rows.iter_mut().enumerate() {
            let total = entering[service][from].max(row.iter().sum());
            let scale = if total > 0.0 { 1.0 / total } else { 0.0 };
            for share in row {
                *share *= scale;
            }
        }
    }
    shares
}

/// Load that results from shares of traffic.
#[derive(Debug, Clone)]
pub(crate) struct Load {
    /// Requests per second that enter, by service and source zone: from callers and from services
    /// that depend on the service.
    pub(crate) entering: Vec<Vec<f64>>,
    /// Requests per second by service and destination zone.
    pub(crate) by_zone: Vec<Vec<f64>>,
    /// Bytes per second from one region to another.
    pub(crate) links: Vec<Vec<f64>>,
}

impl Load {
    pub(crate) fn new(model: &Model, traffic: &[Traffic], shares: &Shares) -> Self {
        let regions = model.links.len();
        let mut load = Self {
            entering: traffic.iter().map(|t| t.per_s.clone()).collect(),
            by_zone: vec![vec![0.0; model.zones.len()]; model.services.len()],
            links: vec![vec![0.0; regions]; regions],
        };
        for service in &model.topological_order {
            load.add(model, traffic, shares, *service);
        }
        load
    }

    fn add(&mut self, model: &Model, traffic: &[Traffic], shares: &Shares, service: usize) {
        let bytes = &traffic[service];
        for (from, row) in shares[service].iter().enumerate() {
            for (to, share) in row.iter().enumerate().filter(|(_, share)| **share > 0.0) {
                let per_s = share * self.entering[service][from];
                self.by_zone[service][to] += per_s;
                let (a, b) = (model.region[from], model.region[to]);
                if a != b {
                    self.links[a][b] += per_s * bytes.request_bytes;
                    self.links[b][a] += per_s * bytes.answer_bytes;
                }
            }
        }
        for dependency in &model.dependencies[service] {
            for zone in 0..model.zones.len() {
                self.entering[*dependency][zone] += self.by_zone[service][zone];
            }
        }
    }
}

/// Lowers shares until no zone and no link is overloaded and no service's traffic goes to a zone
/// that mostly refuses one of its dependencies. Each step only lowers loads, so it cannot exceed
/// the limits of an earlier one.
pub(crate) fn clamp(model: &Model, traffic: &[Traffic], capacity: &Capacity, shares: &mut Shares) {
    clamp_unreachable(model, shares);
    clamp_links(model, traffic, shares);
    clamp_zones(model, traffic, capacity, shares);
    clamp_dependencies(model, shares);
}

fn clamp_unreachable(model: &Model, shares: &mut Shares) {
    for rows in shares {
        for (from, row) in rows.iter_mut().enumerate() {
            for (to, share) in row.iter_mut().enumerate().filter(|(_, s)| **s > 0.0) {
                if !model.destinations[from]
                    .iter()
                    .any(|destination| destination.to == to)
                {
                    *share = 0.0;
                }
            }
        }
    }
}

fn clamp_links(model: &Model, traffic: &[Traffic], shares: &mut Shares) {
    let load = Load::new(model, traffic, shares);
    let fitting_fraction =
        |a: usize, b: usize| fitting_fraction(model.links[a][b].unwrap_or(0.0), load.links[a][b]);
    for rows in shares {
        for (from, row) in rows.iter_mut().enumerate() {
            for (to, share) in row.iter_mut().enumerate() {
                let (a, b) = (model.region[from], model.region[to]);
                if a != b {
                    *share *= fitting_fraction(a, b).min(fitting_fraction(b, a));
                }
            }
        }
    }
}

/// Services are clamped before their dependencies, whose load thus comes only from the remaining
/// traffic.
fn clamp_zones(model: &Model, traffic: &[Traffic], capacity: &Capacity, shares: &mut Shares) {
    for service in &model.topological_order {
        let load = Load::new(model, traffic, shares);
        for row in &mut shares[*service] {
            for (to, share) in row.iter_mut().enumerate() {
                let limit = capacity.hard[*service][to];
                *share *= fitting_fraction(limit, load.by_zone[*service][to]);
            }
        }
    }
}

/// Dependencies are visited before the services that depend on them, so that a refusal deep in a
/// chain reaches its start.
fn clamp_dependencies(model: &Model, shares: &mut Shares) {
    for service in model.topological_order.iter().rev() {
        for zone in 0..model.zones.len() {
            let served_share = |dependency: &usize| shares[*dependency][zone].iter().sum::<f64>();
            if model.dependencies[*service]
                .iter()
                .any(|dependency| served_share(dependency) < MIN_SERVED)
            {
                for row in &mut shares[*service] {
                    row[zone] = 0.0;
                }
            }
        }
    }
}

fn fitting_fraction(limit: f64, load: f64) -> f64 {
    if load <= limit || load <= 0.0 {
        1.0
    } else {
        (limit / load).max(0.0)
    }
}

/// Returns the share of a service's traffic that goes to a different zone under `new` than under
/// `old`.
pub(crate) fn moved(entering: &[f64], old: &[Vec<f64>], new: &[Vec<f64>]) -> f64 {
    let total: f64 = entering.iter().sum();
    if total <= 0.0 {
        return 0.0;
    }
    let arriving = |(old, new): (&Vec<f64>, &Vec<f64>)| -> f64 {
        let pairs = old.iter().zip(new);
        pairs.map(|(old, new)| (new - old).max(0.0)).sum()
    };
    let rows = old.iter().zip(new).map(arriving);
    rows.zip(entering)
        .map(|(part, per_s)| part * per_s)
        .sum::<f64>()
        / total
}

/// Reason to change a row of shares, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reason {
    /// Some of its traffic is refused although there is capacity for it.
    Refused,
    /// Some of its traffic goes to a drained zone.
    Drained,
    /// Some of its traffic could go to better zones.
    Better,
}

/// Smallest share of a row whose refusal is a reason to move.
const MIN_REFUSED: f64 = 0.005;

/// Smallest share of the traffic for which better zones are a reason to move.
const MIN_BETTER: f64 = 0.03;

/// Moves `old` towards `new` by at most `budget` of the traffic, and returns the remaining share to
/// move. Better zones alone are a reason only for a shift of at least [`MIN_BETTER`].
pub(crate) fn shift(
    drained: &[bool],
    entering: &[f64],
    old: &mut [Vec<f64>],
    new: &[Vec<f64>],
    budget: f64,
) -> f64 {
    let mut budget = budget.max(0.0);
    let mut remaining = 0.0;
    let reason = |old: &[f64], new: &[f64]| {
        let on_drained = |row: &[f64]| -> f64 {
            let shares = row.iter().zip(drained).filter(|(_, drained)| **drained);
            shares.map(|(share, _)| share).sum()
        };
        if sum(new) > sum(old) + MIN_REFUSED {
            Reason::Refused
        } else if on_drained(old) > on_drained(new) {
            Reason::Drained
        } else {
            Reason::Better
        }
    };
    let reasons: Vec<Reason> = old
        .iter()
        .zip(new)
        .map(|(old, new)| reason(old, new))
        .collect();
    for reason in [Reason::Refused, Reason::Drained, Reason::Better] {
        let rows: Vec<usize> = (0..old.len())
            .filter(|row| reasons[*row] == reason)
            .collect();
        let mut target = old.to_vec();
        for row in &rows {
            target[*row].clone_from(&new[*row]);
        }
        let wanted = moved(entering, old, &target);
        if reason == Reason::Better && wanted < MIN_BETTER {
            continue;
        }
        let part = if wanted > budget {
            budget / wanted
        } else {
            1.0
        };
        for row in rows {
            for (old, new) in old[row].iter_mut().zip(&new[row]) {
                *old += (new - *old) * part;
            }
        }
        budget = (budget - wanted * part).max(0.0);
        remaining += wanted * (1.0 - part);
    }
    remaining
}

fn sum(row: &[f64]) -> f64 {
    row.iter().sum()
}
