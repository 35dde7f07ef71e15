//! Backend servers' registrations: order, leaving, and outages of the store.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use fleet::roster::{Change, REJOIN};
use fleet::{Phase, Registration, Roster};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn entry(born_ms: u64, sequence: u64, phase: Phase) -> Registration {
    Registration {
        service: "reader".to_owned(),
        addr: "10.0.0.1:80".parse().expect("an address"),
        zone: "a".to_owned(),
        slots: 6,
        phase,
        warmup_remaining: Duration::ZERO,
        sequence,
        born_ms,
    }
}

#[test]
fn an_incarnation_that_leaves_does_not_come_back() {
    let mut roster = Roster::default();
    assert_eq!(
        roster.register("s", entry(1, 1, Phase::Ready)),
        Change::Joined
    );
    assert_eq!(
        roster.register("s", entry(1, 2, Phase::Draining)),
        Change::Draining
    );
    assert_eq!(
        roster.register("s", entry(1, 3, Phase::Ready)),
        Change::Heartbeat
    );
    let server = roster.server("s").expect("it is listed");
    assert_eq!(server.registration.phase, Phase::Draining);
}

#[test]
fn a_new_incarnation_under_the_same_name_begins_anew() {
    let mut roster = Roster::default();
    roster.register("s", entry(1, 90, Phase::Draining));
    assert_eq!(
        roster.register("s", entry(2, 1, Phase::Ready)),
        Change::Joined
    );
    assert_eq!(
        roster.register("s", entry(1, 91, Phase::Ready)),
        Change::Unchanged
    );
    let server = roster.server("s").expect("it is listed");
    assert_eq!(
        (server.registration.born_ms, server.registration.phase),
        (2, Phase::Ready)
    );
}

#[test]
fn a_removal_takes_effect_at_once_while_the_store_is_well() {
    let mut roster = Roster::default();
    roster.register("s", entry(1, 1, Phase::Ready));
    assert!(roster.remove("s", Instant::now()).is_some());
    assert!(roster.server("s").is_none());
}

#[test]
fn registrations_that_lapsed_in_an_outage_are_kept_until_they_are_due_again() {
    let mut roster = Roster::default();
    let now = Instant::now();
    for name in ["back", "gone"] {
        roster.register(name, entry(1, 1, Phase::Ready));
    }
    roster.note_outage_end(now);
    assert!(roster.retain(&HashSet::new(), now).is_empty());
    roster.register("back", entry(1, 2, Phase::Ready));
    assert!(roster.expire(now + REJOIN / 2).is_empty());
    let gone = roster.expire(now + REJOIN);
    let gone: Vec<&str> = gone.iter().map(|server| server.id.as_ref()).collect();
    assert_eq!(gone, ["gone"]);
    assert!(roster.server("back").is_some());
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(17), ..Config::with_cases(2_000) })]

    /// However heartbeats are delayed and repeated, the latest known incarnation never goes back
    /// and one that leaves gets no new work.
    #[test]
    fn heartbeats_in_any_order_never_bring_a_leaving_server_back(
        beats in prop::collection::vec((1..4_u64, 1..9_u64, any::<bool>()), 1..40),
    ) {
        let mut roster = Roster::default();
        let mut left = HashSet::new();
        let mut newest = 0;
        for (born_ms, sequence, leaves) in beats {
            let phase = if leaves { Phase::Draining } else { Phase::Ready };
            roster.register("s", entry(born_ms, sequence, phase));
            let server = roster.server("s").expect("it is listed");
            prop_assert!(server.registration.born_ms >= newest);
            newest = server.registration.born_ms;
            if server.registration.phase == Phase::Draining {
                left.insert(newest);
            }
            prop_assert!(!left.contains(&newest) || server.registration.phase == Phase::Draining);
        }
    }
}
