//! The play: events of callers, entry VMs and servers, one after the other.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use steer::load::Load;
use steer::placement::{Distance, hash};
use steer::spill::{Shares, Spill, Utilization};
use steer::to_f64;

use crate::callers;
use crate::policy::{Demand, Policy, View};
use crate::scenario::{Scenario, What, ms};
use crate::server::{Reception, Server};
use crate::tally::Tally;
use crate::time::Agenda;

/// Time between two looks at the loads of all zones.
const TICK: Duration = Duration::from_millis(300);

/// Time for which a server that could not be reached is left alone.
const LOST: Duration = Duration::from_millis(400);

/// Shortest time after which a refused caller comes again, and what is added at most.
const RETRY_AFTER_MS: (f64, f64) = (150.0, 200.0);

/// Spread of the work around its mean, as a part.
const SPREAD: f64 = 0.15;

#[derive(Debug, Clone, Copy)]
enum Event {
    /// A caller of a zone may send a request of a kind; the rate is the one that was drawn with.
    Arrive {
        kind: usize,
        zone: usize,
        per_s: f64,
    },
    /// A request reaches an entry VM.
    AtVm(usize),
    /// A request reaches its server.
    AtServer(usize),
    /// A server has done the work of a request.
    Done { request: usize, incarnation: u32 },
    /// An answer reaches the entry VM, with the load that it tells.
    Answered { request: usize, told: (u32, u32) },
    /// A refusal reaches the entry VM; without a told load, from nobody.
    Shed {
        request: usize,
        told: Option<(u32, u32)>,
    },
    /// The last word on a request reaches the caller.
    AtCaller { request: usize, is_served: bool },
    /// Loads are looked at.
    Tick,
    /// A zone's servers go away or come back.
    Power { zone: usize, is_up: bool },
}

#[derive(Debug)]
struct Request {
    kind: usize,
    zone: usize,
    object: u64,
    began: Duration,
    vm: usize,
    /// Index of the view at the entry VM, while it is sent.
    view: usize,
    asked: u32,
}

#[derive(Debug)]
struct Vm {
    zone: usize,
    /// Servers by service.
    views: Vec<Vec<View>>,
    /// Objects that begin away, by service.
    spills: Vec<Spill>,
    turn: usize,
}

struct World<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    agenda: Agenda<Event>,
    rng: StdRng,
    servers: Vec<Vec<Server>>,
    vms: Vec<Vm>,
    requests: Vec<Request>,
    tally: Tally,
}

/// Plays a scenario with a way of placing.
#[must_use]
pub fn play(scenario: &Scenario, policy: Policy, seed: u64) -> Tally {
    let mut world = World::new(scenario, policy, seed);
    world.begin();
    while let Some(event) = world.agenda.advance() {
        world.step(event);
    }
    world.tally
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> Self {
        let agenda: Agenda<Event> = Agenda::new();
        let servers = servers(scenario);
        let vms = vms(scenario, &servers, &agenda);
        Self {
            scenario,
            policy,
            agenda,
            rng: StdRng::seed_from_u64(seed),
            servers,
            vms,
            requests: Vec::new(),
            tally: Tally::new(scenario),
        }
    }

    fn begin(&mut self) {
        for kind in 0..self.scenario.kinds.len() {
            for zone in 0..self.scenario.zones.len() {
                self.draw_arrival(kind, zone);
            }
        }
        for trouble in &self.scenario.troubles {
            let What::Away { zone } = &trouble.what else {
                continue;
            };
            let Some(zone) = self.scenario.zone(zone) else {
                continue;
            };
            let begins = ms(trouble.at_s * 1_000.0);
            let lasts = ms(trouble.for_s * 1_000.0);
            self.agenda.add(begins, Event::Power { zone, is_up: false });
            self.agenda
                .add(begins + lasts, Event::Power { zone, is_up: true });
        }
        self.agenda.add(TICK, Event::Tick);
    }

    fn is_over(&self) -> bool {
        self.agenda.now().as_secs_f64() >= self.scenario.length_s
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive { kind, zone, per_s } => self.arrive(kind, zone, per_s),
            Event::AtVm(request) => self.place(request),
            Event::AtServer(request) => self.reach(request),
            Event::Done {
                request,
                incarnation,
            } => self.finish(request, incarnation),
            Event::Answered { request, told } => self.answered(request, told),
            Event::Shed { request, told } => self.shed(request, told),
            Event::AtCaller { request, is_served } => self.end(request, is_served),
            Event::Tick => self.tick(),
            Event::Power { zone, is_up } => self.power(zone, is_up),
        }
    }

    /// Draws the next request at twice the mean rate or more; [`World::arrive`] thins them.
    fn draw_arrival(&mut self, kind: usize, zone: usize) {
        let now = self.agenda.now().as_secs_f64();
        let rate = callers::rate(self.scenario, kind, zone, now);
        let per_s = (rate * 2.0).max(1.0);
        let pause = callers::pause_s(per_s, &mut self.rng);
        let event = Event::Arrive { kind, zone, per_s };
        self.agenda.add(Duration::from_secs_f64(pause), event);
    }

    fn arrive(&mut self, kind: usize, zone: usize, per_s: f64) {
        if self.is_over() {
            return;
        }
        self.draw_arrival(kind, zone);
        let now = self.agenda.now().as_secs_f64();
        let rate = callers::rate(self.scenario, kind, zone, now);
        let draw: f64 = self.rng.random();
        if draw * per_s >= rate {
            return;
        }
        let object = callers::object(self.scenario.kinds[kind].objects, &mut self.rng);
        self.requests.push(Request {
            kind,
            zone,
            object,
            began: self.agenda.now(),
            vm: 0,
            view: 0,
            asked: 0,
        });
        self.ask(self.requests.len() - 1, Duration::ZERO);
    }

    /// Sends a caller's request to an entry VM of its zone, or any if its zone has none.
    fn ask(&mut self, request: usize, after: Duration) {
        let zone = self.requests[request].zone;
        let near: Vec<usize> = (0..self.vms.len())
            .filter(|vm| self.vms[*vm].zone == zone)
            .collect();
        let vm = match &near[..] {
            [] => self.rng.random_range(0..self.vms.len()),
            near => near[self.rng.random_range(0..near.len())],
        };
        self.requests[request].vm = vm;
        self.requests[request].asked += 1;
        let way = ms(self.scenario.to_callers_ms);
        self.agenda.add(after + way, Event::AtVm(request));
    }

    fn service_of(&self, request: usize) -> usize {
        let kind = &self.scenario.kinds[self.requests[request].kind];
        self.scenario.service(&kind.service).unwrap_or_default()
    }

    fn place(&mut self, request: usize) {
        let service = self.service_of(request);
        let now = self.agenda.instant();
        let asked = &self.requests[request];
        let kind = &self.scenario.kinds[asked.kind];
        let warms = kind.warm_gain > 0.0;
        let zone = self.vms[asked.vm].zone;
        let users = self.vms.iter().filter(|vm| warms || vm.zone == zone);
        let users = to_f64(users.count());
        let vm = &mut self.vms[asked.vm];
        vm.turn += 1;
        let demand = Demand {
            object: hash(format!("{}/{}", kind.name, asked.object).as_bytes()),
            warms,
            users,
            turn: vm.turn,
        };
        let spill = vm.spills[service];
        let chosen = self
            .policy
            .choose(&vm.views[service], demand, spill, &mut self.rng, now);
        let Some(view) = chosen else {
            self.refuse(request);
            return;
        };
        let seen = &mut vm.views[service][view];
        seen.load.begin(now);
        let way = self
            .scenario
            .between(vm.zone, self.servers[service][seen.server].zone);
        self.requests[request].view = view;
        self.agenda.add(way, Event::AtServer(request));
    }

    /// Returns the service and the index of the server that a request was sent to, and the way.
    fn target(&self, request: usize) -> (usize, usize, Duration) {
        let service = self.service_of(request);
        let asked = &self.requests[request];
        let vm = &self.vms[asked.vm];
        let server = vm.views[service][asked.view].server;
        let way = self
            .scenario
            .between(vm.zone, self.servers[service][server].zone);
        (service, server, way)
    }

    fn reach(&mut self, request: usize) {
        let (service, server, way) = self.target(request);
        let target = &mut self.servers[service][server];
        match target.receive(request) {
            Reception::Runs => self.work(request),
            Reception::Waits => {}
            Reception::Refused => {
                let told = target.is_up.then(|| target.load());
                self.agenda.add(way, Event::Shed { request, told });
            }
        }
    }

    /// Begins the work of a request.
    fn work(&mut self, request: usize) {
        let (service, server, _) = self.target(request);
        let asked = &self.requests[request];
        let kind = &self.scenario.kinds[asked.kind];
        let target = &mut self.servers[service][server];
        let is_warm = target.touch((asked.kind, asked.object)) && kind.warm_gain > 0.0;
        let cost = if is_warm { 1.0 - kind.warm_gain } else { 1.0 };
        let spread = self.rng.random_range(1.0 - SPREAD..1.0 + SPREAD);
        let incarnation = target.incarnation;
        let is_far =
            self.scenario.zones[target.zone].region != self.scenario.zones[asked.zone].region;
        self.tally.runs += 1;
        self.tally.warm += u32::from(is_warm);
        self.tally.far += u32::from(is_far);
        let slow = self.slowness(service, server);
        let done = Event::Done {
            request,
            incarnation,
        };
        self.agenda
            .add(ms(kind.work_ms * cost * spread * slow), done);
    }

    /// Returns how many times as long a server works.
    fn slowness(&self, service: usize, server: usize) -> f64 {
        let now = self.agenda.now().as_secs_f64();
        let mut slow = 1.0;
        for trouble in self.scenario.troubles.iter().filter(|one| one.is_on(now)) {
            if let What::Slow {
                service: name,
                share,
                x,
            } = &trouble.what
            {
                let is_hit = to_f64(server) < to_f64(self.servers[service].len()) * share;
                if is_hit && self.scenario.service(name) == Some(service) {
                    slow *= x;
                }
            }
        }
        slow
    }

    fn finish(&mut self, request: usize, incarnation: u32) {
        let (service, server, way) = self.target(request);
        let target = &mut self.servers[service][server];
        if target.incarnation != incarnation {
            // The server went away meanwhile; nobody answers.
            self.agenda.add(
                way,
                Event::Shed {
                    request,
                    told: None,
                },
            );
            return;
        }
        let next = target.finish();
        let told = target.load();
        self.agenda.add(way, Event::Answered { request, told });
        if let Some(next) = next {
            self.work(next);
        }
    }

    /// Takes the load that a server told with its answer.
    fn take_told(&mut self, request: usize, told: Option<(u32, u32)>) {
        let service = self.service_of(request);
        let now = self.agenda.instant();
        let asked = &self.requests[request];
        let view = &mut self.vms[asked.vm].views[service][asked.view];
        match told {
            Some((running, waiting)) if self.scenario.services[service].tells_load => {
                view.load.note_reported(running + 1, waiting, now);
            }
            Some(_) => {}
            None => view.lost_until = Some(now + LOST),
        }
        view.load.end(now);
    }

    fn answered(&mut self, request: usize, told: (u32, u32)) {
        self.take_told(request, Some(told));
        let is_served = true;
        let way = ms(self.scenario.to_callers_ms);
        self.agenda.add(way, Event::AtCaller { request, is_served });
    }

    fn shed(&mut self, request: usize, told: Option<(u32, u32)>) {
        self.take_told(request, told);
        self.refuse(request);
    }

    fn refuse(&mut self, request: usize) {
        self.tally.refusals += 1;
        let is_served = false;
        let way = ms(self.scenario.to_callers_ms);
        self.agenda.add(way, Event::AtCaller { request, is_served });
    }

    fn end(&mut self, request: usize, is_served: bool) {
        let asked = &self.requests[request];
        let kind = &self.scenario.kinds[asked.kind];
        let took = self.agenda.now().saturating_sub(asked.began);
        let left = ms(kind.deadline_ms).saturating_sub(took);
        let (least, spread) = RETRY_AFTER_MS;
        let draw: f64 = self.rng.random();
        let pause = ms(spread.mul_add(draw, least));
        if !is_served && asked.asked <= kind.retries && pause <= left / 3 {
            self.ask(request, pause);
            return;
        }
        let is_served = is_served && !left.is_zero();
        let earned = match is_served {
            true if took <= ms(kind.aim_ms) => 1.0,
            true => kind.late,
            false => 0.0,
        };
        let (kind, zone, began) = (asked.kind, asked.zone, asked.began);
        self.tally.end(kind, zone, began, earned, is_served);
    }

    fn power(&mut self, zone: usize, is_up: bool) {
        let mut lost = Vec::new();
        for server in self.servers.iter_mut().flatten() {
            if server.zone != zone {
                continue;
            }
            if is_up {
                server.is_up = true;
            } else {
                lost.extend(server.go_away());
            }
        }
        for request in lost {
            let (_, _, way) = self.target(request);
            self.agenda.add(
                way,
                Event::Shed {
                    request,
                    told: None,
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
                let busy = self.busy(self.vms[vm].zone, service);
                let spill = &mut self.vms[vm].spills[service];
                *spill = spill.after(busy, TICK.as_secs_f64());
            }
        }
        self.agenda.add(TICK, Event::Tick);
    }

    /// Returns how busy a service is around a zone.
    fn busy(&self, zone: usize, service: usize) -> Utilization {
        let of = |wanted: Distance| {
            let servers = self.servers[service].iter();
            let servers = servers.filter(|server| server.is_up);
            let (load, slots) = servers
                .filter(|server| distance(self.scenario, zone, server.zone) == wanted)
                .fold((0.0, 0.0), |(load, slots), server| {
                    let (running, waiting) = server.load();
                    let own = f64::from(self.scenario.services[service].slots);
                    (load + f64::from(running + waiting), slots + own)
                });
            (slots > 0.0).then(|| load / slots)
        };
        Utilization {
            zone: of(Distance::Zone).unwrap_or(2.0),
            region: of(Distance::Region),
            far: of(Distance::Far),
        }
    }
}

fn distance(scenario: &Scenario, one: usize, other: usize) -> Distance {
    let region = |zone: usize| &scenario.zones[zone].region;
    match one == other {
        true => Distance::Zone,
        false if region(one) == region(other) => Distance::Region,
        false => Distance::Far,
    }
}

fn servers(scenario: &Scenario) -> Vec<Vec<Server>> {
    let of = |service: &crate::scenario::Service| {
        let mut servers = Vec::new();
        for (zone, count) in service.servers.iter().enumerate() {
            for number in 0..*count {
                let name = format!("{}-{zone}-{number}", service.name);
                servers.push(Server::new(service, zone, hash(name.as_bytes())));
            }
        }
        servers
    };
    scenario.services.iter().map(of).collect()
}

fn vms(scenario: &Scenario, servers: &[Vec<Server>], agenda: &Agenda<Event>) -> Vec<Vm> {
    let mut vms = Vec::new();
    for (zone, described) in scenario.zones.iter().enumerate() {
        let view = |service: usize, server: usize| View {
            server,
            hash: servers[service][server].hash,
            distance: distance(scenario, zone, servers[service][server].zone),
            slots: f64::from(scenario.services[service].slots),
            load: Load::new(agenda.instant()),
            lost_until: None,
        };
        let views = |service: usize| {
            let all = 0..servers[service].len();
            all.map(|server| view(service, server)).collect()
        };
        for _ in 0..described.vms {
            vms.push(Vm {
                zone,
                views: (0..servers.len()).map(views).collect(),
                spills: servers
                    .iter()
                    .map(|of| Spill::initial(shares(scenario, zone, of)))
                    .collect(),
                turn: 0,
            });
        }
    }
    vms
}

/// Returns the parts of slots and callers, by entry VMs, that a zone and its region have.
fn shares(scenario: &Scenario, zone: usize, servers: &[Server]) -> Shares {
    let slots = |most: Distance| {
        let near = servers
            .iter()
            .filter(|server| distance(scenario, zone, server.zone) <= most);
        to_f64(near.count()) / to_f64(servers.len().max(1))
    };
    let callers = |most: Distance| {
        let zones = scenario.zones.iter().enumerate();
        let near = zones.filter(|(other, _)| distance(scenario, zone, *other) <= most);
        let all: usize = scenario.zones.iter().map(|zone| zone.vms).sum();
        let near: usize = near.map(|(_, zone)| zone.vms).sum();
        to_f64(near) / to_f64(all.max(1))
    };
    Shares {
        zone_slots: slots(Distance::Zone),
        region_slots: slots(Distance::Region),
        zone_callers: callers(Distance::Zone),
        region_callers: callers(Distance::Region),
    }
}
