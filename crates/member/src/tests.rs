//! Tests of membership with random event sequences.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;
use timer::Moment;
use wire::Vm;
use wire::view::MemberState;

use crate::{Member, Settings};

const VMS: usize = 6;

/// Number of rounds after which all VMs agree if no messages are lost.
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
        zone.set_listed_vms(&(0..VMS).collect::<Vec<_>>());
        zone
    }

    fn set_listed_vms(&mut self, listed: &[usize]) {
        for member in &mut self.members {
            let names = listed.iter().map(|index| self.names[*index].as_str());
            member.set_listed(names, self.now);
        }
    }

    /// Sends one probe from `from` to `to` and the response back, unless the link is down (`up` is
    /// false) or `to` is not alive.
    fn exchange_probe(&mut self, from: usize, to: usize, up: bool) -> bool {
        if !up || !self.alive[to] {
            return false;
        }
        let outgoing = self.members[from].probe(&self.names[to]);
        let max_rumors_per_probe = Settings::default().max_rumors + 2;
        assert!(
            outgoing.rumors.len() <= max_rumors_per_probe,
            "a message must have a bounded size"
        );
        self.members[to].handle_probe(&outgoing, self.now);
        let response = self.members[to].probe(&self.names[from]);
        self.members[from].handle_probe(&response, self.now);
        true
    }

    /// Sends one probe from `from`, with indirect probes if it fails; `links` returns which links are
    /// up.
    fn probe_once(&mut self, from: usize, links: impl Fn(usize, usize) -> bool) {
        if !self.alive[from] {
            return;
        }
        self.now = self.now.plus_ms(200);
        let names: Vec<String> = self.names.clone();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let target = self.members[from].next_probe(&names, &mut self.rng);
        let target = target.expect("there are other VMs");
        let to = names
            .iter()
            .position(|name| *name == target)
            .expect("a known VM");
        if self.exchange_probe(from, to, links(from, to)) {
            return;
        }
        let helpers = self.members[from].helpers(&target, &names, &mut self.rng);
        let reached_by_helper = helpers.iter().any(|helper| {
            let helper_index = names
                .iter()
                .position(|name| name == helper)
                .expect("a known VM");
            self.alive[helper_index]
                && links(from, helper_index)
                && self.alive[to]
                && links(helper_index, to)
        });
        if !reached_by_helper {
            self.members[from].suspect(&target);
        }
    }

    fn state(&self, viewer: usize, seen: usize) -> MemberState {
        self.members[viewer].state(&self.names[seen], MemberState::Live)
    }
}

#[derive(Debug, Clone)]
enum Event {
    Probe { from: usize, loss_seed: u8 },
    Kill(usize),
    Restart(usize),
    Leave(usize),
    SetListed(Vec<usize>),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let vm = 0..VMS;
    let probe_once =
        (vm.clone(), any::<u8>()).prop_map(|(from, loss_seed)| Event::Probe { from, loss_seed });
    let event = prop_oneof![
        30 => probe_once,
        1 => vm.clone().prop_map(Event::Kill),
        1 => vm.clone().prop_map(Event::Restart),
        1 => vm.clone().prop_map(Event::Leave),
        1 => proptest::collection::vec(vm, 0..VMS).prop_map(Event::SetListed),
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
    fn views_converge_to_actual_state_without_message_loss(events in events(), seed in any::<u64>()) {
        let mut zone = Zone::new(seed);
        let mut incarnations = [1u64; VMS];
        let mut leaving = [false; VMS];
        for event in events {
            match event {
                Event::Probe { from, loss_seed } => {
                    zone.probe_once(from, |a, b| (usize::from(loss_seed) + a * 7 + b * 3) % 4 != 0);
                }
                Event::Kill(vm) => zone.alive[vm] = false,
                Event::Restart(vm) => {
                    incarnations[vm] += 1;
                    let name = zone.names[vm].clone();
                    zone.members[vm] = Member::new(&Vm::new(&name, incarnations[vm]), Settings::default());
                    zone.alive[vm] = true;
                    leaving[vm] = false;
                }
                Event::Leave(vm) if zone.alive[vm] => {
                    zone.members[vm].leave();
                    leaving[vm] = true;
                }
                Event::Leave(_) => {}
                Event::SetListed(listed) => zone.set_listed_vms(&listed),
            }
        }
        zone.set_listed_vms(&(0..VMS).collect::<Vec<_>>());
        for _ in 0..SETTLE_ROUNDS {
            for from in 0..VMS {
                zone.probe_once(from, |_, _| true);
            }
        }
        for viewer in (0..VMS).filter(|viewer| zone.alive[*viewer]) {
            for (seen, is_leaving) in leaving.into_iter().enumerate() {
                let state = zone.state(viewer, seen);
                match (zone.alive[seen], is_leaving) {
                    (true, true) => prop_assert_eq!(state, MemberState::Leaving),
                    (true, false) => prop_assert_eq!(state, MemberState::Live),
                    (false, _) => prop_assert_ne!(state, MemberState::Live),
                }
            }
        }
    }
}

#[test]
fn unlisted_vm_remains_member_while_it_responds() {
    let mut zone = Zone::new(1);
    assert!(zone.exchange_probe(0, 1, true));
    zone.set_listed_vms(&[0, 2]);
    assert!(zone.members[0].is_retained("vm1", zone.now));
    zone.now = zone.now.plus_ms(Settings::default().retention_ms);
    assert!(!zone.members[0].is_retained("vm1", zone.now));
}

#[test]
fn lost_probe_causes_no_suspicion_if_helper_reaches_target() {
    let mut zone = Zone::new(2);
    for _ in 0..VMS * 4 {
        zone.probe_once(0, |from, _| from != 0);
    }
    assert!((1..VMS).any(|vm| zone.state(0, vm) == MemberState::Suspect));
    let mut helped_zone = Zone::new(2);
    for _ in 0..VMS * 4 {
        helped_zone.probe_once(0, |from, to| from != 0 || to != 1);
    }
    assert_eq!(helped_zone.state(0, 1), MemberState::Live);
}
