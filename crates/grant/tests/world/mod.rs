//! A fleet of granters, relays and holders whose clocks drift, whose messages are delayed, lost,
//! repeated and reordered, and whose leads and processes are replaced while the old ones live on.

use grant::{Granter, Holder, Relay, term};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use timer::Moment;
use wire::lend::{Grant, Request};

/// Number of zones.
pub const ZONES: usize = 3;

/// Number of VMs that each have one holder at a time.
pub const VMS: usize = 5;

const VM_TERM_MS: u64 = 70_000;

/// Something that happens.
#[derive(Debug, Clone)]
pub enum Step {
    /// A holder's want goes all the way up and a share comes down.
    Follow {
        holder: usize,
        wanted: u64,
    },
    Wait {
        ms: u64,
    },
    HolderAsks {
        holder: usize,
        wanted: u64,
    },
    ZoneAsks {
        zone: usize,
    },
    Deliver {
        message: usize,
        stale_ms: u64,
        again: bool,
    },
    Lose {
        message: usize,
    },
    NewLead,
    NewZoneLead {
        zone: usize,
    },
    NewHolder {
        vm: usize,
    },
}

#[derive(Debug, Clone, Copy)]
struct Clock {
    offset_ms: u64,
    ppm: i64,
    /// When the process lost its lease; it answers only if it read its clock before.
    stopped: Option<u64>,
}

impl Clock {
    fn read(&self, at: u64) -> Moment {
        let drift = i64::try_from(at).expect("small") * self.ppm / 1_000_000;
        Moment((self.offset_ms + at).saturating_add_signed(drift))
    }

    fn may_grant(&self, at: u64) -> bool {
        self.stopped.is_none_or(|stopped| at <= stopped)
    }
}

/// A holder of one run of a VM's process.
#[derive(Debug)]
pub struct Leaf {
    pub holder: Holder,
    pub vm: usize,
    name: (usize, usize),
    /// The lead that it last asked.
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
struct Lead {
    granter: Granter<usize>,
    clock: Clock,
}

#[derive(Debug, Clone)]
enum Message {
    ToZone {
        zone: usize,
        leaf: usize,
        ask: Request,
        sent: u64,
    },
    ToLeaf {
        leaf: usize,
        grant: Grant,
    },
    ToLead {
        lead: usize,
        zone: usize,
        ask: Request,
        sent: u64,
    },
    FromLead {
        zone: usize,
        grant: Grant,
    },
}

/// The fleet. Replaced processes stay in it.
#[derive(Debug)]
pub struct World {
    /// True time, in milliseconds.
    pub now: u64,
    pub leaves: Vec<Leaf>,
    pool: u64,
    drift: Vec<i64>,
    leads: Vec<Lead>,
    zones: Vec<Zone>,
    messages: Vec<Message>,
}

impl World {
    /// Creates a fleet that lends `pool`; each process's clock is off by one of `drift`.
    pub fn new(pool: u64, drift: Vec<i64>) -> Self {
        let mut world = Self {
            now: 1_000,
            leaves: Vec::new(),
            pool,
            drift,
            leads: Vec::new(),
            zones: Vec::new(),
            messages: Vec::new(),
        };
        let clock = world.clock();
        let granter = Granter::new(pool, term::LEND_TERM_MS);
        world.leads.push(Lead { granter, clock });
        for zone in 0..ZONES {
            let relay = Relay::new(1, Granter::new(0, VM_TERM_MS));
            let clock = world.clock();
            world.zones.push(Zone {
                relay,
                number: zone,
                clock,
            });
        }
        for vm in 0..VMS {
            world.add_leaf(vm);
        }
        world
    }

    /// Returns a holder's clock.
    pub fn read(&self, leaf: usize) -> Moment {
        self.leaves[leaf].clock.read(self.now)
    }

    /// Returns the number of the lead, and its clock.
    pub fn lead(&self) -> (usize, Moment) {
        let number = self.leads.len() - 1;
        (number, self.leads[number].clock.read(self.now))
    }

    pub fn step(&mut self, step: &Step) {
        match *step {
            Step::Follow { holder, wanted } => self.follow(holder, wanted),
            Step::Wait { ms } => self.now += ms,
            Step::HolderAsks { holder, wanted } => self.holder_asks(holder, wanted),
            Step::ZoneAsks { zone } => self.zone_asks(zone),
            Step::Deliver {
                message,
                stale_ms,
                again,
            } => self.deliver(message, stale_ms, again),
            Step::Lose { message } => drop(self.pick(message, false)),
            Step::NewLead => self.new_lead(),
            Step::NewZoneLead { zone } => self.new_zone_lead(zone),
            Step::NewHolder { vm } => self.add_leaf(vm),
        }
    }

    fn clock(&self) -> Clock {
        let made = self.leads.len() + self.zones.len() + self.leaves.len();
        Clock {
            offset_ms: 1_000 * made as u64,
            ppm: self.drift[made % self.drift.len()],
            stopped: None,
        }
    }

    fn add_leaf(&mut self, vm: usize) {
        let leaf = Leaf {
            holder: Holder::new(1),
            vm,
            name: (vm, self.leaves.len()),
            lender: self.current_zone(vm % ZONES),
            clock: self.clock(),
        };
        self.leaves.push(leaf);
    }

    fn new_lead(&mut self) {
        self.leads.last_mut().expect("a lead").clock.stopped = Some(self.now);
        let clock = self.clock();
        let granter =
            Granter::new(self.pool, term::LEND_TERM_MS).with_predecessor(clock.read(self.now));
        self.leads.push(Lead { granter, clock });
    }

    fn new_zone_lead(&mut self, zone: usize) {
        let old = self.current_zone(zone);
        self.zones[old].clock.stopped = Some(self.now);
        let clock = self.clock();
        let ended = term::all_ended(clock.read(self.now));
        let relay = Relay::new(1, Granter::new(0, VM_TERM_MS)).with_predecessor_until(ended);
        self.zones.push(Zone {
            relay,
            number: zone,
            clock,
        });
    }

    fn current_zone(&self, zone: usize) -> usize {
        let is_of = |candidate: &Zone| candidate.number == zone;
        self.zones.iter().rposition(is_of).expect("a lead")
    }

    fn follow(&mut self, holder: usize, wanted: u64) {
        let leaf = &self.leaves[holder % self.leaves.len()];
        let zone = self.current_zone(leaf.vm % ZONES);
        self.holder_asks(holder, wanted);
        self.deliver(0, 0, false);
        self.zone_asks(zone);
        self.deliver(0, 0, false);
        self.deliver(0, 0, false);
        self.holder_asks(holder, wanted);
        self.deliver(0, 0, false);
        self.deliver(0, 0, false);
    }

    fn holder_asks(&mut self, holder: usize, wanted: u64) {
        let index = holder % self.leaves.len();
        let now = self.read(index);
        let zone = self.current_zone(self.leaves[index].vm % ZONES);
        let leaf = &mut self.leaves[index];
        if leaf.lender != zone {
            leaf.lender = zone;
            leaf.holder.change_lender(now);
        }
        let ask = if wanted.is_multiple_of(16) {
            leaf.holder.leave(0, now)
        } else {
            leaf.holder.ask(wanted, 0, now)
        };
        let leaf = index;
        let sent = self.now;
        self.messages.push(Message::ToZone {
            zone,
            leaf,
            ask,
            sent,
        });
    }

    fn zone_asks(&mut self, zone: usize) {
        let index = zone % self.zones.len();
        let zone = &mut self.zones[index];
        if !zone.clock.may_grant(self.now) {
            return;
        }
        let ask = zone.relay.ask(zone.clock.read(self.now));
        let lead = self.leads.len() - 1;
        let zone = index;
        let sent = self.now;
        self.messages.push(Message::ToLead {
            lead,
            zone,
            ask,
            sent,
        });
    }

    fn pick(&mut self, message: usize, again: bool) -> Option<Message> {
        let count = self.messages.len();
        if count == 0 {
            return None;
        }
        let index = count - 1 - message.min(count - 1);
        if again {
            return Some(self.messages[index].clone());
        }
        Some(self.messages.remove(index))
    }

    fn deliver(&mut self, message: usize, stale_ms: u64, again: bool) {
        let Some(message) = self.pick(message, again) else {
            return;
        };
        let read_at = self.now.saturating_sub(stale_ms);
        match message {
            Message::ToZone {
                zone,
                leaf,
                ask,
                sent,
            } => {
                self.zone_answers(zone, leaf, &ask, read_at.max(sent));
            }
            Message::ToLeaf { leaf, grant } => {
                self.leaves[leaf].holder.take(&grant);
            }
            Message::ToLead {
                lead,
                zone,
                ask,
                sent,
            } => {
                self.lead_answers(lead, zone, &ask, read_at.max(sent));
            }
            Message::FromLead { zone, grant } => {
                self.zones[zone].relay.take(&grant);
            }
        }
    }

    fn zone_answers(&mut self, zone: usize, leaf: usize, ask: &Request, at: u64) {
        let name = self.leaves[leaf].name;
        let zone = &mut self.zones[zone];
        if !zone.clock.may_grant(at) {
            return;
        }
        if let Some(grant) = zone.relay.serve(&name, ask, zone.clock.read(at)) {
            self.messages.push(Message::ToLeaf { leaf, grant });
        }
    }

    fn lead_answers(&mut self, lead: usize, zone: usize, ask: &Request, at: u64) {
        let numbers: Vec<usize> = self.zones.iter().map(|zone| zone.number).collect();
        let lead = &mut self.leads[lead];
        if !lead.clock.may_grant(at) {
            return;
        }
        let limit = Moment(u64::MAX);
        let grant = lead.granter.ask(&zone, ask, limit, lead.clock.read(at));
        lead.granter.settle(|told| {
            (0..ZONES).all(|number| told.iter().any(|zone| numbers[**zone] == number))
        });
        if let Some(grant) = grant {
            self.messages.push(Message::FromLead { zone, grant });
        }
    }
}

/// Returns a runner of `cases` cases with a fixed seed.
pub fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, rng)
}

/// Generates clock errors.
pub fn drift() -> impl Strategy<Value = Vec<i64>> {
    let bound = i64::try_from(term::DRIFT_PPM).expect("small");
    prop::collection::vec(prop_oneof![Just(-bound), Just(bound), -bound..=bound], 7)
}

/// Generates schedules.
pub fn steps() -> impl Strategy<Value = Vec<Step>> {
    let wait = prop_oneof![
        6 => 1_u64..300,
        2 => 1_000_u64..5_000,
        1 => 60_000_u64..80_000,
        1 => 69_900_u64..70_150,
        1 => 74_900_u64..75_150,
    ];
    let late = prop_oneof![5 => Just(0_usize), 2 => 0_usize..4, 1 => 0_usize..60];
    let stale = prop_oneof![8 => Just(0_u64), 1 => 0_u64..100_000];
    let wanted = prop_oneof![0_u64..400, 0_u64..3_000];
    let step = prop_oneof![
        8 => (0_usize..8, wanted.clone())
            .prop_map(|(holder, wanted)| Step::Follow { holder, wanted }),
        10 => wait.prop_map(|ms| Step::Wait { ms }),
        12 => (0_usize..8, wanted)
            .prop_map(|(holder, wanted)| Step::HolderAsks { holder, wanted }),
        9 => (0_usize..8).prop_map(|zone| Step::ZoneAsks { zone }),
        40 => (late.clone(), stale, prop::bool::weighted(0.05))
            .prop_map(|(message, stale_ms, again)| Step::Deliver { message, stale_ms, again }),
        2 => late.prop_map(|message| Step::Lose { message }),
        1 => Just(Step::NewLead),
        1 => (0..ZONES).prop_map(|zone| Step::NewZoneLead { zone }),
        1 => (0..VMS).prop_map(|vm| Step::NewHolder { vm }),
    ];
    prop::collection::vec(step, 30..150)
}
