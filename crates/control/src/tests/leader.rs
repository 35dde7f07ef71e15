//! Tests of leader leases against a model of the platform's store.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;
use timer::Moment;

use crate::leader::{DRIFT_MS, LeaderLease, MAX_GRANT_MS, Step, TERM_MS, ZONE_SILENCE_MS};

const DAEMONS: usize = 4;

/// The platform's state of one lease, in true time.
#[derive(Debug, Default)]
struct Lease {
    /// Holder and the expiry of its session.
    held: Option<(usize, u64)>,
    epoch: u64,
}

impl Lease {
    fn expire(&mut self, now: u64) {
        self.held = self.held.filter(|(_, expires_at)| now < *expires_at);
    }

    fn acquire(&mut self, daemon: usize, now: u64) -> Option<u64> {
        if self.held.is_some() {
            return None;
        }
        self.epoch += 1;
        self.held = Some((daemon, now + TERM_MS));
        Some(self.epoch)
    }

    fn renew(&mut self, daemon: usize, now: u64) -> bool {
        match &mut self.held {
            Some((holder, expires_at)) if *holder == daemon => {
                *expires_at = now + TERM_MS;
                true
            }
            _ => false,
        }
    }
}

#[derive(Debug, Clone)]
enum Event {
    /// A daemon takes its next step; its request takes `request_ms` and the response `response_ms`.
    Act {
        daemon: usize,
        request_ms: u64,
        response_ms: u64,
        response_arrives: bool,
    },
    /// A daemon is paused.
    Pause { daemon: usize, ms: u64 },
    /// The platform does not respond.
    Outage { ms: u64 },
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let act = (0..DAEMONS, 0u64..600, 0u64..600, prop::bool::weighted(0.9));
    let act = act.prop_map(
        |(daemon, request_ms, response_ms, response_arrives)| Event::Act {
            daemon,
            request_ms,
            response_ms,
            response_arrives,
        },
    );
    let pause = (0..DAEMONS, 0u64..12_000).prop_map(|(daemon, ms)| Event::Pause { daemon, ms });
    let outage = (0u64..12_000).prop_map(|ms| Event::Outage { ms });
    let event = prop_oneof![20 => act, 2 => pause, 1 => outage];
    prop::collection::vec(event, 1..250)
}

/// Returns the local time of a daemon, whose clock rate differs by up to 2% from true time.
fn local(true_ms: u64, daemon: usize) -> Moment {
    let rate = [98, 99, 100, 102][daemon];
    Moment(1_000_000 + true_ms * rate / 100)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(21),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn leader_terms_and_grants_never_overlap(events in events()) {
        let mut rng = StdRng::seed_from_u64(3);
        let mut lease = Lease::default();
        let mut now = 0;
        let mut down_until = 0;
        let mut paused_until = [0; DAEMONS];
        let mut leaders: Vec<LeaderLease> = (0..DAEMONS)
            .map(|daemon| LeaderLease::new(ZONE_SILENCE_MS, local(0, daemon)))
            .collect();
        // True time at which the last grant of each daemon expires at its holder.
        let mut grants_expire_at = [0; DAEMONS];
        for event in events {
            now += 120;
            lease.expire(now);
            match event {
                Event::Pause { daemon, ms } => paused_until[daemon] = now + ms,
                Event::Outage { ms } => down_until = now + ms,
                Event::Act { daemon, .. } if paused_until[daemon] > now => {}
                Event::Act { daemon, request_ms, response_ms, response_arrives } => {
                    let name = format!("vm{daemon}");
                    let requested_at = local(now, daemon);
                    let step = leaders[daemon].step(Some(daemon), requested_at);
                    if step == Step::Wait {
                        continue;
                    }
                    now += request_ms;
                    lease.expire(now);
                    let is_up = now >= down_until;
                    let succeeded = is_up && match step {
                        Step::TryAcquire => lease.acquire(daemon, now).is_some(),
                        Step::Renew | Step::Wait => lease.renew(daemon, now),
                    };
                    now += response_ms;
                    lease.expire(now);
                    let leader = &mut leaders[daemon];
                    let responded_at = local(now, daemon);
                    match (is_up && response_arrives, succeeded, step) {
                        (true, true, Step::TryAcquire) => {
                            leader.acquire(&name, lease.epoch, requested_at, responded_at);
                        }
                        (true, true, _) => leader.renew(&name, requested_at),
                        (true, false, Step::Renew) => leader.lose(responded_at),
                        _ => leader.fail(responded_at, &mut rng),
                    }
                }
            }
            let leading: Vec<usize> = (0..DAEMONS)
                .filter(|daemon| leaders[*daemon].term(local(now, *daemon)).is_some())
                .collect();
            prop_assert!(leading.len() <= 1, "daemons {leading:?} are leaders at the same time");
            for daemon in 0..DAEMONS {
                let term = leaders[daemon].term(local(now, daemon));
                if term.is_some_and(|term| term.may_grant(local(now, daemon))) {
                    let others = (0..DAEMONS).filter(|other| *other != daemon);
                    let latest = others.map(|other| grants_expire_at[other]).max();
                    prop_assert!(latest <= Some(now), "a grant of an earlier leader has not expired");
                    grants_expire_at[daemon] = now + MAX_GRANT_MS + DRIFT_MS / 2;
                }
            }
        }
    }
}

#[test]
fn term_expires_while_leader_is_paused() {
    let mut leader = LeaderLease::new(ZONE_SILENCE_MS, Moment(0));
    leader.acquire("vm0", 7, Moment(100), Moment(150));
    assert!(leader.term(Moment(1_000)).is_some());
    assert_eq!(leader.step(Some(0), Moment(1_100)), Step::Renew);
    let resumed = Moment(100 + TERM_MS);
    assert_eq!(leader.term(resumed), None);
    assert_ne!(leader.step(Some(0), resumed), Step::Renew);
}

#[test]
fn later_candidates_wait_for_earlier_ones() {
    let leader = LeaderLease::new(ZONE_SILENCE_MS, Moment(0));
    assert_eq!(leader.step(Some(0), Moment(0)), Step::TryAcquire);
    assert_eq!(leader.step(Some(2), Moment(1_999)), Step::Wait);
    assert_eq!(leader.step(Some(2), Moment(2_000)), Step::TryAcquire);
    assert_eq!(leader.step(None, Moment(60_000)), Step::Wait);
}
