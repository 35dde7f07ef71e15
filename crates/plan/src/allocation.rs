//! Allocation of traffic to zones with free capacity, nearest first.

use crate::model::{Model, Tier};

/// Smallest traffic that is allocated, in requests per second.
const MIN_PER_S: f64 = 1e-9;

/// Traffic of one service by the zone in which it enters.
#[derive(Debug, Clone)]
pub(crate) struct Traffic {
    /// Requests per second by source zone.
    pub(crate) per_s: Vec<f64>,
    pub(crate) request_bytes: f64,
    pub(crate) answer_bytes: f64,
}

/// Requests per second by service, source and destination.
pub(crate) type Flows = Vec<Vec<Vec<f64>>>;

/// Free capacity and the traffic allocated so far.
#[derive(Debug)]
pub(crate) struct Allocation<'a> {
    model: &'a Model,
    traffic: &'a [Traffic],
    /// Free requests per second by service and zone.
    free: Vec<Vec<f64>>,
    /// Free bytes per second between regions.
    links: Vec<Vec<Option<f64>>>,
    /// All allocated traffic, including requests between services.
    flows: Flows,
    /// Callers' requests per second that were allocated, by service and source zone.
    served: Vec<Vec<f64>>,
    /// Assignments that can be undone.
    undo_log: Vec<Assignment>,
}

#[derive(Debug, Clone, Copy)]
struct Assignment {
    service: usize,
    from: usize,
    to: usize,
    per_s: f64,
}

impl<'a> Allocation<'a> {
    pub(crate) fn new(model: &'a Model, traffic: &'a [Traffic], free: Vec<Vec<f64>>) -> Self {
        let zones = model.zones.len();
        let services = model.services.len();
        Self {
            model,
            traffic,
            free,
            links: model.links.clone(),
            flows: vec![vec![vec![0.0; zones]; zones]; services],
            served: vec![vec![0.0; zones]; services],
            undo_log: Vec::new(),
        }
    }

    /// Adds free capacity for `per_s` requests per second of `service` in `zone`.
    pub(crate) fn add(&mut self, service: usize, zone: usize, per_s: f64) {
        self.free[service][zone] += per_s;
    }

    /// Allocates the callers' traffic that is not allocated yet. All sources fill their nearer
    /// destinations before any source spills farther; services go before their dependencies.
    pub(crate) fn allocate_all(&mut self) {
        for tier in Tier::ALL {
            for service in self.model.topological_order.clone() {
                for from in 0..self.model.zones.len() {
                    let requested = self.traffic[service].per_s[from] - self.served[service][from];
                    self.served[service][from] +=
                        self.allocate(service, from, requested, Some(tier));
                }
            }
        }
        self.undo_log.clear();
    }

    /// Returns all flows.
    pub(crate) fn into_flows(self) -> Flows {
        self.flows
    }

    /// Allocates up to `requested` requests per second of `service` from zone `from`, and returns
    /// how many fit together with all their dependencies.
    fn allocate(
        &mut self,
        service: usize,
        from: usize,
        requested: f64,
        only_tier: Option<Tier>,
    ) -> f64 {
        let mut unplaced = requested;
        for index in 0..self.model.destinations[from].len() {
            let destination = self.model.destinations[from][index];
            if unplaced < MIN_PER_S {
                break;
            }
            if only_tier.is_some_and(|tier| tier != destination.tier) {
                continue;
            }
            let limit = unplaced.min(self.free_per_s(service, from, destination.to));
            let per_s = self.allocate_dependencies(service, destination.to, limit);
            let assignment = Assignment {
                service,
                from,
                to: destination.to,
                per_s,
            };
            self.assign(assignment);
            unplaced -= per_s;
        }
        (requested - unplaced).max(0.0)
    }

    /// Allocates the dependencies of `per_s` requests of `service` in `zone`, and returns for how
    /// many requests all dependencies fit.
    fn allocate_dependencies(&mut self, service: usize, zone: usize, per_s: f64) -> f64 {
        if per_s < MIN_PER_S {
            return 0.0;
        }
        let start = self.undo_log.len();
        let fits = self.dependencies_fit(service, zone, per_s);
        if fits >= per_s {
            return per_s;
        }
        self.undo(start);
        if fits < MIN_PER_S {
            return 0.0;
        }
        if self.dependencies_fit(service, zone, fits) < fits - MIN_PER_S {
            self.undo(start);
            return 0.0;
        }
        fits
    }

    fn dependencies_fit(&mut self, service: usize, zone: usize, per_s: f64) -> f64 {
        let mut fits = per_s;
        for index in 0..self.model.dependencies[service].len() {
            let dependency = self.model.dependencies[service][index];
            fits = fits.min(self.allocate(dependency, zone, per_s, None));
        }
        fits
    }

    /// Returns the requests per second that fit from zone `from` into zone `to`, without their
    /// dependencies.
    fn free_per_s(&self, service: usize, from: usize, to: usize) -> f64 {
        let free = self.free[service][to].max(0.0);
        let (a, b) = (self.model.region[from], self.model.region[to]);
        if a == b {
            return free;
        }
        let traffic = &self.traffic[service];
        let fits = |bytes: Option<f64>, bytes_per_request: f64| {
            bytes.map_or(0.0, |b| b.max(0.0) / bytes_per_request)
        };
        free.min(fits(self.links[a][b], traffic.request_bytes))
            .min(fits(self.links[b][a], traffic.answer_bytes))
    }

    fn assign(&mut self, assignment: Assignment) {
        if assignment.per_s > 0.0 {
            self.apply(assignment, 1.0);
            self.undo_log.push(assignment);
        }
    }

    fn undo(&mut self, start: usize) {
        for assignment in self.undo_log.split_off(start) {
            self.apply(assignment, -1.0);
        }
    }

    fn apply(&mut self, assignment: Assignment, sign: f64) {
        let per_s = assignment.per_s * sign;
        self.free[assignment.service][assignment.to] -= per_s;
        self.flows[assignment.service][assignment.from][assignment.to] += per_s;
        let (a, b) = (
            self.model.region[assignment.from],
            self.model.region[assignment.to],
        );
        if a == b {
            return;
        }
        let traffic = &self.traffic[assignment.service];
        let use_link = |bytes: &mut Option<f64>, bytes_per_request: f64| {
            if let Some(bytes) = bytes {
                *bytes -= per_s * bytes_per_request;
            }
        };
        use_link(&mut self.links[a][b], traffic.request_bytes);
        use_link(&mut self.links[b][a], traffic.answer_bytes);
    }
}
