//! Tests of membership over random schedules.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;
use timer::Moment;
use wire::Vm;
use wire::view::MemberState;

use crate::{Member, Settings};

const VMS: usize = 6;

/// Rounds within which all VMs agree once the network is whole.
const SETTLE_ROUNDS: usize = 40;

struct Zone {
    names: Vec<String>,
    members: Vec<Member>,
    alive: Vec<bool>,
    rng: StdRng,
    now: Moment,
}

impl Zone {
    fn new(seed: u64) -> Self {
        let names: Vec<String> = (0..VMS).map(|number| format!("vm{number}")).collect();
        let member = |name: &String| Member::new(&Vm::new(name, 1), Settings::default());
        let mut zone = Self {
            members: names.iter().map(member).collect(),
            names,
            alive: vec![true; VMS],
            rng: StdRng::seed_from_u64(seed),
            now: Moment(0),
        };
        zone.relist(&(0..VMS).collect::<Vec<_>>());
        zone
    }

    fn relist(&mut self, listed: &[usize]) {
        for member in &mut self.members {
            let names = listed.iter().map(|index| self.names[*index].as_str());
            member.set_listed(names, self.now);
        }
    }

    /// Lets `from` send one probe to `to`, and `to` its answer, if `up` allows.
    fn contact(&mut self, from: usize, to: usize, up: bool) -> bool {
        if !up || !self.alive[to] {
            return false;
        }
        let question = self.members[from].probe(&self.names[to]);
        let most = Settings::default().max_rumors + 2;
        assert!(
            question.rumors.len() <= most,
            "a message has a bounded size"
        );
        self.members[to].handle_probe(&question, self.now);
        let answer = self.members[to].probe(&self.names[from]);
        self.members[from].handle_probe(&answer, self.now);
        true
    }

    /// Lets `from` probe once, where `links` tells which contacts succeed.
    fn act(&mut self, from: usize, links: impl Fn(usize, usize) -> bool) {
        if !self.alive[from] {
            return;
        }
        self.now = self.now.plus_ms(200);
        let names: Vec<String> = self.names.clone();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let target = self.members[from].next_probe(&names, &mut self.rng);
        let target = target.expect("there is another VM");
        let to = names
            .iter()
            .position(|name| *name == target)
            .expect("a known VM");
        if self.contact(from, to, links(from, to)) {
            return;
        }
        let helpers = self.members[from].helpers(&target, &names, &mut self.rng);
        let helped = helpers.iter().any(|helper| {
            let via = names
                .iter()
                .position(|name| name == helper)
                .expect("a known VM");
            self.alive[via] && links(from, via) && self.alive[to] && links(via, to)
        });
        if !helped {
            self.members[from].suspect(&target);
        }
    }

    fn standing(&self, viewer: usize, seen: usize) -> MemberState {
        self.members[viewer].state(&self.names[seen], MemberState::Live)
    }
}

#[derive(Debug, Clone)]
enum Event {
    Act { from: usize, lost: u8 },
    Kill(usize),
    Restart(usize),
    Leave(usize),
    Relist(Vec<usize>),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let vm = 0..VMS;
    let act = (vm.clone(), any::<u8>()).prop_map(|(from, lost)| Event::Act { from, lost });
    let event = prop_oneof![
        30 => act,
        1 => vm.clone().prop_map(Event::Kill),
        1 => vm.clone().prop_map(Event::Restart),
        1 => vm.clone().prop_map(Event::Leave),
        1 => proptest::collection::vec(vm, 0..VMS).prop_map(Event::Relist),
    ];
    proptest::collection::vec(event, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn views_agree_with_the_truth_once_messages_arrive(events in events(), seed in any::<u64>()) {
        let mut zone = Zone::new(seed);
        let mut runs = [1u64; VMS];
        let mut leaving = [false; VMS];
        for event in events {
            match event {
                Event::Act { from, lost } => {
                    zone.act(from, |a, b| (usize::from(lost) + a * 7 + b * 3) % 4 != 0);
                }
                Event::Kill(vm) => zone.alive[vm] = false,
                Event::Restart(vm) => {
                    runs[vm] += 1;
                    let name = zone.names[vm].clone();
                    zone.members[vm] = Member::new(&Vm::new(&name, runs[vm]), Settings::default());
                    zone.alive[vm] = true;
                    leaving[vm] = false;
                }
                Event::Leave(vm) if zone.alive[vm] => {
                    zone.members[vm].leave();
                    leaving[vm] = true;
                }
                Event::Leave(_) => {}
                Event::Relist(listed) => zone.relist(&listed),
            }
        }
        zone.relist(&(0..VMS).collect::<Vec<_>>());
        for _ in 0..SETTLE_ROUNDS {
            for from in 0..VMS {
                zone.act(from, |_, _| true);
            }
        }
        for viewer in (0..VMS).filter(|viewer| zone.alive[*viewer]) {
            for (seen, leaves) in leaving.into_iter().enumerate() {
                let standing = zone.standing(viewer, seen);
                match (zone.alive[seen], leaves) {
                    (true, true) => prop_assert_eq!(standing, MemberState::Leaving),
                    (true, false) => prop_assert_eq!(standing, MemberState::Live),
                    (false, _) => prop_assert_ne!(standing, MemberState::Live),
                }
            }
        }
    }
}

#[test]
fn vm_that_left_the_list_stays_while_it_answers() {
    let mut zone = Zone::new(1);
    assert!(zone.contact(0, 1, true));
    zone.relist(&[0, 2]);
    assert!(zone.members[0].is_retained("vm1", zone.now));
    zone.now = zone.now.plus_ms(Settings::default().keep_ms);
    assert!(!zone.members[0].is_retained("vm1", zone.now));
}

#[test]
fn one_lost_probe_is_no_suspicion_while_a_helper_reaches_the_target() {
    let mut zone = Zone::new(2);
    for _ in 0..VMS * 4 {
        zone.act(0, |from, _| from != 0);
    }
    assert!((1..VMS).any(|vm| zone.standing(0, vm) == MemberState::Suspect));
    let mut helped = Zone::new(2);
    for _ in 0..VMS * 4 {
        helped.act(0, |from, to| from != 0 || to != 1);
    }
    assert_eq!(helped.standing(0, 1), MemberState::Live);
}
