//! Tests of the state that a daemon accepts and rejects.

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

/// Exchanges state from `requester` to `responder` as the exchange task does, including the shards
/// that differ.
fn exchange(requester: &mut State, responder: &mut State) {
    let now = Moment(1_000);
    let to = responder.identity().0;
    for detailed in [false, true] {
        let request = requester.request(&to, detailed, now);
        let response = responder.respond(&request, now);
        let outcome = requester.apply_response(&response, Some("z0"), now, now);
        if detailed {
            responder.merge_keys(&requester.records_missing_from(&response));
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
    fn revision_never_decreases_from_any_source(
        offers in proptest::collection::vec((1u64..12, 0usize..3), 1..16)
    ) {
        // Even revisions are valid, from any source; peers and the platform may be behind.
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
                    own.apply_config(&config(revision));
                }
                Some(peer) => {
                    peer.apply_config(&config(revision));
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
    fn exchange_makes_keys_and_lists_equal(
        requester_records in proptest::collection::vec((any::<u8>(), any::<bool>()), 0..20),
        responder_records in proptest::collection::vec((any::<u8>(), any::<bool>()), 0..20),
        listed in proptest::collection::btree_set(1u16..200, 1..40),
        changed in proptest::collection::btree_set(1u16..200, 0..4),
    ) {
        let (mut requester, mut responder) = (state("vm1"), state("vm2"));
        for (number, withdrawn) in requester_records {
            requester.merge_keys(&Keyring { records: vec![record(number, withdrawn)] });
        }
        for (number, withdrawn) in responder_records {
            responder.merge_keys(&Keyring { records: vec![record(number, withdrawn)] });
        }
        let vms: Vec<ListedVm> = listed.iter().map(|number| vm(*number, "z0")).collect();
        requester.apply_vms(&vms, 5, Moment(0));
        let differing = listed.symmetric_difference(&changed);
        let vms: Vec<ListedVm> = differing.map(|number| vm(*number, "z0")).collect();
        responder.apply_vms(&vms, 6, Moment(0));
        exchange(&mut requester, &mut responder);
        prop_assert_eq!(requester.ring.digest(), responder.ring.digest());
        prop_assert_eq!(requester.roster.version(), responder.roster.version());
        prop_assert_eq!(requester.entries(Moment(0)), responder.entries(Moment(0)));
    }
}

#[test]
fn leaving_gate_is_reported_by_other_vm_after_one_exchange() {
    let (mut leaving, mut other) = (state("vm1"), state("vm2"));
    for state in [&mut leaving, &mut other] {
        state.apply_vms(&[vm(1, "z0"), vm(2, "z0")], 5, Moment(0));
    }
    let report = Report {
        leaving: true,
        ..Report::default()
    };
    leaving.handle_report(report, Moment(0));
    assert!(leaving.take_round_due());
    exchange(&mut leaving, &mut other);
    let seen = other.entries(Moment(1_000));
    assert_eq!(seen[0].state, MemberState::Leaving);
    assert_eq!(seen[1].state, MemberState::Live);
}

#[test]
fn votes_of_another_zone_count_from_request_time() {
    let mut own = state("vm0");
    own.apply_vms(&[vm(0, "z0"), vm(1, "z1"), vm(2, "z2")], 5, Moment(0));
    let (requested_at, responded_at) = (Moment(10_000), Moment(10_600));
    let vote = |zone: &str| ZoneVote {
        zone: zone.to_owned(),
        age_ms: 40,
    };
    let response = Response {
        from: Vm::new("vm1", 1),
        roster: own.roster.version(),
        store_down: true,
        votes: vec![vote("z1"), vote("z2")],
        ..Response::default()
    };
    own.apply_response(&response, Some("z1"), requested_at, responded_at);
    assert_eq!(own.fresh_at(), Some(requested_at.minus_ms(40)));
}

#[test]
fn platform_proves_no_freshness_after_outage_before_exchange() {
    let mut fresh = state("vm1");
    let mut other = state("vm2");
    let vms = [vm(1, "z0"), vm(2, "z0")];
    fresh.apply_vms(&vms, 1, Moment(0));
    other.apply_vms(&vms, 1, Moment(0));
    other.merge_keys(&Keyring {
        records: vec![record(1, true)],
    });
    // The withdrawal has not been written to the platform yet.
    let saved = Keyring {
        records: vec![record(1, false)],
    };
    fresh.note_store(true, Moment(0));
    fresh.merge_saved_keys(&saved, Moment(500));
    assert_eq!(fresh.fresh_at(), None);
    exchange(&mut fresh, &mut other);
    fresh.merge_saved_keys(&saved, Moment(1_500));
    assert_eq!(fresh.fresh_at(), Some(Moment(1_500)));
    assert_eq!(fresh.withdrawn(), 1);
}
