//! Tests of the detection of crashing requests.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use assert_matches::assert_matches;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use timer::Moment;

use crate::{Detector, Fact, Fingerprint, Fleet, Outcome, PROPAGATION_MS, Server, Verdict, cells};

/// Zones and their cells: three regions of two zones.
const ZONES: [(&str, usize); 6] = [("a", 0), ("b", 0), ("c", 1), ("d", 1), ("e", 2), ("f", 2)];

const SERVERS_PER_ZONE: usize = 4;

const VMS_PER_ZONE: usize = 2;

const VMS: usize = ZONES.len() * VMS_PER_ZONE;

const STEP_MS: u64 = 100;

const STEPS: u64 = 200;

/// Entry VMs exchange facts every 400 ms.
const STEPS_PER_EXCHANGE: u64 = 4;

/// Upper limit of the duration of an exchange, in milliseconds. With it a fact is known everywhere
/// within 1.5 s.
const DELAY_MS: u64 = 1_100;

const START: Moment = Moment(10_000);

fn addr(index: usize) -> SocketAddr {
    let index = u8::try_from(index).expect("the index fits into a byte");
    SocketAddr::from(([10, 0, 0, index], 8080))
}

fn zone_of(server: usize) -> (&'static str, usize) {
    ZONES[server / SERVERS_PER_ZONE]
}

fn crashing_request() -> Fingerprint {
    Fingerprint::new("swap-market", "POST", "/swaps", b"{}")
}

#[derive(Debug)]
struct Vm {
    cell: usize,
    detector: Detector,
    down: BTreeMap<usize, Moment>,
    /// Number of copies of the request that wait to run.
    copies: usize,
    /// Servers that run copies, each with the time of the resulting crash.
    running: Vec<(usize, Moment)>,
    /// Moment up to which the facts of each VM are known.
    synced_until: [Moment; VMS],
}

/// A copy of the request, sent by a caller to an entry VM.
#[derive(Debug, Clone)]
struct RequestCopy {
    at_ms: u64,
    vm: usize,
}

#[derive(Debug, Clone)]
struct Schedule {
    sends: Vec<RequestCopy>,
    /// Time from the start of a copy to the crash of its server, in milliseconds.
    run_ms: u64,
    /// Duration of the outage of a crashed server, in milliseconds.
    down_ms: u64,
    /// Delays of the exchanges, used in turn.
    delays: Vec<u64>,
    /// Partitioned cells, with the start and the duration of the partition.
    partitions: Vec<(usize, u64, u64)>,
}

fn schedule() -> impl Strategy<Value = Schedule> {
    let send = (0..4_u64, 0..VMS).prop_map(|(slot, vm)| RequestCopy {
        at_ms: slot * slot * 700,
        vm,
    });
    let sends = prop::collection::vec(send, 1..60);
    let delays = prop::collection::vec(0..DELAY_MS, 1..20);
    let partitions = prop::collection::vec((0..3_usize, 0..6_000_u64, 100..9_000_u64), 0..3);
    (sends, 0..600_u64, 500..20_000_u64, delays, partitions).prop_map(
        |(sends, run_ms, down_ms, delays, partitions)| Schedule {
            sends,
            run_ms,
            down_ms,
            delays,
            partitions,
        },
    )
}

/// Facts in transit from one VM to another.
struct Message {
    sent: Moment,
    due: Moment,
    from: usize,
    to: usize,
    facts: Vec<Fact>,
}

struct Simulation<'a> {
    schedule: &'a Schedule,
    now: Moment,
    vms: Vec<Vm>,
    messages: Vec<Message>,
    up_at: BTreeMap<usize, Moment>,
    crashed: BTreeSet<usize>,
    exchanges: usize,
}

/// Runs a schedule and returns the servers that crashed.
fn simulate(schedule: &Schedule) -> BTreeSet<usize> {
    let vm = |index: usize| Vm {
        cell: ZONES[index / VMS_PER_ZONE].1,
        detector: Detector::new(),
        down: BTreeMap::new(),
        copies: 0,
        running: Vec::new(),
        synced_until: [START; VMS],
    };
    let mut simulation = Simulation {
        schedule,
        now: START,
        vms: (0..VMS).map(vm).collect(),
        messages: Vec::new(),
        up_at: BTreeMap::new(),
        crashed: BTreeSet::new(),
        exchanges: 0,
    };
    for step in 0..STEPS {
        simulation.now = START.plus_ms(step * STEP_MS);
        simulation.send();
        simulation.deliver();
        (0..VMS).for_each(|vm| simulation.run(vm));
        simulation.crash();
        if step % STEPS_PER_EXCHANGE == 0 {
            simulation.exchange();
        }
    }
    simulation.crashed
}

impl Simulation<'_> {
    fn send(&mut self) {
        let elapsed_ms = self.now.ms_since(START);
        for send in &self.schedule.sends {
            if (elapsed_ms..elapsed_ms + STEP_MS).contains(&send.at_ms) {
                self.vms[send.vm].copies += 1;
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|message| message.due <= now);
        self.messages = later;
        for message in due {
            let vm = &mut self.vms[message.to];
            vm.synced_until[message.from] = vm.synced_until[message.from].max(message.sent);
            for fact in message.facts {
                vm.detector.merge(fact, now);
            }
        }
    }

    fn run(&mut self, index: usize) {
        let now = self.now;
        let is_down = |server: &usize| self.up_at.get(server).is_some_and(|up| *up > now);
        let vm = &mut self.vms[index];
        vm.synced_until[index] = now;
        vm.down.retain(|server, _| is_down(server));
        for _ in 0..vm.copies {
            let mut servers = servers();
            for (server, since) in &vm.down {
                servers[*server].down_since = Some(*since);
            }
            let fleet = Fleet {
                cell: vm.cell,
                servers: &servers,
                known_until: vm.synced_until.iter().min().copied().unwrap_or_default(),
            };
            let Verdict::Only(chosen) = vm.detector.check(&crashing_request(), fleet, now) else {
                break;
            };
            let server = servers.iter().position(|s| s.addr == chosen);
            let server = server.expect("the chosen server is listed");
            if is_down(&server) {
                vm.down.insert(server, now);
            } else {
                vm.copies -= 1;
                vm.running.push((server, now.plus_ms(self.schedule.run_ms)));
            }
        }
    }

    fn crash(&mut self) {
        let now = self.now;
        let running = self.vms.iter().flat_map(|vm| &vm.running);
        let ended = running.filter(|(_, end)| *end <= now);
        let ended: BTreeSet<usize> = ended.map(|(server, _)| *server).collect();
        for server in ended {
            self.crashed.insert(server);
            let up = now.plus_ms(self.schedule.down_ms);
            self.up_at.insert(server, up);
            for vm in &mut self.vms {
                let before = vm.running.len();
                vm.running.retain(|(other, _)| *other != server);
                let interrupted = before - vm.running.len();
                if interrupted > 0 {
                    vm.copies += interrupted;
                    vm.down.insert(server, now);
                    let location = (addr(server), zone_of(server).0);
                    vm.detector
                        .note(crashing_request(), location, Outcome::Disconnected, now);
                }
            }
        }
    }

    fn exchange(&mut self) {
        for from in 0..VMS {
            for to in (0..VMS).filter(|to| *to != from) {
                self.exchanges += 1;
                let (a, b) = (self.vms[from].cell, self.vms[to].cell);
                if a != b && (self.is_partitioned(a) || self.is_partitioned(b)) {
                    continue;
                }
                let delays = &self.schedule.delays;
                self.messages.push(Message {
                    sent: self.now,
                    due: self.now.plus_ms(delays[self.exchanges % delays.len()]),
                    from,
                    to,
                    facts: self.vms[from].detector.facts(),
                });
            }
        }
    }

    fn is_partitioned(&self, cell: usize) -> bool {
        let elapsed_ms = self.now.ms_since(START);
        let partitions = &mut self.schedule.partitions.iter();
        partitions.any(|partition| {
            partition.0 == cell && (partition.1..partition.1 + partition.2).contains(&elapsed_ms)
        })
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn crashing_request_takes_down_at_most_two_servers_per_zone_and_four_in_fleet(schedule in schedule()) {
        let crashed = simulate(&schedule);
        for (zone, _) in ZONES {
            let in_zone = crashed.iter().filter(|server| zone_of(**server).0 == zone).count();
            prop_assert!(in_zone <= 2, "{in_zone} servers of zone {zone} crashed");
        }
        prop_assert!(crashed.len() <= 4, "{crashed:?} crashed");
    }
}

fn servers() -> Vec<Server<'static>> {
    let server = |index| Server {
        addr: addr(index),
        zone: zone_of(index).0,
        cell: zone_of(index).1,
        down_since: None,
    };
    (0..ZONES.len() * SERVERS_PER_ZONE).map(server).collect()
}

fn fleet<'a>(servers: &'a [Server<'a>]) -> Fleet<'a> {
    Fleet {
        cell: 0,
        servers,
        known_until: Moment(1_000_000),
    }
}

#[test]
fn request_runs_anywhere_after_success() {
    let servers = servers();
    let mut detector = Detector::new();
    let now = Moment(10_000);
    assert_matches!(
        detector.check(&crashing_request(), fleet(&servers), now),
        Verdict::Only(_)
    );
    detector.note(crashing_request(), (addr(0), "a"), Outcome::Responded, now);
    assert_eq!(
        detector.check(&crashing_request(), fleet(&servers), now),
        Verdict::Anywhere
    );
}

#[test]
fn unrelated_crashes_do_not_quarantine_request_that_succeeds_elsewhere() {
    let servers = servers();
    let mut detector = Detector::new();
    let mut now = Moment(10_000);
    detector.note(crashing_request(), (addr(0), "a"), Outcome::Responded, now);
    for round in 0..20 {
        now = now.plus_ms(1_500);
        for server in 0..4 {
            detector.note(
                crashing_request(),
                (addr(server), "a"),
                Outcome::Disconnected,
                now,
            );
        }
        let verdict = detector.check(&crashing_request(), fleet(&servers), now);
        assert_matches!(verdict, Verdict::Only(_), "round {round}");
        detector.note(
            crashing_request(),
            (addr(9), "c"),
            Outcome::Responded,
            now.plus_ms(10),
        );
    }
}

#[test]
fn success_on_retry_clears_suspect_request() {
    let servers = servers();
    let mut detector = Detector::new();
    let now = Moment(10_000);
    detector.note(
        crashing_request(),
        (addr(0), "a"),
        Outcome::Disconnected,
        now,
    );
    let verdict_before_wait =
        detector.check(&crashing_request(), fleet(&servers), now.plus_ms(500));
    assert_eq!(
        verdict_before_wait,
        Verdict::Wait {
            ms: PROPAGATION_MS - 500
        }
    );
    let later = now.plus_ms(PROPAGATION_MS);
    let verdict_after_wait = detector.check(&crashing_request(), fleet(&servers), later);
    assert_matches!(verdict_after_wait, Verdict::Only(server) if server != addr(0));
    detector.note(
        crashing_request(),
        (addr(1), "a"),
        Outcome::Responded,
        later,
    );
    assert_eq!(
        detector.check(&crashing_request(), fleet(&servers), later),
        Verdict::Anywhere
    );
}

#[test]
fn facts_merge_in_any_order() {
    let mut first = Detector::new();
    first.note(
        crashing_request(),
        (addr(0), "a"),
        Outcome::Disconnected,
        Moment(10_000),
    );
    first.note(
        crashing_request(),
        (addr(1), "a"),
        Outcome::Disconnected,
        Moment(14_000),
    );
    let facts = first.facts();
    let mut second = Detector::new();
    for fact in facts.iter().rev().chain(&facts) {
        second.merge(fact.clone(), Moment(15_000));
    }
    assert_eq!(second.facts(), facts);
    let servers = servers();
    let verdict = second.check(&crashing_request(), fleet(&servers), Moment(15_000));
    assert_eq!(verdict, Verdict::Refuse);
    second.expire(Moment(1_000_000));
    assert!(second.facts().is_empty());
}

#[test]
fn regions_map_to_at_most_three_cells() {
    assert_eq!(cells(&["obb", "ndb", "sch"]), vec![1, 0, 2]);
    let names: Vec<String> = (0..13).map(|i| format!("region-{i:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let cells = cells(&names);
    assert_eq!(cells.first(), Some(&0));
    assert_eq!(cells.last(), Some(&2));
    assert!(cells.is_sorted());
}
