//! Decisions on the VMs through which a VM without links to backend servers passes requests on.
//!
//! Load pattern: a whole availability zone, a region or half of the fleet loses its links to the servers
//! at once. Most VMs near such a VM then reach nothing either. If it found that out by passing requests on,
//! each service would lose requests again and again, the more the larger the zone and the fewer the
//! requests. Hence it asks a few VMs at a time whether they reach the services' servers, in all zones, and
//! passes requests on only to those that said so a moment ago. The sample changes, so that the VMs that are
//! without links spread over the others, and the number of questions does not grow with the fleet.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::SliceRandom as _;

use crate::placement::Distance;

/// Time for which an answer holds.
pub const VALIDITY: Duration = Duration::from_millis(1_500);

/// Time within which an answer from another region arrives.
pub const ANSWER_TIME: Duration = Duration::from_millis(180);

/// Number of VMs asked at a time.
pub const SAMPLE: usize = 8;

/// Number of VMs known to reach a service that are asked again, so that they stay known.
const KEPT: usize = 4;

/// Number of VMs, one after the other, that reach no server of a service before it counts as reached by
/// nobody.
const MIN_DENIALS: usize = 6;

/// Another VM that could help.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Vm {
    /// Hash of its name.
    pub name: u64,
    /// Hash of its zone's name.
    pub zone: u64,
    /// Distance from this VM.
    pub distance: Distance,
}

/// What a VM answered last.
#[derive(Debug)]
struct Answer {
    at: Instant,
    services: HashMap<u32, bool>,
}

/// What is known of the VMs that were asked.
#[derive(Debug, Default)]
pub struct Helpers {
    answers: HashMap<u64, Answer>,
    /// When each VM was last asked.
    asked: HashMap<u64, Instant>,
    /// Since when questions have been asked without any answer.
    unanswered_since: Option<Instant>,
}

impl Helpers {
    /// Records that `vm` reaches a server of each service that is marked so.
    pub fn note_answer(
        &mut self,
        vm: u64,
        services: impl IntoIterator<Item = (u32, bool)>,
        now: Instant,
    ) {
        let services = services.into_iter().collect();
        self.answers.insert(vm, Answer { at: now, services });
        self.unanswered_since = None;
    }

    /// Returns whether `vm` has answered a question.
    #[must_use]
    pub fn has_answered(&self, vm: u64) -> bool {
        self.answers.contains_key(&vm)
    }

    /// Forgets all VMs but those in `vms`, whatever was said.
    pub fn retain(&mut self, vms: &[Vm]) {
        let names: HashSet<u64> = vms.iter().map(|vm| vm.name).collect();
        self.answers.retain(|vm, _| names.contains(vm));
        self.asked.retain(|vm, _| names.contains(vm));
    }

    /// Returns whether `vm` said a moment ago that it reaches a server of `service`; absent if it said
    /// nothing about it.
    fn reaches(&self, vm: u64, service: u32, now: Instant) -> Option<bool> {
        let answer = self.answers.get(&vm)?;
        let is_valid = now.duration_since(answer.at) < VALIDITY;
        let reaches = answer.services.get(&service).copied();
        reaches.filter(|_| is_valid)
    }

    /// Returns those of `vms` that reach a server of `service`, nearest first, in random order among those
    /// of a distance.
    #[must_use]
    pub fn of(&self, service: u32, vms: &[Vm], rng: &mut impl Rng, now: Instant) -> Vec<u64> {
        let reach = |vm: &&Vm| self.reaches(vm.name, service, now) == Some(true);
        let mut found: Vec<&Vm> = vms.iter().filter(reach).collect();
        found.shuffle(rng);
        found.sort_by_key(|vm| vm.distance);
        found.into_iter().map(|vm| vm.name).collect()
    }

    /// Returns whether enough of `vms` said that they reach no server of `service`, and none that it does.
    #[must_use]
    pub fn is_reached_by_nobody(&self, service: u32, vms: &[Vm], now: Instant) -> bool {
        let said = |vm: &Vm| self.reaches(vm.name, service, now);
        let said: Vec<bool> = vms.iter().filter_map(said).collect();
        let needed = MIN_DENIALS.min(vms.len());
        needed > 0 && said.len() >= needed && !said.contains(&true)
    }

    /// Returns whether no VM has answered for longer than an answer takes.
    #[must_use]
    pub fn is_unanswered(&self, now: Instant) -> bool {
        let since = self.unanswered_since;
        since.is_some_and(|since| now.duration_since(since) >= ANSWER_TIME)
    }

    /// Returns those of `vms` that were asked and have not answered any question: they are of a version
    /// that knows none, or dead. Nearest first.
    #[must_use]
    pub fn silent(&self, vms: &[Vm], now: Instant) -> Vec<u64> {
        let is_silent = |vm: &&Vm| {
            let asked = self.asked.get(&vm.name);
            let is_due = asked.is_some_and(|at| now.duration_since(*at) < VALIDITY);
            is_due && !self.answers.contains_key(&vm.name)
        };
        let mut silent: Vec<&Vm> = vms.iter().filter(is_silent).collect();
        silent.sort_by_key(|vm| vm.distance);
        silent.into_iter().map(|vm| vm.name).collect()
    }

    /// Chooses the VMs of `vms` that are asked next about `services`, and records that they are: some that
    /// are known to help, and of all zones in turn those that were not asked for longest.
    pub fn sample(
        &mut self,
        services: &[u32],
        vms: &[Vm],
        rng: &mut impl Rng,
        now: Instant,
    ) -> Vec<u64> {
        let mut sample: Vec<u64> = Vec::new();
        for service in services {
            let known = self.of(*service, vms, rng, now);
            let new = known.into_iter().filter(|vm| !sample.contains(vm));
            let new: Vec<u64> = new.take(KEPT.saturating_sub(sample.len())).collect();
            sample.extend(new);
        }
        let mut zones: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
        let mut others: Vec<&Vm> = vms.iter().filter(|vm| !sample.contains(&vm.name)).collect();
        others.shuffle(rng);
        // The last of each zone is taken first.
        others.sort_by_key(|vm| std::cmp::Reverse(self.asked.get(&vm.name).copied()));
        for vm in others {
            zones.entry(vm.zone).or_default().push(vm.name);
        }
        let mut zones: Vec<Vec<u64>> = zones.into_values().collect();
        zones.shuffle(rng);
        while sample.len() < SAMPLE && zones.iter().any(|zone| !zone.is_empty()) {
            let next = zones.iter_mut().filter_map(Vec::pop);
            let next: Vec<u64> = next.take(SAMPLE - sample.len()).collect();
            sample.extend(next);
        }
        if !sample.is_empty() {
            self.unanswered_since.get_or_insert(now);
        }
        self.asked.extend(sample.iter().map(|vm| (*vm, now)));
        sample
    }
}
