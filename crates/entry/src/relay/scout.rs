//! Finds the entry VMs that reach the backend servers which this VM does not reach.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fleet::reach::{Answer, Query};
use fleet::report::Datagram;
use steer::helpers::{ANSWER_TIME, Helpers, Vm};
use steer::placement::hash;
use tokio::sync::Notify;
use tokio::time::{timeout, timeout_at};

use crate::peers;
use crate::state::State;

/// Interval between two rounds of questions.
const INTERVAL: Duration = Duration::from_millis(500);

/// The same while no VM is known that reaches one of the services: a round trip to another region.
const FIRST_INTERVAL: Duration = Duration::from_millis(60);

/// Time after the last request that needed a service for which is asked on.
const MEMORY: Duration = Duration::from_secs(2);

/// Maximum number of services in a question.
const MAX_SERVICES: usize = 32;

/// The search for VMs that can help.
#[derive(Debug, Default)]
pub struct Scout {
    helpers: RefCell<Helpers>,
    /// Services of which this VM reaches no server, by hash, and when a request last needed them.
    wanted: RefCell<HashMap<u32, Instant>>,
    is_wanted: Notify,
    has_heard: Notify,
}

impl Scout {
    /// Returns the services that requests needed lately.
    fn services(&self, now: Instant) -> Vec<u32> {
        let mut wanted = self.wanted.borrow_mut();
        wanted.retain(|_, at| now.duration_since(*at) < MEMORY);
        wanted.keys().copied().collect()
    }

    fn want(&self, service: u32, now: Instant) {
        let is_new = self.wanted.borrow_mut().insert(service, now).is_none();
        if is_new {
            self.is_wanted.notify_one();
        }
    }

    /// Returns whether the VM whose name has the hash `vm` has answered a question lately.
    pub fn has_answered(&self, vm: u64) -> bool {
        self.helpers.borrow().has_answered(vm)
    }
}

impl State {
    /// Returns the VMs that said that they reach a server of `service`, nearest first; waits a moment if
    /// none is known yet.
    pub(super) async fn find_helpers(&self, service: &str) -> Vec<u64> {
        let service = peers::short_hash(service);
        let until = Instant::now() + ANSWER_TIME;
        loop {
            let heard = self.scout.has_heard.notified();
            self.scout.want(service, Instant::now());
            if let Some(known) = self.known_helpers(service) {
                return known;
            }
            if timeout_at(until.into(), heard).await.is_err() {
                return Vec::new();
            }
        }
    }

    /// Returns the VMs that reach a server of `service`; absent if that is not known yet.
    fn known_helpers(&self, service: u32) -> Option<Vec<u64>> {
        let now = Instant::now();
        let vms = self.possible_helpers();
        let helpers = self.scout.helpers.borrow();
        let known = helpers.of(service, &vms, &mut rand::rng(), now);
        let is_certain = !known.is_empty()
            || helpers.is_reached_by_nobody(service, &vms, now)
            || helpers.is_unanswered(now);
        (is_certain || vms.is_empty()).then_some(known)
    }

    /// Returns the VMs that do not answer questions, nearest first: they are of older versions, or dead.
    pub(super) fn silent_helpers(&self) -> Vec<u64> {
        let vms = self.possible_helpers();
        let helpers = self.scout.helpers.borrow();
        helpers.silent(&vms, Instant::now())
    }

    /// Returns the other VMs that serve callers.
    fn possible_helpers(&self) -> Vec<Vm> {
        let membership = self.membership.borrow();
        let ready = membership.ready(&self.fleet_report.borrow());
        let vm = |(name, announcement): (&str, &fleet::report::Announcement)| Vm {
            name: peers::rank(name),
            zone: hash(announcement.zone.as_bytes()),
            distance: self.distance_to(&announcement.zone),
        };
        ready.into_iter().map(vm).collect()
    }

    /// Answers another VM's question.
    pub async fn answer_reach(&self, query: Query, from: SocketAddr) {
        let reaches = |service: u32| self.is_ready() && self.reaches(service);
        let services = query.services.into_iter().take(MAX_SERVICES);
        let answer = Answer {
            vm: peers::rank(&self.settings.vm),
            services: services
                .map(|service| (service, reaches(service)))
                .collect(),
        };
        peers::send(self, from, &Datagram::ReachAnswer(answer)).await;
    }

    /// Returns whether this VM reaches a server of the service whose name has the given hash.
    fn reaches(&self, service: u32) -> bool {
        if self.is_partitioned() {
            return false;
        }
        let servers = self.servers.borrow();
        let mut names = servers.services();
        let name = names.find(|name| peers::short_hash(name) == service);
        let of_service = name.map(|name| servers.of(name));
        let mut usable = of_service.into_iter().flatten();
        usable.any(|backend| backend.is_usable())
    }

    /// Records another VM's answer.
    pub fn note_reach_answer(&self, answer: Answer) {
        let services = answer.services.into_iter().take(MAX_SERVICES);
        let mut helpers = self.scout.helpers.borrow_mut();
        helpers.note_answer(answer.vm, services, Instant::now());
        self.scout.has_heard.notify_waiters();
    }
}

/// Asks other VMs as long as requests need it.
pub async fn run(state: Rc<State>) {
    let scout = &state.scout;
    loop {
        scout.is_wanted.notified().await;
        loop {
            let services = scout.services(Instant::now());
            if services.is_empty() {
                break;
            }
            let pause = ask(&state, services).await;
            // A service that is needed for the first time is asked for at once.
            let _ = timeout(pause, scout.is_wanted.notified()).await;
        }
    }
}

/// Sends a round of questions; returns the pause until the next one.
async fn ask(state: &State, services: Vec<u32>) -> Duration {
    let now = Instant::now();
    let vms = state.possible_helpers();
    let sample = {
        let mut helpers = state.scout.helpers.borrow_mut();
        helpers.retain(&vms);
        helpers.sample(&services, &vms, &mut rand::rng(), now)
    };
    let all_known = {
        let helpers = state.scout.helpers.borrow();
        let is_known =
            |service: &u32| !helpers.of(*service, &vms, &mut rand::rng(), now).is_empty();
        services.iter().all(is_known)
    };
    let query = Datagram::ReachQuery(Query {
        services: with_others(state, services),
    });
    for vm in sample {
        let addr = state.membership.borrow().peer_addr(vm);
        if let Some(addr) = addr {
            peers::send(state, addr, &query).await;
        }
    }
    if all_known { INTERVAL } else { FIRST_INTERVAL }
}

/// Returns `services` and the others that have servers, so that their first request need not wait.
fn with_others(state: &State, mut services: Vec<u32>) -> Vec<u32> {
    let servers = state.servers.borrow();
    let others = servers.services().map(|name| peers::short_hash(name));
    let others: Vec<u32> = others.filter(|other| !services.contains(other)).collect();
    services.extend(others);
    services.truncate(MAX_SERVICES);
    services
}
