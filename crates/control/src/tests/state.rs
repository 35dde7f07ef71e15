//! Tests of what a daemon takes over and what it keeps out.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use store::{ListedVm, VmState};
use timer::Moment;
use wire::Vm;
use wire::keyring::{Keyring, Record};
use wire::report::Report;
use wire::sync::{Response, ZoneVote};
use wire::view::{Config, MemberState};

use crate::state::State;

const TEXT: &str = include_str!("../../../text/tests/base.toml");

fn state(name: &str) -> State {
    State::new(Vm::new(name, 1), "z0", Moment(0))
}

fn vm(number: u16, zone: &str) -> ListedVm {
    ListedVm {
        name: format!("vm{number}"),
        zone: zone.to_owned(),
        gate: ([127, 0, 0, 1], number).into(),
        peer: ([127, 0, 0, 1], 1_000 + number).into(),
        state: VmState::Live,
    }
}

fn record(number: u8, withdrawn: bool) -> Record {
    Record {
        id: format!("k{number}"),
        workspace: "acme".to_owned(),
        hash: [number; 32],
        withdrawn,
    }
}

/// Lets `asker` ask `answerer` as the exchange does, parts that differ included.
fn exchange(asker: &mut State, answerer: &mut State) {
    let now = Moment(1_000);
    let to = answerer.identity().0;
    for detailed in [false, true] {
        let ask = asker.ask(&to, detailed, now);
        let answer = answerer.answer(&ask, now);
        let outcome = asker.learn_answer(&answer, Some("z0"), now, now);
        if detailed {
            answerer.learn_keys(&asker.beyond(&answer));
        }
        if !outcome.differs {
            return;
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(51),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn revision_never_goes_back_whoever_tells(
        offers in proptest::collection::vec((1u64..12, 0usize..3), 1..16)
    ) {
        // Even revisions can be read, whoever sends them; peers and the platform may lag.
        let config = |revision: u64| Config {
            revision,
            text: if revision.is_multiple_of(2) { TEXT.to_owned() } else { "zone = 1".to_owned() },
        };
        let mut peers = [state("vm1"), state("vm2")];
        let mut own = state("vm0");
        let mut highest = 0;
        for (revision, source) in offers {
            let before = own.revision();
            match peers.get_mut(source) {
                None => {
                    own.learn_config(&config(revision));
                }
                Some(peer) => {
                    peer.learn_config(&config(revision));
                    exchange(&mut own, peer);
                }
            }
            highest = highest.max(if revision.is_multiple_of(2) { revision } else { 0 });
            prop_assert!(own.revision() >= before);
            prop_assert_eq!(own.revision() % 2, 0);
        }
        for peer in &mut peers {
            exchange(&mut own, peer);
        }
        prop_assert_eq!(own.revision(), highest);
    }

    #[test]
    fn one_exchange_makes_keys_and_lists_equal(
        ours in proptest::collection::vec((any::<u8>(), any::<bool>()), 0..20),
        theirs in proptest::collection::vec((any::<u8>(), any::<bool>()), 0..20),
        listed in proptest::collection::btree_set(1u16..200, 1..40),
        changed in proptest::collection::btree_set(1u16..200, 0..4),
    ) {
        let (mut asker, mut answerer) = (state("vm1"), state("vm2"));
        for (number, withdrawn) in ours {
            asker.learn_keys(&Keyring { records: vec![record(number, withdrawn)] });
        }
        for (number, withdrawn) in theirs {
            answerer.learn_keys(&Keyring { records: vec![record(number, withdrawn)] });
        }
        let vms: Vec<ListedVm> = listed.iter().map(|number| vm(*number, "z0")).collect();
        asker.learn_vms(&vms, 5, Moment(0));
        let differing = listed.symmetric_difference(&changed);
        let vms: Vec<ListedVm> = differing.map(|number| vm(*number, "z0")).collect();
        answerer.learn_vms(&vms, 6, Moment(0));
        exchange(&mut asker, &mut answerer);
        prop_assert_eq!(asker.ring.digest(), answerer.ring.digest());
        prop_assert_eq!(asker.roster.edition(), answerer.roster.edition());
        prop_assert_eq!(asker.entries(Moment(0)), answerer.entries(Moment(0)));
    }
}

#[test]
fn gate_that_leaves_is_shown_as_leaving_elsewhere_after_one_exchange() {
    let (mut leaver, mut other) = (state("vm1"), state("vm2"));
    for state in [&mut leaver, &mut other] {
        state.learn_vms(&[vm(1, "z0"), vm(2, "z0")], 5, Moment(0));
    }
    let report = Report {
        leaving: true,
        ..Report::default()
    };
    leaver.attach(report, Moment(0));
    assert!(leaver.take_hurry());
    exchange(&mut leaver, &mut other);
    let seen = other.entries(Moment(1_000));
    assert_eq!(seen[0].state, MemberState::Leaving);
    assert_eq!(seen[1].state, MemberState::Live);
}

#[test]
fn word_of_another_zone_counts_from_the_question() {
    let mut own = state("vm0");
    own.learn_vms(&[vm(0, "z0"), vm(1, "z1"), vm(2, "z2")], 5, Moment(0));
    let (asked, answered) = (Moment(10_000), Moment(10_600));
    let vote = |zone: &str| ZoneVote {
        zone: zone.to_owned(),
        age_ms: 40,
    };
    let answer = Response {
        from: Vm::new("vm1", 1),
        roster: own.roster.edition(),
        store_down: true,
        votes: vec![vote("z1"), vote("z2")],
        ..Response::default()
    };
    own.learn_answer(&answer, Some("z1"), asked, answered);
    assert_eq!(own.fresh_at(), Some(asked.minus_ms(40)));
}

#[test]
fn the_platform_proves_nothing_just_after_an_outage_until_another_daemon_was_heard() {
    let mut fresh = state("vm1");
    let mut other = state("vm2");
    let vms = [vm(1, "z0"), vm(2, "z0")];
    fresh.learn_vms(&vms, 1, Moment(0));
    other.learn_vms(&vms, 1, Moment(0));
    other.learn_keys(&Keyring {
        records: vec![record(1, true)],
    });
    // The platform does not show the withdrawal yet.
    let saved = Keyring {
        records: vec![record(1, false)],
    };
    fresh.note_store(true, Moment(0));
    fresh.learn_saved_keys(&saved, Moment(500));
    assert_eq!(fresh.fresh_at(), None);
    exchange(&mut fresh, &mut other);
    fresh.learn_saved_keys(&saved, Moment(1_500));
    assert_eq!(fresh.fresh_at(), Some(Moment(1_500)));
    assert_eq!(fresh.withdrawn(), 1);
}
