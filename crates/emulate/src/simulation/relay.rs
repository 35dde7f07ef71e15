//! Entry VMs that are cut off from all servers and pass requests on through others.

use std::time::Duration;

use steer::helpers::Helpers;
use steer::placement::Distance;

use super::setup::distance;
use super::{Event, Simulation};
use crate::scenario::Effect;

/// Interval between two rounds of questions, and while no VM is known that can help.
const ROUND: Duration = Duration::from_millis(500);
const FIRST_ROUND: Duration = Duration::from_millis(60);

/// An entry VM's search for VMs that can help.
#[derive(Debug, Default)]
pub(super) struct Search {
    helpers: Helpers,
    /// Earliest time of the next round.
    next_round: Duration,
}

impl Simulation<'_> {
    /// Returns whether the entry VM `vm` is cut off from all servers now.
    pub(super) fn is_cut_off(&self, vm: usize) -> bool {
        let now = self.schedule.now().as_secs_f64();
        let zone = &self.scenario.zones[self.vms[vm].zone].name;
        let mut active = self.scenario.troubles.iter();
        active.any(|fault| {
            let is_cut = matches!(&fault.what, Effect::Cut { zone: cut } if cut == zone);
            is_cut && fault.is_active(now)
        })
    }

    /// Passes a request on that arrived at a VM which is cut off, or refuses it.
    pub(super) fn pass_on(&mut self, request: usize) {
        let asked = self.requests[request].vm;
        let is_relayed = self.requests[request].relayed_by.is_some();
        let helper = self.find_helper(asked, self.service_of(request));
        let Some(helper) = helper.filter(|_| !is_relayed) else {
            self.refuse(request);
            return;
        };
        let latency = self
            .scenario
            .latency(self.vms[asked].zone, self.vms[helper].zone);
        self.requests[request].relayed_by = Some(asked);
        self.requests[request].vm = helper;
        self.schedule.add(latency, Event::VmReceived(request));
    }

    /// Returns the latency from the VM that decided on a request to the one that the caller asked.
    pub(super) fn latency_back(&self, request: usize) -> Duration {
        let record = &self.requests[request];
        let asked = record.relayed_by.unwrap_or(record.vm);
        self.scenario
            .latency(self.vms[asked].zone, self.vms[record.vm].zone)
    }

    /// Returns a VM through which the VM `asking` passes requests for a service on.
    fn find_helper(&mut self, asking: usize, service: usize) -> Option<usize> {
        let service = u32::try_from(service).unwrap_or(u32::MAX);
        let services = u32::try_from(self.servers.len()).unwrap_or(u32::MAX);
        let services: Vec<u32> = (0..services).collect();
        let others = self.others(asking);
        let now = self.schedule.instant();
        if self.schedule.now() >= self.vms[asking].search.next_round {
            let reaches: Vec<bool> = (0..self.vms.len()).map(|vm| !self.is_cut_off(vm)).collect();
            let search = &mut self.vms[asking].search;
            let sample = search
                .helpers
                .sample(&services, &others, &mut self.rng, now);
            for vm in sample {
                let is_reached = usize::try_from(vm).is_ok_and(|vm| reaches[vm]);
                let answer = services.iter().map(|service| (*service, is_reached));
                search.helpers.note_answer(vm, answer, now);
            }
            let known = search.helpers.of(service, &others, &mut self.rng, now);
            let pause = if known.is_empty() { FIRST_ROUND } else { ROUND };
            search.next_round = self.schedule.now() + pause;
        }
        let helpers = &self.vms[asking].search.helpers;
        let known = helpers.of(service, &others, &mut self.rng, now);
        known.first().and_then(|vm| usize::try_from(*vm).ok())
    }

    fn others(&self, asking: usize) -> Vec<steer::helpers::Vm> {
        let own = self.vms[asking].zone;
        let all = self.vms.iter().enumerate();
        let others = all.filter(|(vm, _)| *vm != asking);
        let other = |(name, vm): (usize, &super::setup::Vm)| steer::helpers::Vm {
            name: name as u64,
            zone: vm.zone as u64,
            distance: self.distance_of(own, vm.zone),
        };
        others.map(other).collect()
    }

    fn distance_of(&self, one: usize, other: usize) -> Distance {
        distance(self.scenario, one, other)
    }
}
