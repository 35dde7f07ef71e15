//! Requests to a cold backend server by a fleet of entry VMs that start, stop, crash, stall or are
//! partitioned.
//!
//! Each VM learns of changes with a delay, and counts silent VMs as alive for some time. The VMs send
//! as many requests as the decisions allow; the requests in any second must not exceed the limit.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use steer::owner::{Member, View, Views, max_per_s};
use steer::to_f64;
use steer::warmup::Warmup;

/// Time between two views, in milliseconds.
const TICK: u64 = 300;

/// Time between two requests that a VM tries to send, in milliseconds.
const REQUEST_INTERVAL: u64 = 20;

/// Time for which a silent VM still counts as alive, in milliseconds.
const MEMBER_TIMEOUT: u64 = 2_500;

/// Maximum delay until a VM learns of a change, in milliseconds.
const MAX_DELAY: u64 = 900;

/// Length of a simulation, in milliseconds.
const LENGTH: u64 = 16_000;

/// The server, cold during the whole simulation.
const SERVER: Member = Member {
    name: 77,
    zone: 0,
    region: 0,
};

/// Fault of a VM.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// The VM crashes and restarts.
    Crash,
    /// The VM is stopped gracefully and restarts.
    Stop,
    /// The VM's process stalls.
    Stall,
    /// The VM is partitioned from all others.
    Partition,
}

/// A fault of one VM, with start and duration in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Event {
    fault: Fault,
    vm: usize,
    at: u64,
    lasts: u64,
}

impl Event {
    fn is_active(&self, vm: usize, now: u64) -> bool {
        self.vm == vm && (self.at..self.at + self.lasts).contains(&now)
    }
}

/// State of one VM at each step of the simulation.
struct Timeline {
    steps: Vec<Step>,
}

/// State of a VM at one step.
#[derive(Debug, Clone, Copy, Default)]
struct Step {
    /// Active faults, indexed by [`Fault`].
    faults: [bool; 4],
    /// Time of the latest start, in milliseconds.
    started: u64,
}

impl Step {
    fn is(&self, fault: Fault) -> bool {
        self.faults[fault as usize]
    }

    fn is_sending(&self) -> bool {
        !self.is(Fault::Crash) && !self.is(Fault::Stall) && !self.is(Fault::Partition)
    }
}

impl Timeline {
    fn new(vm: usize, events: &[Event]) -> Self {
        let mut steps: Vec<Step> = Vec::new();
        for now in (0..LENGTH).step_by(10) {
            let mut step = Step::default();
            let active = events.iter().filter(|event| event.is_active(vm, now));
            active.for_each(|event| step.faults[event.fault as usize] = true);
            let previous = steps.last().copied().unwrap_or_default();
            let has_stopped = previous.is(Fault::Stop) && !step.is(Fault::Stop);
            let has_started = previous.is(Fault::Crash) || has_stopped;
            step.started = if has_started { now } else { previous.started };
            steps.push(step);
        }
        Self { steps }
    }

    fn at(&self, now: u64) -> &Step {
        &self.steps[usize::try_from(now / 10).unwrap_or_default()]
    }
}

/// State of an entry VM.
struct Vm {
    views: Views,
    warmup: Warmup,
}

struct Fleet {
    begin: Instant,
    timelines: Vec<Timeline>,
    /// Delay until each VM learns of changes, in milliseconds.
    delays: Vec<u64>,
    vms: Vec<Vm>,
    sent: Vec<u64>,
}

impl Fleet {
    fn new(delays: Vec<u64>, events: &[Event]) -> Self {
        let begin = Instant::now();
        Self {
            begin,
            timelines: (0..delays.len())
                .map(|vm| Timeline::new(vm, events))
                .collect(),
            vms: delays.iter().map(|_| started_vm(begin)).collect(),
            delays,
            sent: Vec::new(),
        }
    }

    /// Returns whether `vm` received a message from `other` within [`MEMBER_TIMEOUT`].
    fn knows_alive(&self, vm: usize, other: usize, now: u64) -> bool {
        let since = self.timelines[vm]
            .at(now)
            .started
            .max(now.saturating_sub(MEMBER_TIMEOUT));
        let received = |at: &u64| {
            let sent_at = at.checked_sub(self.delays[vm]);
            let was_sent =
                sent_at.is_some_and(|sent_at| self.timelines[other].at(sent_at).is_sending());
            was_sent && !self.timelines[vm].at(*at).is(Fault::Partition)
        };
        vm == other || (since..=now).step_by(50).any(|at| received(&at))
    }

    fn view(&self, vm: usize, now: u64) -> View {
        let all = 0..self.vms.len();
        let alive: Vec<usize> = all
            .filter(|other| self.knows_alive(vm, *other, now))
            .collect();
        let delayed = now.saturating_sub(self.delays[vm]);
        let is_ready = |other: &usize| {
            let as_of = if *other == vm { now } else { delayed };
            !self.timelines[*other].at(as_of).is(Fault::Stop)
        };
        let ready = alive.iter().copied().filter(is_ready);
        View {
            vms: ready.map(member).collect(),
            alive: alive.len(),
            known: self.vms.len(),
        }
    }

    fn run(&mut self, limit: f64) {
        for now in (0..LENGTH).step_by(10) {
            for vm in 0..self.vms.len() {
                self.step(vm, now, limit);
            }
        }
    }

    fn step(&mut self, vm: usize, now: u64, limit: f64) {
        let at = self.begin + Duration::from_millis(now);
        let step = *self.timelines[vm].at(now);
        if step.is(Fault::Crash) || step.started == now {
            self.vms[vm] = started_vm(at);
        }
        if step.is(Fault::Crash) || step.is(Fault::Stall) {
            return;
        }
        let phase = u64::try_from(vm).unwrap_or_default() * 70;
        if (now + phase).is_multiple_of(TICK) {
            let view = self.view(vm, now);
            self.vms[vm].views.note(view, at);
        }
        let Vm { views, warmup } = &mut self.vms[vm];
        let is_owner = !step.is(Fault::Stop) && views.owns(member(vm).name, SERVER, at);
        if is_owner
            && now.is_multiple_of(REQUEST_INTERVAL)
            && warmup.allows(max_per_s(limit, views.alive_ratio()), at)
        {
            warmup.reserve();
            warmup.note_sent(at);
            self.sent.push(now);
        }
    }

    fn max_in_any_second(&self) -> usize {
        let end = |first: u64| self.sent.partition_point(|at| *at < first + 1_000);
        let counts = self.sent.iter().enumerate();
        let counts = counts.map(|(before, first)| end(*first) - before);
        counts.max().unwrap_or_default()
    }
}

fn started_vm(now: Instant) -> Vm {
    let mut warmup = Warmup::default();
    warmup.note_heartbeat(Duration::from_mins(1), None, now);
    Vm {
        views: Views::default(),
        warmup,
    }
}

fn member(vm: usize) -> Member {
    let number = u64::try_from(vm).unwrap_or_default();
    Member {
        name: 1_000 + number,
        zone: number % 3,
        region: 0,
    }
}

fn event(vms: usize) -> impl Strategy<Value = Event> {
    let fault = prop_oneof![
        Just(Fault::Crash),
        Just(Fault::Stop),
        Just(Fault::Stall),
        Just(Fault::Partition)
    ];
    // Times are multiples of 10 ms, the step of the simulation.
    (fault, 0..vms, 200..1_200_u64, 40..700_u64).prop_map(|(fault, vm, at, lasts)| Event {
        fault,
        vm,
        at: at * 10,
        lasts: lasts * 10,
    })
}

fn fleet() -> impl Strategy<Value = (Vec<u64>, Vec<Event>)> {
    (2..9_usize).prop_flat_map(|vms| {
        let delays = prop::collection::vec((1..=MAX_DELAY / 10).prop_map(|delay| delay * 10), vms);
        (delays, prop::collection::vec(event(vms), 0..14))
    })
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(16),
        ..Config::with_cases(2_000)
    })]

    #[test]
    fn cold_server_stays_within_limit_in_any_second(
        (delays, events) in fleet(),
        limit in 6..60_u8,
    ) {
        let limit = f64::from(limit);
        let mut fleet = Fleet::new(delays, &events);
        fleet.run(limit);
        let max = fleet.max_in_any_second();
        prop_assert!(to_f64(max) <= limit, "{max} of {limit}");
    }
}

fn partition(vm: usize) -> Event {
    Event {
        fault: Fault::Partition,
        vm,
        at: 4_000,
        lasts: 8_000,
    }
}

/// Load pattern: servers restart cold while several VMs are partitioned, each from all others.
#[test]
fn partitioned_vms_stay_within_limit_of_cold_server() {
    let mut fleet = Fleet::new(vec![300; 8], &(0..5).map(partition).collect::<Vec<_>>());
    fleet.run(32.0);
    assert!(
        fleet.max_in_any_second() <= 32,
        "{}",
        fleet.max_in_any_second()
    );
}

/// Load pattern: servers restart cold in a fleet without faults.
#[test]
fn cold_server_gets_requests_without_faults() {
    let mut fleet = Fleet::new(vec![300; 8], &[]);
    fleet.run(32.0);
    assert!(
        fleet.max_in_any_second() >= 14,
        "{}",
        fleet.max_in_any_second()
    );
}

/// Load pattern: requests wait for connections because a server temporarily accepts none.
#[test]
fn waiting_requests_count_when_they_are_sent() {
    let begin = Instant::now();
    let after = |ms| begin + Duration::from_millis(ms);
    let mut warmup = Warmup::default();
    for _ in 0..14 {
        assert!(warmup.allows(14.4, begin));
        warmup.reserve();
    }
    assert!(
        !warmup.allows(14.4, after(1_100)),
        "reserved requests may be sent at any time"
    );
    for _ in 0..13 {
        warmup.note_sent(after(1_200));
    }
    warmup.release();
    assert!(warmup.allows(14.4, after(1_200)));
    warmup.reserve();
    warmup.note_sent(after(1_200));
    assert!(!warmup.allows(14.4, after(2_100)));
    assert!(warmup.allows(14.4, after(2_200)));
}

/// Load pattern: a server under load is reported as cold.
#[test]
fn requests_sent_while_server_was_warm_count_once_it_is_cold() {
    let begin = Instant::now();
    let after = |ms| begin + Duration::from_millis(ms);
    let mut warmup = Warmup::default();
    for _ in 0..20 {
        warmup.reserve();
        warmup.note_sent(begin);
    }
    warmup.note_heartbeat(Duration::from_secs(3), None, after(500));
    assert!(!warmup.allows(14.4, after(600)));
    assert!(warmup.allows(14.4, after(1_000)));
}
