//! Registrations of backend servers: order, draining, and outages of the store.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use fleet::roster::{Change, REJOIN_GRACE};
use fleet::{Phase, Registration, Roster};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn registration(born_ms: u64, sequence: u64, phase: Phase) -> Registration {
    Registration {
        service: "reader".to_owned(),
        addr: "10.0.0.1:80".parse().expect("valid address"),
        zone: "a".to_owned(),
        slots: 6,
        phase,
        warmup_remaining: Duration::ZERO,
        sequence,
        born_ms,
    }
}

#[test]
fn draining_incarnation_stays_draining() {
    let mut roster = Roster::default();
    assert_eq!(
        roster.register("s", registration(1, 1, Phase::Ready)),
        Change::Joined
    );
    assert_eq!(
        roster.register("s", registration(1, 2, Phase::Draining)),
        Change::Draining
    );
    assert_eq!(
        roster.register("s", registration(1, 3, Phase::Ready)),
        Change::Heartbeat
    );
    let server = roster.server("s").expect("server is registered");
    assert_eq!(server.registration.phase, Phase::Draining);
}

#[test]
fn new_incarnation_replaces_draining_one() {
    let mut roster = Roster::default();
    roster.register("s", registration(1, 90, Phase::Draining));
    assert_eq!(
        roster.register("s", registration(2, 1, Phase::Ready)),
        Change::Joined
    );
    assert_eq!(
        roster.register("s", registration(1, 91, Phase::Ready)),
        Change::Unchanged
    );
    let server = roster.server("s").expect("server is registered");
    assert_eq!(
        (server.registration.born_ms, server.registration.phase),
        (2, Phase::Ready)
    );
}

#[test]
fn removal_is_immediate_without_outage() {
    let mut roster = Roster::default();
    roster.register("s", registration(1, 1, Phase::Ready));
    assert!(roster.remove("s", Instant::now()).is_some());
    assert!(roster.server("s").is_none());
}

#[test]
fn registrations_missing_after_outage_are_kept_for_grace_period() {
    let mut roster = Roster::default();
    let now = Instant::now();
    for name in ["back", "gone"] {
        roster.register(name, registration(1, 1, Phase::Ready));
    }
    roster.note_outage_end(now);
    assert!(roster.retain(&HashSet::new(), now).is_empty());
    roster.register("back", registration(1, 2, Phase::Ready));
    assert!(roster.expire(now + REJOIN_GRACE / 2).is_empty());
    let expired = roster.expire(now + REJOIN_GRACE);
    let expired: Vec<&str> = expired.iter().map(|server| server.id.as_ref()).collect();
    assert_eq!(expired, ["gone"]);
    assert!(roster.server("back").is_some());
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(17), ..Config::with_cases(2_000) })]

    /// Delayed, reordered and duplicate heartbeats never restore an earlier incarnation or make a
    /// draining one ready.
    #[test]
    fn reordered_heartbeats_keep_draining_server_draining(
        heartbeats in prop::collection::vec((1..4_u64, 1..9_u64, any::<bool>()), 1..40),
    ) {
        let mut roster = Roster::default();
        let mut drained = HashSet::new();
        let mut newest = 0;
        for (born_ms, sequence, is_draining) in heartbeats {
            let phase = if is_draining { Phase::Draining } else { Phase::Ready };
            roster.register("s", registration(born_ms, sequence, phase));
            let server = roster.server("s").expect("server is registered");
            prop_assert!(server.registration.born_ms >= newest);
            newest = server.registration.born_ms;
            if server.registration.phase == Phase::Draining {
                drained.insert(newest);
            }
            prop_assert!(!drained.contains(&newest) || server.registration.phase == Phase::Draining);
        }
    }
}
