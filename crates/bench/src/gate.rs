//! The entry VM of a zone under one policy.

use std::collections::HashMap;
use std::net::SocketAddr;

use pick::fair::{Bounds, Pushed, Queue, Waiter};
use pick::spill;
use pick::{Endpoint, Limits, Pool, Request};
use plan::Plan;
use rand::Rng as _;
use rand::rngs::StdRng;
use retry::Budget;
use timer::Moment;

use crate::backend::Backend;
use crate::fleet::Fleet;

/// Longest time that a request waits for a slot, in milliseconds.
const WAIT_MS: u64 = 200;

/// Bounds of each queue.
const BOUNDS: Bounds = Bounds {
    max_waiting: 64,
    max_per_workspace: 32,
    quantum: 1,
};

/// Outcomes of recent requests to one service in one zone.
#[derive(Debug, Clone, Copy, Default)]
pub struct Evidence {
    /// Requests that received a response, including shed ones.
    pub answered: u32,
    /// Requests that failed.
    pub failed: u32,
}

/// An entry VM.
#[derive(Debug)]
pub struct Gate {
    /// Index of its zone.
    pub zone: usize,
    /// Pools by service and zone.
    pub pools: Vec<Vec<Pool>>,
    /// Waiting requests by service and zone.
    pub queues: Vec<Vec<Queue<usize>>>,
    /// Retry budgets by service and workspace.
    pub budgets: HashMap<(usize, usize), Budget>,
    /// Outcomes seen by this VM by service and zone since the last plan.
    pub evidence: Vec<Vec<Evidence>>,
    /// Budgets by service for requests sent to another zone than planned.
    pub spills: Vec<spill::Budget>,
    /// Round-robin counters by service.
    pub turns: Vec<usize>,
}

impl Gate {
    /// Creates the entry VM of `zone`.
    pub fn new(fleet: &Fleet, zone: usize, backends: &[Backend]) -> eyre::Result<Self> {
        let (zones, services) = (fleet.text.zones.len(), fleet.text.services.len());
        let mut pools = Vec::new();
        for (service, spec) in fleet.text.services.iter().enumerate() {
            let limits = Limits {
                slots: spec.slots,
                cold_start_ms: spec.cold_start_s * 1_000,
            };
            let mut row = Vec::new();
            for to in 0..zones {
                let mut pool = Pool::new(limits)?;
                let here = backends
                    .iter()
                    .filter(|b| (b.service, b.zone) == (service, to));
                let listed = |backend: &Backend| Endpoint {
                    addr: backend.addr,
                    draining: false,
                    max_connections: 30,
                };
                pool.set_endpoints(&here.map(listed).collect::<Vec<_>>(), Moment(0));
                row.push(pool);
            }
            pools.push(row);
        }
        let steering = &fleet.text.steering;
        let spill = spill::Budget::new(steering.shift_window_s * 1_000, steering.shift_cap_percent);
        Ok(Self {
            zone,
            pools,
            queues: vec![vec![Queue::new(BOUNDS); zones]; services],
            budgets: HashMap::new(),
            evidence: vec![vec![Evidence::default(); zones]; services],
            spills: vec![spill; services],
            turns: vec![0; services],
        })
    }

    /// Samples the destination zone of a request from the plan's shares; `None` refuses it.
    pub fn destination(
        &self,
        fleet: &Fleet,
        plan: &Plan,
        service: usize,
        rng: &mut StdRng,
    ) -> Option<usize> {
        let placement = plan.services.get(&fleet.text.services[service].name)?;
        let route = placement.sources.get(&fleet.text.zones[self.zone].name)?;
        let mut remaining: f64 = rng.random();
        let chosen = route.shares.iter().find(|(_, share)| {
            remaining -= **share;
            remaining < 0.0
        });
        let (name, _) = chosen?;
        fleet.text.zones.iter().position(|zone| zone.name == *name)
    }

    /// Chooses a server of `service` in zone `to`.
    pub fn choose(
        &mut self,
        (service, to): (usize, usize),
        tried: &[SocketAddr],
        now: Moment,
        rng: &mut StdRng,
    ) -> Option<SocketAddr> {
        let request = Request {
            excluded: tried,
            retryable: true,
        };
        self.pools[service][to].choose(request, now, rng)
    }

    /// Queues a request and returns the request that is refused because the queue is full, if any.
    pub fn wait(
        &mut self,
        (service, to): (usize, usize),
        workspace: &str,
        request: usize,
        now: Moment,
    ) -> Option<usize> {
        let waiting = Waiter {
            item: request,
            cost: 1,
            start_by: now.plus_ms(WAIT_MS),
        };
        match self.queues[service][to].push(workspace, waiting) {
            Pushed::Queued => None,
            Pushed::Replaced(other) | Pushed::Full(other) => Some(other),
        }
    }
}
