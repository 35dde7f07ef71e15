//! Simulation of one policy in virtual time.

mod arrive;
mod choose;
mod observe;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::SocketAddr;

use pick::Outcome;
use plan::Plan;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use text::Text;
use timer::Moment;

use crate::backend::{Admission, Backend};
use crate::bucket::Bucket;
use crate::fleet::{Fleet, micros, number};
use crate::gate::Gate;
use crate::policy::Policy;
use crate::record::{Completion, Record};

const SECOND_US: u64 = 1_000_000;

/// Period of queue expiry and drain checks, in microseconds.
const TICK_US: u64 = 100_000;

/// Delay of health reports, in seconds.
const HEALTH_DELAY_S: usize = 5;

/// Window over which entry VMs measure traffic, in seconds.
const MEASUREMENT_S: usize = 5;

/// Time after which the grants of a failed zone have expired, in seconds.
const LEASE_TERM_S: u64 = 3;

/// Deadline of each request, in milliseconds.
const DEADLINE_MS: u64 = 2_000;

/// Rate limit of a workspace, as a multiple of its usual rate.
const RATE: f64 = 1.25;

/// Times of the faults, the recovery and the drain, in virtual seconds.
const FALSE_HEALTH_S: u64 = 20;
const OVERLOAD_S: u64 = 30;
const OUTAGE_S: u64 = 50;
const RECOVERY_S: u64 = 80;
const DRAIN_S: u64 = 140;

/// Time over which callers return to a recovered zone, in seconds.
const RETURN_S: u64 = 40;

/// Workspace that sends [`OVERLOAD_FACTOR`] times its usual traffic.
const OVERLOAD_WORKSPACE: usize = 1;
const OVERLOAD_FACTOR: f64 = 5.0;

/// Indices of the failed zone, the drained zone and the zone of the server with false health.
const FAILED_ZONE: usize = 0;
const DRAINED_ZONE: usize = 3;
const FALSE_HEALTH_ZONE: usize = 2;

/// Service time factor of a server that is cold or reports false health.
const SLOW_FACTOR: f64 = 3.0;

/// Standard deviation of the logarithm of service times.
const SIGMA: f64 = 0.6;

/// Maximum attempts of a request under a simple policy.
const MAX_ATTEMPTS: usize = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive {
        workspace: usize,
        service: usize,
    },
    Reach {
        request: usize,
        server: usize,
    },
    End {
        request: usize,
        server: usize,
        epoch: u32,
    },
    Response {
        request: usize,
        server: usize,
        status: Reply,
    },
    Retry {
        request: usize,
    },
    Tick,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Reply {
    Good,
    Shed,
    Unreached,
    Failed,
}

#[derive(Debug, Clone)]
struct Request {
    workspace: usize,
    service: usize,
    gate: usize,
    target_zone: usize,
    arrived_us: u64,
    sent_us: u64,
    within_rate: bool,
    attempts: u32,
    broken: u32,
    tried: Vec<SocketAddr>,
}

/// The state of a simulation.
#[derive(Debug)]
pub struct Run {
    fleet: Fleet,
    policy: Policy,
    rng: StdRng,
    now_us: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    backends: Vec<Backend>,
    cold_until_us: Vec<u64>,
    buckets: Vec<Bucket>,
    requests: Vec<Request>,
    plan: Option<Plan>,
    /// Admitted requests by second, service and entry zone.
    arrivals: VecDeque<Vec<Vec<f64>>>,
    /// Requests sent by service, entry zone and destination zone in the previous window and the
    /// current one.
    sent: [Vec<Vec<Vec<f64>>>; 2],
    /// Last time at which the drained zone ran a request, in microseconds.
    last_busy_us: u64,
}

impl Run {
    /// Creates a simulation at time zero.
    pub fn new(text: &Text, policy: Policy, seed: u64) -> Self {
        let fleet = Fleet::new(text);
        let (services, zones) = (fleet.text.services.len(), fleet.text.zones.len());
        let backends = fleet.backends();
        let bucket = |rates: &Vec<f64>| Bucket::new(rates.iter().sum::<f64>() * RATE);
        let none = vec![vec![vec![0.0; zones]; zones]; services];
        Self {
            buckets: fleet.rates.iter().map(bucket).collect(),
            cold_until_us: vec![0; backends.len()],
            arrivals: VecDeque::from([vec![vec![0.0; zones]; services]]),
            sent: [none.clone(), none],
            fleet,
            policy,
            rng: StdRng::seed_from_u64(seed),
            now_us: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            backends,
            requests: Vec::new(),
            plan: None,
            last_busy_us: 0,
        }
    }

    /// Runs the simulation for `seconds` virtual seconds.
    pub fn simulate(mut self, seconds: u64) -> eyre::Result<Record> {
        let zones = 0..self.fleet.text.zones.len();
        let gates = zones.map(|zone| Gate::new(&self.fleet, zone, &self.backends));
        let mut gates = gates.collect::<eyre::Result<Vec<Gate>>>()?;
        let mut record = Record::new(self.fleet.rates.len())?;
        for workspace in 0..self.fleet.rates.len() {
            for service in 0..self.fleet.text.services.len() {
                self.schedule_arrival(workspace, service);
            }
        }
        self.schedule(0, Event::Tick);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > seconds * SECOND_US {
                break;
            }
            self.now_us = at;
            self.handle(event, &mut gates, &mut record);
        }
        let drained_us = self.last_busy_us.saturating_sub(DRAIN_S * SECOND_US);
        let emptied = self.last_busy_us + SECOND_US < seconds * SECOND_US;
        record.drain_s = emptied.then(|| number(usize::try_from(drained_us).unwrap_or(0)) / 1e6);
        Ok(record)
    }

    fn handle(&mut self, event: Event, gates: &mut [Gate], record: &mut Record) {
        match event {
            Event::Arrive { workspace, service } => {
                self.schedule_arrival(workspace, service);
                self.arrive(workspace, service, gates, record);
            }
            Event::Reach { request, server } => self.reach(request, server),
            Event::End {
                request,
                server,
                epoch,
            } => self.end(request, server, epoch),
            Event::Response {
                request,
                server,
                status,
            } => {
                self.handle_response(request, server, status, gates, record);
            }
            Event::Retry { request } => self.dispatch(request, gates, record),
            Event::Tick => self.tick(gates, record),
        }
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_us, self.sequence, event)));
    }

    fn moment(&self) -> Moment {
        Moment(self.now_us / 1_000)
    }

    fn second(&self) -> u64 {
        self.now_us / SECOND_US
    }

    /// Sends a request to the server that the policy chooses.
    fn dispatch(&mut self, id: usize, gates: &mut [Gate], record: &mut Record) {
        let gate = self.requests[id].gate;
        let chosen = match self.policy {
            Policy::Teaseldoor => match self.choose_planned(id, &mut gates[gate], record) {
                Some(addr) => self.backends.iter().position(|b| b.addr == addr),
                None => return,
            },
            _ => self.choose_simple(id, &mut gates[gate]),
        };
        match chosen {
            Some(server) => self.send(id, server),
            None => self.finish(id, Completion::Refused, record),
        }
    }

    fn send(&mut self, id: usize, server: usize) {
        let backend = &self.backends[server];
        let request = &mut self.requests[id];
        request.attempts += 1;
        request.tried.push(backend.addr);
        request.target_zone = backend.zone;
        request.sent_us = self.now_us;
        self.sent[1][request.service][request.gate][backend.zone] += 1.0;
        let way_us = self.fleet.rtt_us[request.gate][backend.zone] / 2;
        self.schedule(
            self.now_us + way_us,
            Event::Reach {
                request: id,
                server,
            },
        );
    }

    fn reach(&mut self, request: usize, server: usize) {
        match self.backends[server].take(request) {
            Admission::Runs => self.start(request, server),
            Admission::Waits => {}
            Admission::Shed => self.reply(request, server, Reply::Shed),
            Admission::Unreached => self.reply(request, server, Reply::Unreached),
        }
    }

    fn start(&mut self, request: usize, server: usize) {
        let backend = &self.backends[server];
        let epoch = backend.epoch;
        let cold = self.now_us < self.cold_until_us[server];
        let slow = if backend.false_health || cold {
            SLOW_FACTOR
        } else {
            1.0
        };
        let (a, b) = (
            self.rng.random::<f64>().max(1e-12),
            self.rng.random::<f64>(),
        );
        let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        let factor = (SIGMA * normal - SIGMA * SIGMA / 2.0).exp();
        let busy_us = micros(self.fleet.busy_ms[backend.service] * factor * slow);
        let completion = Event::End {
            request,
            server,
            epoch,
        };
        self.schedule(self.now_us + busy_us, completion);
    }

    fn end(&mut self, request: usize, server: usize, epoch: u32) {
        if self.backends[server].epoch != epoch {
            return;
        }
        if let Some(next) = self.backends[server].end(request) {
            self.start(next, server);
        }
        let fails = self.backends[server].false_health && self.rng.random::<f64>() < 0.5;
        self.reply(
            request,
            server,
            if fails { Reply::Failed } else { Reply::Good },
        );
    }

    fn reply(&mut self, request: usize, server: usize, status: Reply) {
        let (gate, zone) = (self.requests[request].gate, self.backends[server].zone);
        let way_us = self.fleet.rtt_us[gate][zone] / 2;
        self.schedule(
            self.now_us + way_us,
            Event::Response {
                request,
                server,
                status,
            },
        );
    }

    fn handle_response(
        &mut self,
        id: usize,
        server: usize,
        status: Reply,
        gates: &mut [Gate],
        record: &mut Record,
    ) {
        let request = self.requests[id].clone();
        let gate = &mut gates[request.gate];
        if self.policy == Policy::Teaseldoor {
            self.note(&request, server, status, gate);
            self.start_waiting(request.service, self.backends[server].zone, gate, record);
        }
        if status == Reply::Good {
            let ms = (self.now_us - request.arrived_us) / 1_000;
            return self.finish(id, Completion::Good(ms), record);
        }
        self.requests[id].broken += u32::from(status == Reply::Failed);
        match self.retry_after_ms(id, status, gate) {
            Some(ms) => self.schedule(self.now_us + ms * 1_000, Event::Retry { request: id }),
            None if status == Reply::Failed => self.finish(id, Completion::Failed, record),
            None => self.finish(id, Completion::Refused, record),
        }
    }

    /// Records the outcome of an attempt in the entry VM's pools and budgets.
    fn note(&self, request: &Request, server: usize, status: Reply, gate: &mut Gate) {
        let backend = &self.backends[server];
        let latency_ms = (self.now_us - request.sent_us) / 1_000;
        let (outcome, answered) = match status {
            Reply::Good => (Outcome::Answered { latency_ms }, true),
            Reply::Shed => (Outcome::Shed, true),
            Reply::Unreached => (Outcome::Unreachable, false),
            Reply::Failed => (Outcome::Failed, false),
        };
        let now = self.moment();
        gate.pools[request.service][backend.zone].finish(backend.addr, outcome, now);
        let evidence = &mut gate.evidence[request.service][backend.zone];
        evidence.answered += u32::from(answered);
        evidence.failed += u32::from(!answered);
        if status == Reply::Good {
            let budget = gate.budgets.entry((request.service, request.workspace));
            budget.or_default().note_success(now);
        }
    }

    fn finish(&mut self, id: usize, completion: Completion, record: &mut Record) {
        let request = &self.requests[id];
        if request.within_rate {
            record.add(request.workspace, completion);
        }
    }
}
