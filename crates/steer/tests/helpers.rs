//! Search for VMs that reach backend servers, replayed over whole fleets.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use steer::helpers::{ANSWER_TIME, Helpers, SAMPLE, VALIDITY, Vm};
use steer::placement::Distance;

const SERVICE: u32 = 7;

/// Time between two rounds while nobody is known.
const ROUND: Duration = Duration::from_millis(60);

/// Time within which a VM that is cut off has to know others.
const CONTACT: Duration = Duration::from_secs(3);

/// A fleet in which some VMs reach no server, seen from VM 0.
struct Fleet {
    vms: Vec<Vm>,
    reaches: HashMap<u64, bool>,
}

impl Fleet {
    /// `zone_of` gives the zone of each VM, two zones to a region; `reaches` whether it reaches servers.
    fn new(count: u64, zone_of: impl Fn(u64) -> u64, reaches: impl Fn(u64) -> bool) -> Self {
        let distance = |zone| match (zone == zone_of(0), zone / 2 == zone_of(0) / 2) {
            (true, _) => Distance::Zone,
            (false, true) => Distance::Region,
            (false, false) => Distance::Far,
        };
        let vm = |name| Vm {
            name,
            zone: zone_of(name),
            distance: distance(zone_of(name)),
        };
        Self {
            vms: (1..count).map(vm).collect(),
            reaches: (1..count).map(|name| (name, reaches(name))).collect(),
        }
    }

    /// Asks a round of VMs, each of which answers.
    fn ask(&self, helpers: &mut Helpers, rng: &mut StdRng, now: Instant) -> usize {
        let sample = helpers.sample(&[SERVICE], &self.vms, rng, now);
        for vm in &sample {
            helpers.note_answer(*vm, [(SERVICE, self.reaches[vm])], now);
        }
        sample.len()
    }

    /// Returns the number of rounds until a VM is known that reaches the service.
    fn rounds_until_found(&self, helpers: &mut Helpers, rng: &mut StdRng) -> Option<u32> {
        let mut now = Instant::now();
        let max = u32::try_from(CONTACT.as_millis() / ROUND.as_millis()).expect("small number");
        for round in 1..=max {
            self.ask(helpers, rng, now);
            now += ROUND;
            if !helpers.of(SERVICE, &self.vms, rng, now).is_empty() {
                return Some(round);
            }
        }
        None
    }
}

fn rng() -> StdRng {
    StdRng::seed_from_u64(3)
}

/// VMs of the own zone were asked again and again, none of which could help.
#[test]
fn vm_of_a_zone_that_is_cut_off_is_not_chosen() {
    for count in [12, 80, 295, 1_300] {
        let fleet = Fleet::new(count, |vm| vm % 9, |vm| vm % 9 != 0);
        let (mut helpers, mut rng) = (Helpers::default(), rng());
        assert_eq!(fleet.rounds_until_found(&mut helpers, &mut rng), Some(1));
        let chosen = helpers.of(SERVICE, &fleet.vms, &mut rng, Instant::now());
        assert!(chosen.iter().all(|vm| fleet.reaches[vm]));
    }
}

#[test]
fn whole_region_or_most_of_the_fleet_cut_off_finds_others_in_time() {
    for count in [12, 80, 295, 1_300] {
        let region = Fleet::new(count, |vm| vm % 6, |vm| vm % 6 > 1);
        let most = Fleet::new(count, |vm| vm % 9, |vm| vm % 10 == 1);
        for fleet in [region, most] {
            let rounds = fleet.rounds_until_found(&mut Helpers::default(), &mut rng());
            assert!(rounds.is_some(), "{count} VMs");
        }
    }
}

#[test]
fn questions_do_not_grow_with_the_fleet() {
    for count in [80, 1_300] {
        let fleet = Fleet::new(count, |vm| vm % 9, |_| true);
        let asked = fleet.ask(&mut Helpers::default(), &mut rng(), Instant::now());
        assert!(asked <= SAMPLE, "{asked} asked");
    }
}

/// Half of a fleet passes its requests on through the other half.
#[test]
fn requests_of_half_a_fleet_spread_over_the_other_half() {
    let count = 80;
    let mut load: HashMap<u64, u32> = HashMap::new();
    let mut rng = rng();
    for asking in 0..count / 2 {
        let zone_of = |vm| if vm == 0 { asking % 9 } else { vm % 9 };
        let fleet = Fleet::new(count, zone_of, |vm| vm % 2 == 1);
        let mut helpers = Helpers::default();
        let mut now = Instant::now();
        for _ in 0..20 {
            now += Duration::from_millis(500);
            let mut chosen = Vec::new();
            while chosen.is_empty() {
                fleet.ask(&mut helpers, &mut rng, now);
                chosen = helpers.of(SERVICE, &fleet.vms, &mut rng, now);
            }
            *load.entry(chosen[0]).or_default() += 1;
        }
    }
    let max = load.values().max().copied().unwrap_or_default();
    let mean = 20 * 40 / u32::try_from(load.len()).expect("small number");
    assert!(load.len() >= 35, "{} VMs help", load.len());
    assert!(max <= mean * 3, "{max} requests at one, {mean} in the mean");
}

#[test]
fn service_that_nobody_reaches_is_known_to_be_so() {
    let fleet = Fleet::new(80, |vm| vm % 9, |_| false);
    let (mut helpers, mut rng, now) = (Helpers::default(), rng(), Instant::now());
    assert!(!helpers.is_reached_by_nobody(SERVICE, &fleet.vms, now));
    fleet.ask(&mut helpers, &mut rng, now);
    assert!(helpers.is_reached_by_nobody(SERVICE, &fleet.vms, now));
    assert!(!helpers.is_reached_by_nobody(SERVICE, &fleet.vms, now + VALIDITY));
}

#[test]
fn vms_that_never_answer_are_told_from_those_that_do() {
    let fleet = Fleet::new(3, |_| 0, |_| true);
    let (mut helpers, mut rng, now) = (Helpers::default(), rng(), Instant::now());
    helpers.sample(&[SERVICE], &fleet.vms, &mut rng, now);
    helpers.note_answer(2, [(SERVICE, true)], now);
    assert_eq!(helpers.silent(&fleet.vms, now), [1]);
    assert!(!helpers.is_unanswered(now + VALIDITY));
}

/// One step of a random history.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A round of questions is asked and answered.
    Ask,
    /// Time passes.
    Wait(Duration),
    /// The links of a VM break or heal.
    Toggle(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        Just(Step::Ask),
        (0..2_000_u64).prop_map(|ms| Step::Wait(Duration::from_millis(ms))),
        (1..20_u64).prop_map(Step::Toggle),
    ];
    prop::collection::vec(step, 1..30)
}

/// Which VMs are used in place of those that the code under test returns.
type Choice = fn(&Helpers, &[Vm], &mut StdRng, Instant) -> Vec<u64>;

/// Returns whether some history lets `choice` name a VM that did not say within the last 1.5 s that it
/// reaches the service, or leave out one that did.
fn is_found(choice: Choice) -> bool {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(300), rng);
    let outcome = runner.run(&(steps(), any::<u64>()), |(steps, seed)| {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(20, |vm| vm % 4, |vm| vm % 3 == 0);
        let mut helpers = Helpers::default();
        let mut said: HashMap<u64, (bool, Instant)> = HashMap::new();
        let mut now = Instant::now();
        for step in steps {
            match step {
                Step::Ask => {
                    let sample = helpers.sample(&[SERVICE], &fleet.vms, &mut rng, now);
                    for vm in sample.into_iter().filter(|_| rng.random_bool(0.9)) {
                        helpers.note_answer(vm, [(SERVICE, fleet.reaches[&vm])], now);
                        said.insert(vm, (fleet.reaches[&vm], now));
                    }
                }
                Step::Wait(span) => now += span,
                Step::Toggle(vm) => {
                    if let Some(reaches) = fleet.reaches.get_mut(&vm) {
                        *reaches = !*reaches;
                    }
                }
            }
            let mut chosen = choice(&helpers, &fleet.vms, &mut rng, now);
            chosen.sort_unstable();
            let holds = |(reaches, at): &(bool, Instant)| *reaches && now - *at < VALIDITY;
            let valid = said.iter().filter(|(_, said)| holds(said));
            let mut expected: Vec<u64> = valid.map(|(vm, _)| *vm).collect();
            expected.sort_unstable();
            prop_assert_eq!(chosen, expected);
        }
        Ok(())
    });
    outcome.is_err()
}

#[test]
fn only_vms_that_said_so_a_moment_ago_are_chosen() {
    assert!(!is_found(|helpers, vms, rng, now| {
        helpers.of(SERVICE, vms, rng, now)
    }));
}

#[test]
fn planted_faults_are_found() {
    let nearest: Choice = |_, vms, _, _| vms.iter().map(|vm| vm.name).take(3).collect();
    let outdated: Choice = |helpers, vms, rng, now| {
        let earlier = now.checked_sub(VALIDITY / 2).unwrap_or(now);
        helpers.of(SERVICE, vms, rng, earlier)
    };
    let first_only: Choice = |helpers, vms, rng, now| {
        let mut chosen = helpers.of(SERVICE, vms, rng, now);
        chosen.truncate(1);
        chosen
    };
    for (index, planted) in [nearest, outdated, first_only].into_iter().enumerate() {
        assert!(is_found(planted), "planted fault {index}");
    }
}

/// Beside VMs of older builds, each request waited for answers that never came.
#[test]
fn questions_that_nobody_answers_are_not_waited_for_again() {
    let fleet = Fleet::new(3, |_| 0, |_| true);
    let (mut helpers, mut rng, now) = (Helpers::default(), rng(), Instant::now());
    helpers.sample(&[SERVICE], &fleet.vms, &mut rng, now);
    assert!(!helpers.is_unanswered(now));
    assert!(helpers.is_unanswered(now + ANSWER_TIME));
}
