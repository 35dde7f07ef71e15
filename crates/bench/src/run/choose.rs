//! Zone and server selection and retries of each policy.

use std::net::SocketAddr;

use pick::Outcome;
use rand::Rng as _;
use retry::{Attempt, Decision, Failure};
use text::model::Repeat;
use timer::Moment;

use super::{DEADLINE_MS, MAX_ATTEMPTS, Reply, Run};
use crate::gate::Gate;
use crate::policy::Policy;
use crate::record::{Completion, Record};

impl Run {
    pub(super) fn choose_planned(
        &mut self,
        id: usize,
        gate: &mut Gate,
        record: &mut Record,
    ) -> Option<SocketAddr> {
        let now = self.moment();
        let request = self.requests[id].clone();
        if request.attempts == 0 {
            let plan = self.plan.as_ref()?;
            let Some(to) = gate.destination(&self.fleet, plan, request.service, &mut self.rng)
            else {
                self.finish(id, Completion::Refused, record);
                return None;
            };
            self.requests[id].target_zone = to;
            let pool = (request.service, to);
            gate.spills[request.service].note_request(now);
            if gate.queues[request.service][to].is_empty()
                && let Some(addr) = gate.choose(pool, &[], now, &mut self.rng)
            {
                return Some(addr);
            }
            if let Some(addr) = self.spill(id, gate, now) {
                return Some(addr);
            }
            let name = &self.fleet.text.workspaces[request.workspace].name;
            if let Some(other) = gate.wait(pool, name, id, now) {
                self.finish(other, Completion::Refused, record);
            }
            return None;
        }
        let pool = (request.service, request.target_zone);
        let retried = gate.choose(pool, &request.tried, now, &mut self.rng);
        let chosen = retried.or_else(|| self.spill(id, gate, now));
        if chosen.is_none() {
            self.finish(id, Completion::Refused, record);
        }
        chosen
    }

    /// Chooses a server in another zone than planned, within the spill budget.
    pub(super) fn spill(&mut self, id: usize, gate: &mut Gate, now: Moment) -> Option<SocketAddr> {
        let request = self.requests[id].clone();
        let zones = self.fleet.nearest[gate.zone].clone();
        for zone in zones
            .into_iter()
            .filter(|zone| *zone != request.target_zone)
        {
            let pool = (request.service, zone);
            let is_open =
                !self.fleet.text.zones[zone].drain && gate.queues[request.service][zone].is_empty();
            let chosen = is_open
                .then(|| gate.choose(pool, &request.tried, now, &mut self.rng))
                .flatten();
            let Some(addr) = chosen else {
                continue;
            };
            if gate.spills[request.service].take(now) {
                return Some(addr);
            }
            gate.pools[request.service][zone].finish(addr, Outcome::Cancelled, now);
            return None;
        }
        None
    }

    pub(super) fn choose_simple(&mut self, id: usize, gate: &mut Gate) -> Option<usize> {
        let request = &self.requests[id];
        let service = request.service;
        let usable = |zone: usize| -> Vec<usize> {
            let drained = self.fleet.text.zones[zone].drain;
            let servers = self.backends.iter().enumerate();
            let fits = servers.filter(|(_, b)| {
                let here = (b.service, b.zone) == (service, zone) && !drained;
                here && b.reported.is_some() && !request.tried.contains(&b.addr)
            });
            fits.map(|(index, _)| index).collect()
        };
        let near = &self.fleet.nearest[gate.zone];
        let mut all = near.iter().map(|zone| usable(*zone));
        match self.policy {
            Policy::LeastReported => {
                let all: Vec<usize> = all.flatten().collect();
                let least = all
                    .iter()
                    .filter_map(|s| self.backends[*s].reported)
                    .min()?;
                let ties = all
                    .into_iter()
                    .filter(|s| self.backends[*s].reported == Some(least));
                let ties: Vec<usize> = ties.collect();
                Some(ties[self.rng.random_range(0..ties.len())])
            }
            Policy::StaticWeights if self.rng.random::<f64>() >= 0.8 => {
                let others: Vec<usize> = all.skip(1).flatten().collect();
                let index = self.rng.random_range(0..others.len().max(1));
                others.get(index).copied()
            }
            _ => {
                let servers = all.find(|servers| !servers.is_empty())?;
                gate.turns[service] += 1;
                Some(servers[gate.turns[service] % servers.len()])
            }
        }
    }

    pub(super) fn start_waiting(
        &mut self,
        service: usize,
        zone: usize,
        gate: &mut Gate,
        record: &mut Record,
    ) {
        let now = self.moment();
        while !gate.queues[service][zone].is_empty() {
            let Some(addr) = gate.choose((service, zone), &[], now, &mut self.rng) else {
                break;
            };
            let mut expired = Vec::new();
            let next = gate.queues[service][zone].pop(now, &mut expired);
            for id in expired {
                self.finish(id, Completion::Refused, record);
            }
            let server = self.backends.iter().position(|b| b.addr == addr);
            match (next, server) {
                (Some(id), Some(server)) => self.send(id, server),
                _ => gate.pools[service][zone].finish(addr, Outcome::Cancelled, now),
            }
        }
    }

    pub(super) fn retry_after_ms(
        &mut self,
        id: usize,
        status: Reply,
        gate: &mut Gate,
    ) -> Option<u64> {
        let request = &self.requests[id];
        let name = &self.fleet.text.services[request.service].name;
        let mut routes = self.fleet.text.routes.iter();
        let repeatable = !routes.any(|r| r.service == *name && r.repeat == Repeat::Once);
        let failure = match status {
            Reply::Shed => Failure::Shed,
            Reply::Unreached => Failure::Unreached,
            Reply::Failed | Reply::Good => Failure::Broken,
        };
        if self.policy != Policy::Teaseldoor {
            let safe = repeatable || failure != Failure::Broken;
            return (safe && request.tried.len() < MAX_ATTEMPTS).then_some(0);
        }
        let elapsed_ms = (self.now_us - request.arrived_us) / 1_000;
        let attempt = Attempt {
            failure,
            is_idempotent: repeatable,
            is_buffered: true,
            attempts: request.attempts,
            broken_attempts: request.broken,
            remaining_ms: DEADLINE_MS.saturating_sub(elapsed_ms),
        };
        let key = (request.service, request.workspace);
        let now = self.moment();
        let budget = gate.budgets.entry(key).or_default();
        match retry::decide(&attempt, budget, now, &mut self.rng) {
            Decision::Retry { after_ms } => Some(after_ms),
            Decision::Refuse => None,
        }
    }
}
