//! Simulation of a fleet of lenders, relays and holders. Clocks drift; messages are delayed, lost,
//! duplicated and reordered; leaders and processes are replaced while their predecessors continue
//! to run.

use grant::{Holder, Lender, Relay, term};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use timer::Moment;
use wire::lend::{Grant, Request};

/// Number of zones.
pub const ZONES: usize = 3;

/// Number of VMs that each have one holder at a time.
pub const VMS: usize = 5;

const VM_TERM_MS: u64 = 70_000;

/// A step of the simulation.
#[derive(Debug, Clone)]
pub enum Step {
    /// A holder's request is passed on to the fleet leader, and the granted share reaches the holder.
    Propagate {
        holder: usize,
        wanted: u64,
    },
    Wait {
        ms: u64,
    },
    HolderRequests {
        holder: usize,
        wanted: u64,
    },
    ZoneRequests {
        zone: usize,
    },
    Deliver {
        message: usize,
        clock_delay_ms: u64,
        duplicate: bool,
    },
    LoseMessage {
        message: usize,
    },
    ReplaceLeader,
    ReplaceZoneLeader {
        zone: usize,
    },
    AddHolder {
        vm: usize,
    },
}

#[derive(Debug, Clone, Copy)]
struct Clock {
    offset_ms: u64,
    ppm: i64,
    /// True time at which the process lost its lease; it grants only if it read its clock earlier.
    stopped: Option<u64>,
}

impl Clock {
    fn read(&self, at: u64) -> Moment {
        let drift = i64::try_from(at).expect("the value fits into an i64") * self.ppm / 1_000_000;
        Moment((self.offset_ms + at).saturating_add_signed(drift))
    }

    fn may_grant(&self, at: u64) -> bool {
        self.stopped.is_none_or(|stopped| at <= stopped)
    }
}

/// The holder of one incarnation of a VM's process.
#[derive(Debug)]
pub struct HolderProcess {
    pub holder: Holder,
    pub vm: usize,
    name: (usize, usize),
    /// Index of the zone leader that received its latest request.
    lender: usize,
    clock: Clock,
}

#[derive(Debug)]
struct Zone {
    relay: Relay<(usize, usize)>,
    number: usize,
    clock: Clock,
}

#[derive(Debug)]
struct Leader {
    lender: Lender<usize>,
    clock: Clock,
}

#[derive(Debug, Clone)]
enum Message {
    ToZone {
        zone: usize,
        holder_index: usize,
        request: Request,
        sent: u64,
    },
    ToHolder {
        holder_index: usize,
        grant: Grant,
    },
    ToLeader {
        leader: usize,
        zone: usize,
        request: Request,
        sent: u64,
    },
    FromLeader {
        zone: usize,
        grant: Grant,
    },
}

/// The simulated fleet, including replaced processes.
#[derive(Debug)]
pub struct Simulation {
    /// True time, in milliseconds.
    pub now: u64,
    pub holders: Vec<HolderProcess>,
    pool: u64,
    drift: Vec<i64>,
    leaders: Vec<Leader>,
    zones: Vec<Zone>,
    messages: Vec<Message>,
}

impl Simulation {
    /// Creates a fleet that lends `pool`; each process's clock drifts by one of `drift`, in parts per
    /// million.
    pub fn new(pool: u64, drift: Vec<i64>) -> Self {
        let mut simulation = Self {
            now: 1_000,
            holders: Vec::new(),
            pool,
            drift,
            leaders: Vec::new(),
            zones: Vec::new(),
            messages: Vec::new(),
        };
        let clock = simulation.clock();
        let lender = Lender::new(pool, term::LEND_TERM_MS);
        simulation.leaders.push(Leader { lender, clock });
        for zone in 0..ZONES {
            let relay = Relay::new(1, Lender::new(0, VM_TERM_MS));
            let clock = simulation.clock();
            simulation.zones.push(Zone {
                relay,
                number: zone,
                clock,
            });
        }
        for vm in 0..VMS {
            simulation.add_holder(vm);
        }
        simulation
    }

    /// Returns the current time on a holder's clock.
    pub fn read(&self, holder_index: usize) -> Moment {
        self.holders[holder_index].clock.read(self.now)
    }

    /// Returns the index of the current leader and the time on its clock.
    pub fn leader(&self) -> (usize, Moment) {
        let number = self.leaders.len() - 1;
        (number, self.leaders[number].clock.read(self.now))
    }

    pub fn step(&mut self, step: &Step) {
        match *step {
            Step::Propagate { holder, wanted } => self.propagate(holder, wanted),
            Step::Wait { ms } => self.now += ms,
            Step::HolderRequests { holder, wanted } => self.holder_requests(holder, wanted),
            Step::ZoneRequests { zone } => self.zone_requests(zone),
            Step::Deliver {
                message,
                clock_delay_ms,
                duplicate,
            } => self.deliver(message, clock_delay_ms, duplicate),
            Step::LoseMessage { message } => drop(self.take_message(message, false)),
            Step::ReplaceLeader => self.replace_leader(),
            Step::ReplaceZoneLeader { zone } => self.replace_zone_leader(zone),
            Step::AddHolder { vm } => self.add_holder(vm),
        }
    }

    fn clock(&self) -> Clock {
        let process_count = self.leaders.len() + self.zones.len() + self.holders.len();
        Clock {
            offset_ms: 1_000 * process_count as u64,
            ppm: self.drift[process_count % self.drift.len()],
            stopped: None,
        }
    }

    fn add_holder(&mut self, vm: usize) {
        let process = HolderProcess {
            holder: Holder::new(1),
            vm,
            name: (vm, self.holders.len()),
            lender: self.current_zone_leader(vm % ZONES),
            clock: self.clock(),
        };
        self.holders.push(process);
    }

    fn replace_leader(&mut self) {
        self.leaders
            .last_mut()
            .expect("there is a leader")
            .clock
            .stopped = Some(self.now);
        let clock = self.clock();
        let lender =
            Lender::new(self.pool, term::LEND_TERM_MS).with_predecessor(clock.read(self.now));
        self.leaders.push(Leader { lender, clock });
    }

    fn replace_zone_leader(&mut self, zone: usize) {
        let old = self.current_zone_leader(zone);
        self.zones[old].clock.stopped = Some(self.now);
        let clock = self.clock();
        let expired_at = term::all_expired_at(clock.read(self.now));
        let relay = Relay::new(1, Lender::new(0, VM_TERM_MS)).with_predecessor_expiry(expired_at);
        self.zones.push(Zone {
            relay,
            number: zone,
            clock,
        });
    }

    fn current_zone_leader(&self, zone: usize) -> usize {
        let is_of = |candidate: &Zone| candidate.number == zone;
        self.zones
            .iter()
            .rposition(is_of)
            .expect("each zone has a leader")
    }

    fn propagate(&mut self, holder: usize, wanted: u64) {
        let process = &self.holders[holder % self.holders.len()];
        let zone = self.current_zone_leader(process.vm % ZONES);
        self.holder_requests(holder, wanted);
        self.deliver(0, 0, false);
        self.zone_requests(zone);
        self.deliver(0, 0, false);
        self.deliver(0, 0, false);
        self.holder_requests(holder, wanted);
        self.deliver(0, 0, false);
        self.deliver(0, 0, false);
    }

    fn holder_requests(&mut self, holder: usize, wanted: u64) {
        let index = holder % self.holders.len();
        let now = self.read(index);
        let zone = self.current_zone_leader(self.holders[index].vm % ZONES);
        let process = &mut self.holders[index];
        if process.lender != zone {
            process.lender = zone;
            process.holder.change_lender(now);
        }
        let request = if wanted.is_multiple_of(16) {
            process.holder.leave(0, now)
        } else {
            process.holder.request(wanted, 0, now)
        };
        let holder_index = index;
        let sent = self.now;
        self.messages.push(Message::ToZone {
            zone,
            holder_index,
            request,
            sent,
        });
    }

    fn zone_requests(&mut self, zone: usize) {
        let index = zone % self.zones.len();
        let zone = &mut self.zones[index];
        if !zone.clock.may_grant(self.now) {
            return;
        }
        let request = zone.relay.request(zone.clock.read(self.now));
        let leader = self.leaders.len() - 1;
        let zone = index;
        let sent = self.now;
        self.messages.push(Message::ToLeader {
            leader,
            zone,
            request,
            sent,
        });
    }

    fn take_message(&mut self, message: usize, duplicate: bool) -> Option<Message> {
        let count = self.messages.len();
        if count == 0 {
            return None;
        }
        let index = count - 1 - message.min(count - 1);
        if duplicate {
            return Some(self.messages[index].clone());
        }
        Some(self.messages.remove(index))
    }

    fn deliver(&mut self, message: usize, clock_delay_ms: u64, duplicate: bool) {
        let Some(message) = self.take_message(message, duplicate) else {
            return;
        };
        let read_at = self.now.saturating_sub(clock_delay_ms);
        match message {
            Message::ToZone {
                zone,
                holder_index,
                request,
                sent,
            } => {
                self.zone_grants(zone, holder_index, &request, read_at.max(sent));
            }
            Message::ToHolder {
                holder_index,
                grant,
            } => {
                self.holders[holder_index].holder.accept(&grant);
            }
            Message::ToLeader {
                leader,
                zone,
                request,
                sent,
            } => {
                self.leader_grants(leader, zone, &request, read_at.max(sent));
            }
            Message::FromLeader { zone, grant } => {
                self.zones[zone].relay.accept(&grant);
            }
        }
    }

    fn zone_grants(&mut self, zone: usize, holder_index: usize, request: &Request, at: u64) {
        let name = self.holders[holder_index].name;
        let zone = &mut self.zones[zone];
        if !zone.clock.may_grant(at) {
            return;
        }
        if let Some(grant) = zone.relay.grant(&name, request, zone.clock.read(at)) {
            self.messages.push(Message::ToHolder {
                holder_index,
                grant,
            });
        }
    }

    fn leader_grants(&mut self, leader: usize, zone: usize, request: &Request, at: u64) {
        let zone_numbers: Vec<usize> = self.zones.iter().map(|zone| zone.number).collect();
        let leader = &mut self.leaders[leader];
        if !leader.clock.may_grant(at) {
            return;
        }
        let limit = Moment(u64::MAX);
        let grant = leader
            .lender
            .grant(&zone, request, limit, leader.clock.read(at));
        leader.lender.settle(|reported| {
            (0..ZONES).all(|number| reported.iter().any(|zone| zone_numbers[**zone] == number))
        });
        if let Some(grant) = grant {
            self.messages.push(Message::FromLeader { zone, grant });
        }
    }
}

/// Returns a test runner with `cases` cases and a fixed seed.
pub fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, rng)
}

/// Generates clock drifts in parts per million.
pub fn drift() -> impl Strategy<Value = Vec<i64>> {
    let max_ppm = i64::try_from(term::DRIFT_PPM).expect("the value fits into an i64");
    prop::collection::vec(
        prop_oneof![Just(-max_ppm), Just(max_ppm), -max_ppm..=max_ppm],
        7,
    )
}

/// Generates sequences of steps.
pub fn steps() -> impl Strategy<Value = Vec<Step>> {
    let wait = prop_oneof![
        6 => 1_u64..300,
        2 => 1_000_u64..5_000,
        1 => 60_000_u64..80_000,
        1 => 69_900_u64..70_150,
        1 => 74_900_u64..75_150,
    ];
    let message_position = prop_oneof![5 => Just(0_usize), 2 => 0_usize..4, 1 => 0_usize..60];
    let clock_delay = prop_oneof![8 => Just(0_u64), 1 => 0_u64..100_000];
    let wanted = prop_oneof![0_u64..400, 0_u64..3_000];
    let step = prop_oneof![
        8 => (0_usize..8, wanted.clone())
            .prop_map(|(holder, wanted)| Step::Propagate { holder, wanted }),
        10 => wait.prop_map(|ms| Step::Wait { ms }),
        12 => (0_usize..8, wanted)
            .prop_map(|(holder, wanted)| Step::HolderRequests { holder, wanted }),
        9 => (0_usize..8).prop_map(|zone| Step::ZoneRequests { zone }),
        40 => (message_position.clone(), clock_delay, prop::bool::weighted(0.05))
            .prop_map(|(message, clock_delay_ms, duplicate)| Step::Deliver { message, clock_delay_ms, duplicate }),
        2 => message_position.prop_map(|message| Step::LoseMessage { message }),
        1 => Just(Step::ReplaceLeader),
        1 => (0..ZONES).prop_map(|zone| Step::ReplaceZoneLeader { zone }),
        1 => (0..VMS).prop_map(|vm| Step::AddHolder { vm }),
    ];
    prop::collection::vec(step, 30..150)
}
