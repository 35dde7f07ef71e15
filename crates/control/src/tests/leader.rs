//! Leads against a model of the platform's leases.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;
use timer::Moment;

use crate::leader::{DRIFT_MS, Lead, MAX_GRANT_MS, Step, TERM_MS, ZONE_SILENCE_MS};

const DAEMONS: usize = 4;

/// The platform's side of one lease, on true time.
#[derive(Debug, Default)]
struct Lease {
    /// Holder and the true time at which its session lapses.
    held: Option<(usize, u64)>,
    epoch: u64,
}

impl Lease {
    fn expire(&mut self, now: u64) {
        self.held = self.held.filter(|(_, lapses)| now < *lapses);
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
            Some((holder, lapses)) if *holder == daemon => {
                *lapses = now + TERM_MS;
                true
            }
            _ => false,
        }
    }
}

#[derive(Debug, Clone)]
enum Event {
    /// A daemon takes its next step; the call takes `out_ms` to arrive and `back_ms` to return.
    Act {
        daemon: usize,
        out_ms: u64,
        back_ms: u64,
        answered: bool,
    },
    /// A daemon is paused.
    Pause { daemon: usize, ms: u64 },
    /// The platform does not answer for a while.
    Outage { ms: u64 },
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let act = (0..DAEMONS, 0u64..600, 0u64..600, prop::bool::weighted(0.9));
    let act = act.prop_map(|(daemon, out_ms, back_ms, answered)| Event::Act {
        daemon,
        out_ms,
        back_ms,
        answered,
    });
    let pause = (0..DAEMONS, 0u64..12_000).prop_map(|(daemon, ms)| Event::Pause { daemon, ms });
    let outage = (0u64..12_000).prop_map(|ms| Event::Outage { ms });
    let event = prop_oneof![20 => act, 2 => pause, 1 => outage];
    prop::collection::vec(event, 1..250)
}

/// One daemon's clock runs at a rate of up to 2% off true time.
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
    fn one_lead_at_a_time_and_no_grant_overlaps(events in events()) {
        let mut rng = StdRng::seed_from_u64(3);
        let mut lease = Lease::default();
        let mut now = 0;
        let mut down_until = 0;
        let mut paused_until = [0; DAEMONS];
        let mut leads: Vec<Lead> = (0..DAEMONS)
            .map(|daemon| Lead::new(ZONE_SILENCE_MS, local(0, daemon)))
            .collect();
        // True time at which the last grant of each daemon ends at its holder.
        let mut grants_end = [0; DAEMONS];
        for event in events {
            now += 120;
            lease.expire(now);
            match event {
                Event::Pause { daemon, ms } => paused_until[daemon] = now + ms,
                Event::Outage { ms } => down_until = now + ms,
                Event::Act { daemon, .. } if paused_until[daemon] > now => {}
                Event::Act { daemon, out_ms, back_ms, answered } => {
                    let name = format!("vm{daemon}");
                    let asked = local(now, daemon);
                    let step = leads[daemon].step(Some(daemon), asked);
                    if step == Step::Wait {
                        continue;
                    }
                    now += out_ms;
                    lease.expire(now);
                    let up = now >= down_until;
                    let done = up && match step {
                        Step::Look => lease.acquire(daemon, now).is_some(),
                        Step::Renew | Step::Wait => lease.renew(daemon, now),
                    };
                    now += back_ms;
                    lease.expire(now);
                    let lead = &mut leads[daemon];
                    let heard = local(now, daemon);
                    match (up && answered, done, step) {
                        (true, true, Step::Look) => {
                            lead.acquire(&name, lease.epoch, asked, heard);
                        }
                        (true, true, _) => lead.renew(&name, asked),
                        (true, false, Step::Renew) => lead.lose(heard),
                        _ => lead.fail(heard, &mut rng),
                    }
                }
            }
            let holding: Vec<usize> = (0..DAEMONS)
                .filter(|daemon| leads[*daemon].term(local(now, *daemon)).is_some())
                .collect();
            prop_assert!(holding.len() <= 1, "{holding:?} lead at once");
            for daemon in 0..DAEMONS {
                let granting = leads[daemon].term(local(now, daemon));
                if granting.is_some_and(|term| term.may_grant(local(now, daemon))) {
                    let others = (0..DAEMONS).filter(|other| *other != daemon);
                    let latest = others.map(|other| grants_end[other]).max();
                    prop_assert!(latest <= Some(now), "a grant of an earlier lead runs on");
                    grants_end[daemon] = now + MAX_GRANT_MS + DRIFT_MS / 2;
                }
            }
        }
    }
}

#[test]
fn paused_lead_finds_its_term_over() {
    let mut lead = Lead::new(ZONE_SILENCE_MS, Moment(0));
    lead.acquire("vm0", 7, Moment(100), Moment(150));
    assert!(lead.term(Moment(1_000)).is_some());
    assert_eq!(lead.step(Some(0), Moment(1_100)), Step::Renew);
    let woken = Moment(100 + TERM_MS);
    assert_eq!(lead.term(woken), None);
    assert_ne!(lead.step(Some(0), woken), Step::Renew);
}

#[test]
fn later_candidates_wait_for_earlier_ones() {
    let lead = Lead::new(ZONE_SILENCE_MS, Moment(0));
    assert_eq!(lead.step(Some(0), Moment(0)), Step::Look);
    assert_eq!(lead.step(Some(2), Moment(1_999)), Step::Wait);
    assert_eq!(lead.step(Some(2), Moment(2_000)), Step::Look);
    assert_eq!(lead.step(None, Moment(60_000)), Step::Wait);
}
