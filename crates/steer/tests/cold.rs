//! Cold backend servers under a fleet of entry VMs that start, stop, die, stand still, or are cut off.
//!
//! Each VM hears of the others late, and of those that fell silent for a while longer. As many
//! requests are sent as the decisions allow; in no second may they exceed the bound.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use steer::owner::{Member, View, Views, max_per_s};
use steer::to_f64;
use steer::warmup::Warmup;

/// Time between two views.
const TICK: u64 = 300;

/// Time between two requests that a VM would send, in milliseconds.
const STEP: u64 = 20;

/// Time for which a VM that fell silent is still heard of, in milliseconds.
const SILENCE: u64 = 2_500;

/// Longest time until a change is heard of, in milliseconds.
const LAG: u64 = 900;

/// Length of a play, in milliseconds.
const LENGTH: u64 = 16_000;

/// The server that is cold all the while.
const SERVER: Member = Member {
    name: 77,
    zone: 0,
    region: 0,
};

/// What befalls a VM, at a time and for a time in milliseconds.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// It dies and starts again.
    Kill,
    /// It is told to stop, ends, and starts again.
    Stop,
    /// It stands still.
    Freeze,
    /// It hears of nobody, and nobody of it.
    Cut,
}

#[derive(Debug, Clone, Copy)]
struct Event {
    fault: Fault,
    vm: usize,
    at: u64,
    lasts: u64,
}

impl Event {
    fn is_on(&self, vm: usize, now: u64) -> bool {
        self.vm == vm && (self.at..self.at + self.lasts).contains(&now)
    }
}

/// A VM's course: what befalls it at each step of the play.
struct Course {
    steps: Vec<Moment>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Moment {
    /// By fault, whether the VM suffers it.
    faults: [bool; 4],
    /// When it last started, in milliseconds.
    started: u64,
}

impl Moment {
    fn is(&self, fault: Fault) -> bool {
        self.faults[fault as usize]
    }

    fn speaks(&self) -> bool {
        !self.is(Fault::Kill) && !self.is(Fault::Freeze) && !self.is(Fault::Cut)
    }
}

impl Course {
    fn new(vm: usize, events: &[Event]) -> Self {
        let mut steps: Vec<Moment> = Vec::new();
        for now in (0..LENGTH).step_by(10) {
            let mut moment = Moment::default();
            let on = events.iter().filter(|event| event.is_on(vm, now));
            on.for_each(|event| moment.faults[event.fault as usize] = true);
            let before = steps.last().copied().unwrap_or_default();
            let has_stopped = before.is(Fault::Stop) && !moment.is(Fault::Stop);
            let has_begun = before.is(Fault::Kill) || has_stopped;
            moment.started = if has_begun { now } else { before.started };
            steps.push(moment);
        }
        Self { steps }
    }

    fn at(&self, now: u64) -> &Moment {
        &self.steps[usize::try_from(now / 10).unwrap_or_default()]
    }
}

/// A VM with what it decides by.
struct Vm {
    views: Views,
    cold: Warmup,
}

struct Fleet {
    begin: Instant,
    courses: Vec<Course>,
    /// How late each VM hears of changes, in milliseconds.
    lags: Vec<u64>,
    vms: Vec<Vm>,
    sent: Vec<u64>,
}

impl Fleet {
    fn new(lags: Vec<u64>, events: &[Event]) -> Self {
        let begin = Instant::now();
        Self {
            begin,
            courses: (0..lags.len()).map(|vm| Course::new(vm, events)).collect(),
            vms: lags.iter().map(|_| fresh(begin)).collect(),
            lags,
            sent: Vec::new(),
        }
    }

    /// Returns whether `vm` heard of `other` within the time that a silent one is kept.
    fn hears(&self, vm: usize, other: usize, now: u64) -> bool {
        let since = self.courses[vm]
            .at(now)
            .started
            .max(now.saturating_sub(SILENCE));
        let heard = |at: &u64| {
            let told = at.checked_sub(self.lags[vm]);
            let told = told.is_some_and(|told| self.courses[other].at(told).speaks());
            told && !self.courses[vm].at(*at).is(Fault::Cut)
        };
        vm == other || (since..=now).step_by(50).any(|at| heard(&at))
    }

    fn sight(&self, vm: usize, now: u64) -> View {
        let all = 0..self.vms.len();
        let heard: Vec<usize> = all.filter(|other| self.hears(vm, *other, now)).collect();
        let lagged = now.saturating_sub(self.lags[vm]);
        let is_ready = |other: &usize| {
            let as_of = if *other == vm { now } else { lagged };
            !self.courses[*other].at(as_of).is(Fault::Stop)
        };
        let ready = heard.iter().copied().filter(is_ready);
        View {
            vms: ready.map(place).collect(),
            alive: heard.len(),
            known: self.vms.len(),
        }
    }

    fn play(&mut self, bound: f64) {
        for now in (0..LENGTH).step_by(10) {
            for vm in 0..self.vms.len() {
                self.step(vm, now, bound);
            }
        }
    }

    fn step(&mut self, vm: usize, now: u64, bound: f64) {
        let at = self.begin + Duration::from_millis(now);
        let moment = *self.courses[vm].at(now);
        if moment.is(Fault::Kill) || moment.started == now {
            self.vms[vm] = fresh(at);
        }
        if moment.is(Fault::Kill) || moment.is(Fault::Freeze) {
            return;
        }
        let phase = u64::try_from(vm).unwrap_or_default() * 70;
        if (now + phase).is_multiple_of(TICK) {
            let sight = self.sight(vm, now);
            self.vms[vm].views.note(sight, at);
        }
        let Vm { views, cold } = &mut self.vms[vm];
        let is_owner = !moment.is(Fault::Stop) && views.owns(place(vm).name, SERVER, at);
        if is_owner
            && now.is_multiple_of(STEP)
            && cold.allows(max_per_s(bound, views.alive_ratio()), at)
        {
            cold.reserve();
            cold.note_sent(at);
            self.sent.push(now);
        }
    }

    fn busiest_second(&self) -> usize {
        let within = |first: u64| self.sent.partition_point(|at| *at < first + 1_000);
        let counts = self.sent.iter().enumerate();
        let counts = counts.map(|(before, first)| within(*first) - before);
        counts.max().unwrap_or_default()
    }
}

fn fresh(now: Instant) -> Vm {
    let mut cold = Warmup::default();
    cold.note_heartbeat(Duration::from_mins(1), None, now);
    Vm {
        views: Views::default(),
        cold,
    }
}

fn place(vm: usize) -> Member {
    let number = u64::try_from(vm).unwrap_or_default();
    Member {
        name: 1_000 + number,
        zone: number % 3,
        region: 0,
    }
}

fn event(vms: usize) -> impl Strategy<Value = Event> {
    let fault = prop_oneof![
        Just(Fault::Kill),
        Just(Fault::Stop),
        Just(Fault::Freeze),
        Just(Fault::Cut)
    ];
    // Times in whole steps of the play.
    (fault, 0..vms, 200..1_200_u64, 40..700_u64).prop_map(|(fault, vm, at, lasts)| Event {
        fault,
        vm,
        at: at * 10,
        lasts: lasts * 10,
    })
}

fn fleet() -> impl Strategy<Value = (Vec<u64>, Vec<Event>)> {
    (2..9_usize).prop_flat_map(|vms| {
        let lags = prop::collection::vec((1..=LAG / 10).prop_map(|lag| lag * 10), vms);
        (lags, prop::collection::vec(event(vms), 0..14))
    })
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(16),
        ..Config::with_cases(2_000)
    })]

    #[test]
    fn a_cold_server_gets_no_more_than_it_bears_in_any_second(
        (lags, events) in fleet(),
        bound in 6..60_u8,
    ) {
        let bound = f64::from(bound);
        let mut fleet = Fleet::new(lags, &events);
        fleet.play(bound);
        let most = fleet.busiest_second();
        prop_assert!(to_f64(most) <= bound, "{most} of {bound}");
    }
}

fn cut(vm: usize) -> Event {
    Event {
        fault: Fault::Cut,
        vm,
        at: 4_000,
        lasts: 8_000,
    }
}

/// Load pattern: servers come back cold while several VMs are cut off, each alone.
#[test]
fn vms_that_are_cut_off_from_each_other_do_not_flood_a_cold_server() {
    let mut fleet = Fleet::new(vec![300; 8], &(0..5).map(cut).collect::<Vec<_>>());
    fleet.play(32.0);
    assert!(fleet.busiest_second() <= 32, "{}", fleet.busiest_second());
}

/// Load pattern: servers come back cold in a calm fleet.
#[test]
fn a_cold_server_gets_work_while_nothing_is_amiss() {
    let mut fleet = Fleet::new(vec![300; 8], &[]);
    fleet.play(32.0);
    assert!(fleet.busiest_second() >= 14, "{}", fleet.busiest_second());
}

/// Load pattern: requests wait for connections to a server that does not accept them, until it does.
#[test]
fn requests_that_waited_for_a_connection_count_when_they_are_sent() {
    let begin = Instant::now();
    let after = |ms| begin + Duration::from_millis(ms);
    let mut cold = Warmup::default();
    for _ in 0..14 {
        assert!(cold.allows(14.4, begin));
        cold.reserve();
    }
    assert!(
        !cold.allows(14.4, after(1_100)),
        "they may be sent at any moment"
    );
    for _ in 0..13 {
        cold.note_sent(after(1_200));
    }
    cold.release();
    assert!(cold.allows(14.4, after(1_200)));
    cold.reserve();
    cold.note_sent(after(1_200));
    assert!(!cold.allows(14.4, after(2_100)));
    assert!(cold.allows(14.4, after(2_200)));
}

/// Load pattern: a busy server is said to be cold.
#[test]
fn requests_to_a_server_taken_for_warm_count_once_it_is_cold() {
    let begin = Instant::now();
    let after = |ms| begin + Duration::from_millis(ms);
    let mut cold = Warmup::default();
    for _ in 0..20 {
        cold.reserve();
        cold.note_sent(begin);
    }
    cold.note_heartbeat(Duration::from_secs(3), None, after(500));
    assert!(!cold.allows(14.4, after(600)));
    assert!(cold.allows(14.4, after(1_000)));
}
