//! The simulation: processes the events of callers, entry VMs and servers in order of time.

mod relay;
mod setup;

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use steer::placement::{Distance, hash, is_regional};
use steer::spill::Utilization;
use steer::to_f64;

use self::setup::{Vm, distance, servers, vms};
use crate::callers;
use crate::policy::{Attempt, Policy};
use crate::scenario::{Effect, Scenario, ms};
use crate::server::{Admission, Server};
use crate::tally::Tally;
use crate::time::Schedule;

/// Interval at which entry VMs read the utilization of all zones and update their spill.
const TICK: Duration = Duration::from_millis(300);

/// Time for which an entry VM sends no requests to a server that was unreachable.
const UNREACHABLE_FOR: Duration = Duration::from_millis(400);

/// Minimum delay before a caller retries, and the maximum random addition, in milliseconds.
const RETRY_AFTER_MS: (f64, f64) = (150.0, 200.0);

/// Maximum deviation of the service time from its mean, as a fraction of the mean.
const SPREAD: f64 = 0.15;

#[derive(Debug, Clone, Copy)]
enum Event {
    /// Candidate arrival of a request of a kind from a zone's callers. `per_s` is the rate with
    /// which its time was sampled.
    Arrival {
        kind: usize,
        zone: usize,
        per_s: f64,
    },
    /// An entry VM receives a request.
    VmReceived(usize),
    /// A server receives a request.
    ServerReceived(usize),
    /// A server finishes the work of a request.
    WorkDone { request: usize, incarnation: u32 },
    /// The entry VM receives a response with the reported load (running, waiting).
    Response {
        request: usize,
        reported: (u32, u32),
    },
    /// The entry VM learns that a request was shed, or, without a reported load, that the server
    /// is unreachable.
    Shed {
        request: usize,
        reported: Option<(u32, u32)>,
    },
    /// The caller receives the outcome of an attempt.
    CallerReceived { request: usize, is_served: bool },
    /// Entry VMs update their spill.
    Tick,
    /// A zone's servers stop or return.
    Availability { zone: usize, is_up: bool },
}

#[derive(Debug)]
struct Request {
    kind: usize,
    zone: usize,
    object: u64,
    started: Duration,
    vm: usize,
    /// Index of the server's view at the entry VM, for the current attempt.
    view: usize,
    attempts: u32,
    /// The VM that the caller asked, if it passed the request on to `vm`.
    relayed_by: Option<usize>,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    schedule: Schedule<Event>,
    rng: StdRng,
    servers: Vec<Vec<Server>>,
    vms: Vec<Vm>,
    requests: Vec<Request>,
    tally: Tally,
}

/// Simulates a scenario with a placement policy.
#[must_use]
pub fn simulate(scenario: &Scenario, policy: Policy, seed: u64) -> Tally {
    let mut simulation = Simulation::new(scenario, policy, seed);
    simulation.schedule_initial_events();
    while let Some(event) = simulation.schedule.advance() {
        simulation.handle(event);
    }
    simulation.tally
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> Self {
        let schedule: Schedule<Event> = Schedule::new();
        let servers = servers(scenario);
        let vms = vms(scenario, &servers, &schedule);
        Self {
            scenario,
            policy,
            schedule,
            rng: StdRng::seed_from_u64(seed),
            servers,
            vms,
            requests: Vec::new(),
            tally: Tally::new(scenario),
        }
    }

    fn schedule_initial_events(&mut self) {
        for kind in 0..self.scenario.kinds.len() {
            for zone in 0..self.scenario.zones.len() {
                self.schedule_arrival(kind, zone);
            }
        }
        for fault in &self.scenario.troubles {
            let Effect::Away { zone } = &fault.what else {
                continue;
            };
            let Some(zone) = self.scenario.zone(zone) else {
                continue;
            };
            let start = ms(fault.at_s * 1_000.0);
            let duration = ms(fault.for_s * 1_000.0);
            self.schedule
                .add(start, Event::Availability { zone, is_up: false });
            self.schedule
                .add(start + duration, Event::Availability { zone, is_up: true });
        }
        self.schedule.add(TICK, Event::Tick);
    }

    fn is_over(&self) -> bool {
        self.schedule.now().as_secs_f64() >= self.scenario.length_s
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { kind, zone, per_s } => self.arrive(kind, zone, per_s),
            Event::VmReceived(request) => self.place(request),
            Event::ServerReceived(request) => self.deliver(request),
            Event::WorkDone {
                request,
                incarnation,
            } => self.finish(request, incarnation),
            Event::Response { request, reported } => self.handle_response(request, reported),
            Event::Shed { request, reported } => self.handle_shed(request, reported),
            Event::CallerReceived { request, is_served } => self.end(request, is_served),
            Event::Tick => self.tick(),
            Event::Availability { zone, is_up } => self.set_availability(zone, is_up),
        }
    }

    /// Schedules the next candidate arrival, sampled at twice the current rate or more;
    /// [`Simulation::arrive`] thins the candidates to the rate at the time of their arrival.
    fn schedule_arrival(&mut self, kind: usize, zone: usize) {
        let now = self.schedule.now().as_secs_f64();
        let rate = callers::rate(self.scenario, kind, zone, now);
        let per_s = (rate * 2.0).max(1.0);
        let interval = callers::interval_s(per_s, &mut self.rng);
        let event = Event::Arrival { kind, zone, per_s };
        self.schedule.add(Duration::from_secs_f64(interval), event);
    }

    fn arrive(&mut self, kind: usize, zone: usize, per_s: f64) {
        if self.is_over() {
            return;
        }
        self.schedule_arrival(kind, zone);
        let now = self.schedule.now().as_secs_f64();
        let rate = callers::rate(self.scenario, kind, zone, now);
        let sample: f64 = self.rng.random();
        if sample * per_s >= rate {
            return;
        }
        let object = callers::object(self.scenario, kind, zone, &mut self.rng);
        self.requests.push(Request {
            kind,
            zone,
            object,
            started: self.schedule.now(),
            vm: 0,
            view: 0,
            attempts: 0,
            relayed_by: None,
        });
        self.send(self.requests.len() - 1, Duration::ZERO);
    }

    /// Sends a caller's request to a random entry VM of its zone, or of any zone if that has none.
    fn send(&mut self, request: usize, delay: Duration) {
        let zone = self.requests[request].zone;
        let near: Vec<usize> = (0..self.vms.len())
            .filter(|vm| self.vms[*vm].zone == zone)
            .collect();
        let vm = match &near[..] {
            [] => self.rng.random_range(0..self.vms.len()),
            near => near[self.rng.random_range(0..near.len())],
        };
        self.requests[request].vm = vm;
        self.requests[request].relayed_by = None;
        self.requests[request].attempts += 1;
        let latency = ms(self.scenario.to_callers_ms);
        self.schedule
            .add(delay + latency, Event::VmReceived(request));
    }

    fn service_of(&self, request: usize) -> usize {
        let kind = &self.scenario.kinds[self.requests[request].kind];
        self.scenario.service(&kind.service).unwrap_or_default()
    }

    fn place(&mut self, request: usize) {
        if self.is_cut_off(self.requests[request].vm) {
            self.pass_on(request);
            return;
        }
        let service = self.service_of(request);
        let now = self.schedule.instant();
        let record = &self.requests[request];
        let kind = &self.scenario.kinds[record.kind];
        let has_affinity = kind.warm_gain > 0.0;
        let zone = self.vms[record.vm].zone;
        let users = self.vms.iter().filter(|vm| has_affinity || vm.zone == zone);
        let users = to_f64(users.count());
        let target = Duration::from_secs_f64(kind.aim_ms / 1_000.0);
        let vm = &mut self.vms[record.vm];
        vm.sequence += 1;
        let attempt = Attempt {
            object: hash(format!("{}/{}", kind.name, record.object).as_bytes()),
            has_affinity,
            is_regional: is_regional(target, self.scenario.services[service].tells_load),
            users,
            sequence: vm.sequence,
        };
        let spill = vm.spills[service];
        let chosen = self
            .policy
            .choose(&vm.views[service], attempt, spill, &mut self.rng, now);
        let Some(view) = chosen else {
            self.refuse(request);
            return;
        };
        let server_view = &mut vm.views[service][view];
        server_view.load.begin(now);
        let latency = self
            .scenario
            .latency(vm.zone, self.servers[service][server_view.server].zone);
        self.requests[request].view = view;
        self.schedule.add(latency, Event::ServerReceived(request));
    }

    /// Returns the service, the server index and the one-way latency of a request's current attempt.
    fn target(&self, request: usize) -> (usize, usize, Duration) {
        let service = self.service_of(request);
        let record = &self.requests[request];
        let vm = &self.vms[record.vm];
        let server = vm.views[service][record.view].server;
        let latency = self
            .scenario
            .latency(vm.zone, self.servers[service][server].zone);
        (service, server, latency)
    }

    fn deliver(&mut self, request: usize) {
        let (service, server, latency) = self.target(request);
        let target = &mut self.servers[service][server];
        match target.receive(request) {
            Admission::Running => self.start_work(request),
            Admission::Queued => {}
            Admission::Shed => {
                let reported = target.is_up.then(|| target.load());
                self.schedule
                    .add(latency, Event::Shed { request, reported });
            }
        }
    }

    /// Starts the work of a request and schedules its end.
    fn start_work(&mut self, request: usize) {
        let (service, server, _) = self.target(request);
        let record = &self.requests[request];
        let kind = &self.scenario.kinds[record.kind];
        let target = &mut self.servers[service][server];
        let is_warm = target.touch((record.kind, record.object)) && kind.warm_gain > 0.0;
        let work_factor = if is_warm { 1.0 - kind.warm_gain } else { 1.0 };
        let spread = self.rng.random_range(1.0 - SPREAD..1.0 + SPREAD);
        let incarnation = target.incarnation;
        let is_far =
            self.scenario.zones[target.zone].region != self.scenario.zones[record.zone].region;
        self.tally.runs += 1;
        self.tally.warm += u32::from(is_warm);
        self.tally.far += u32::from(is_far);
        let slowdown = self.slowdown(service, server);
        let done = Event::WorkDone {
            request,
            incarnation,
        };
        self.schedule
            .add(ms(kind.work_ms * work_factor * spread * slowdown), done);
    }

    /// Returns the factor by which active faults multiply a server's service time.
    fn slowdown(&self, service: usize, server: usize) -> f64 {
        let now = self.schedule.now().as_secs_f64();
        let mut slowdown = 1.0;
        for fault in self
            .scenario
            .troubles
            .iter()
            .filter(|fault| fault.is_active(now))
        {
            if let Effect::Slow {
                service: name,
                share,
                x,
            } = &fault.what
            {
                let is_affected = to_f64(server) < to_f64(self.servers[service].len()) * share;
                if is_affected && self.scenario.service(name) == Some(service) {
                    slowdown *= x;
                }
            }
        }
        slowdown
    }

    fn finish(&mut self, request: usize, incarnation: u32) {
        let (service, server, latency) = self.target(request);
        let target = &mut self.servers[service][server];
        if target.incarnation != incarnation {
            // The server stopped while it ran the request, so no response is sent.
            self.schedule.add(
                latency,
                Event::Shed {
                    request,
                    reported: None,
                },
            );
            return;
        }
        let next = target.finish();
        let reported = target.load();
        self.schedule
            .add(latency, Event::Response { request, reported });
        if let Some(next) = next {
            self.start_work(next);
        }
    }

    /// Records the load reported with a response, or marks the server unreachable without one.
    fn note_response_load(&mut self, request: usize, reported: Option<(u32, u32)>) {
        let service = self.service_of(request);
        let now = self.schedule.instant();
        let record = &self.requests[request];
        let view = &mut self.vms[record.vm].views[service][record.view];
        match reported {
            Some((running, waiting)) if self.scenario.services[service].tells_load => {
                view.load.note_reported(running + 1, waiting, now);
            }
            Some(_) => {}
            None => view.unreachable_until = Some(now + UNREACHABLE_FOR),
        }
        view.load.end(now);
    }

    fn handle_response(&mut self, request: usize, reported: (u32, u32)) {
        self.note_response_load(request, Some(reported));
        let is_served = true;
        let latency = self.latency_back(request) + ms(self.scenario.to_callers_ms);
        self.schedule
            .add(latency, Event::CallerReceived { request, is_served });
    }

    fn handle_shed(&mut self, request: usize, reported: Option<(u32, u32)>) {
        self.note_response_load(request, reported);
        self.refuse(request);
    }

    fn refuse(&mut self, request: usize) {
        self.tally.refusals += 1;
        let is_served = false;
        let latency = self.latency_back(request) + ms(self.scenario.to_callers_ms);
        self.schedule
            .add(latency, Event::CallerReceived { request, is_served });
    }

    fn end(&mut self, request: usize, is_served: bool) {
        let record = &self.requests[request];
        let kind = &self.scenario.kinds[record.kind];
        let elapsed = self.schedule.now().saturating_sub(record.started);
        let remaining = ms(kind.deadline_ms).saturating_sub(elapsed);
        let (min_ms, spread) = RETRY_AFTER_MS;
        let sample: f64 = self.rng.random();
        let interval = ms(spread.mul_add(sample, min_ms));
        if !is_served && record.attempts <= kind.retries && interval <= remaining / 3 {
            self.send(request, interval);
            return;
        }
        let is_served = is_served && !remaining.is_zero();
        let earned = match is_served {
            true if elapsed <= ms(kind.aim_ms) => 1.0,
            true => kind.late,
            false => 0.0,
        };
        let (kind, zone, started) = (record.kind, record.zone, record.started);
        self.tally.end(kind, zone, started, earned, is_served);
    }

    fn set_availability(&mut self, zone: usize, is_up: bool) {
        let mut dropped = Vec::new();
        for server in self.servers.iter_mut().flatten() {
            if server.zone != zone {
                continue;
            }
            if is_up {
                server.is_up = true;
            } else {
                dropped.extend(server.stop());
            }
        }
        for request in dropped {
            let (_, _, latency) = self.target(request);
            self.schedule.add(
                latency,
                Event::Shed {
                    request,
                    reported: None,
                },
            );
        }
    }

    fn tick(&mut self) {
        if self.is_over() {
            return;
        }
        for vm in 0..self.vms.len() {
            for service in 0..self.servers.len() {
                let utilization = self.utilization(self.vms[vm].zone, service);
                let spill = &mut self.vms[vm].spills[service];
                *spill = spill.after(utilization, TICK.as_secs_f64());
            }
        }
        self.schedule.add(TICK, Event::Tick);
    }

    /// Returns the utilization of a service in a zone, in the rest of its region and beyond.
    fn utilization(&self, zone: usize, service: usize) -> Utilization {
        let utilization_at = |wanted: Distance| {
            let servers = self.servers[service].iter();
            let servers = servers.filter(|server| server.is_up);
            let (load, slots) = servers
                .filter(|server| distance(self.scenario, zone, server.zone) == wanted)
                .fold((0.0, 0.0), |(load, slots), server| {
                    let (running, waiting) = server.load();
                    let server_slots = f64::from(self.scenario.services[service].slots);
                    (load + f64::from(running + waiting), slots + server_slots)
                });
            (slots > 0.0).then(|| load / slots)
        };
        Utilization {
            zone: utilization_at(Distance::Zone),
            region: utilization_at(Distance::Region),
            far: utilization_at(Distance::Far),
        }
    }
}
