//! Limits that servers name, over fleets of entry VMs: what a server gets in any window, and how much of
//! the limit is used.

#![allow(clippy::cast_precision_loss)]

mod common;

use std::time::{Duration, Instant};

use common::max_in_window;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use steer::quota::{Grant, Ownership};
use steer::server_limit::{Limiter, Word};

/// Window over which a server's requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time for which VMs differ on who the owner is after it is lost.
const VIEWS_DIFFER: Duration = Duration::from_secs(4);

/// What happens to the owner half-way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    /// It restarts and has forgotten what it granted.
    Restarts,
    /// Half of the VMs ask another one for a while.
    Contested,
    /// The VMs fall into two groups that do not reach each other, each with an owner.
    Split,
}

/// The limiters of one server at the VMs of a fleet, in virtual time.
struct Fleet {
    limiters: Vec<Limiter>,
    begin: Instant,
    now: Instant,
    sent: Vec<Instant>,
}

impl Fleet {
    fn new(vms: usize, per_s: f64) -> Self {
        let begin = Instant::now();
        let mut limiters: Vec<Limiter> = (0..vms).map(|_| Limiter::default()).collect();
        for limiter in &mut limiters {
            limiter.note_response(Some(per_s), begin);
        }
        Self {
            limiters,
            begin,
            now: begin,
            sent: Vec::new(),
        }
    }

    /// Runs `seconds` with `requests_per_s` that arrive at random VMs.
    fn run(&mut self, seconds: u32, requests_per_s: u32, trouble: Trouble, rng: &mut StdRng) {
        let step = Duration::from_secs(1) / requests_per_s;
        for _ in 0..seconds * requests_per_s {
            self.now += step;
            let vm = rng.random_range(0..self.limiters.len());
            if self.limiters[vm].may_ask(self.now) {
                self.ask(vm, trouble);
            }
        }
    }

    fn ask(&mut self, vm: usize, trouble: Trouble) {
        let vms = self.limiters.len();
        let is_recent = self.now < self.begin + VIEWS_DIFFER;
        let owner = if vm.is_multiple_of(2) { 0 } else { 1 % vms };
        let now = self.now;
        let grant = match trouble {
            Trouble::Contested if is_recent && owner > 0 => {
                self.limiters[owner].grant(Ownership::Contested, 1.0, now)
            }
            Trouble::Split => self.limiters[owner].grant(Ownership::Settled, 0.5, now),
            _ => self.limiters[0].grant(Ownership::Settled, 1.0, now),
        };
        match grant {
            Grant::Tokens(_) => self.sent.push(now),
            Grant::Wait(wait) => self.limiters[vm].note_wait(wait, now),
        }
    }
}

/// Returns the requests that a server may get within [`WINDOW`].
fn allowed(per_s: f64) -> f64 {
    (per_s * WINDOW.as_secs_f64()).mul_add(1.5, 5.0)
}

fn fixed(cases: u32) -> Config {
    Config {
        rng_seed: RngSeed::Fixed(28),
        ..Config::with_cases(cases)
    }
}

proptest! {
    #![proptest_config(fixed(200))]

    #[test]
    fn server_gets_no_more_than_its_limit(
        vms in prop::sample::select(vec![1_usize, 8, 80, 295, 1_300]),
        per_s in 0.3..120.0_f64,
        trouble in prop::sample::select(vec![
            Trouble::None, Trouble::Restarts, Trouble::Contested, Trouble::Split,
        ]),
        seed in any::<u64>(),
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(vms, per_s);
        fleet.run(6, 400, Trouble::None, &mut rng);
        if trouble == Trouble::Restarts {
            fleet.limiters[0] = Limiter::default();
            fleet.limiters[0].note_response(Some(per_s), fleet.now);
        }
        fleet.begin = fleet.now;
        fleet.run(8, 400, trouble, &mut rng);
        let max = max_in_window(&fleet.sent, WINDOW);
        prop_assert!(max <= allowed(per_s), "{max} of {}", allowed(per_s));
    }

    #[test]
    fn limit_is_used_while_callers_ask_for_more(
        vms in prop::sample::select(vec![8_usize, 80, 295, 1_300]),
        per_s in 2.0..60.0_f64,
        seed in any::<u64>(),
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(vms, per_s);
        fleet.run(10, 400, Trouble::None, &mut rng);
        let used = fleet.sent.len() as f64 / 10.0;
        prop_assert!(used >= per_s * 0.6, "{used} of {per_s} a second");
    }
}

#[test]
fn later_word_replaces_an_earlier_one() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let word = |per_s, ms| Word { per_s, at: at(ms) };
    let mut limiter = Limiter::default();
    assert!(!limiter.note_report(word(None, 0)));
    assert!(limiter.note_report(word(Some(8.4), 100)));
    assert!(limiter.note_response(Some(0.5), at(2_000)));
    // An earlier word that arrives late, and one that allows more and may be an echo.
    assert!(!limiter.note_report(word(Some(8.4), 1_900)));
    assert!(!limiter.note_report(word(Some(8.4), 2_500)));
    assert!(!limiter.note_report(word(None, 2_900)));
    assert_eq!(limiter.per_s(), Some(0.5));
    assert!(limiter.note_report(word(Some(0.4), 2_010)));
    assert!(limiter.note_report(word(None, 4_000)));
    assert_eq!(limiter.per_s(), None);
}

#[test]
fn withdrawal_ends_the_wait_for_tokens() {
    let now = Instant::now();
    let mut limiter = Limiter::default();
    limiter.note_response(Some(1.0), now);
    limiter.note_wait(Duration::from_secs(1), now);
    assert!(!limiter.may_ask(now));
    limiter.note_response(None, now);
    assert!(limiter.may_ask(now));
    assert_eq!(
        limiter.grant(Ownership::Settled, 1.0, now),
        Grant::Tokens(1)
    );
}

#[test]
fn vm_without_owner_asks_again_after_a_pause() {
    let now = Instant::now();
    let mut limiter = Limiter::default();
    limiter.note_response(Some(9.0), now);
    limiter.note_unreached(now);
    assert!(!limiter.may_ask(now + Duration::from_millis(400)));
    assert!(limiter.may_ask(now + Duration::from_millis(500)));
}

#[test]
fn only_own_words_are_passed_on() {
    let now = Instant::now();
    let later = now + Duration::from_secs(2);
    let mut limiter = Limiter::default();
    limiter.note_report(Word {
        per_s: Some(3.0),
        at: now,
    });
    assert_eq!(limiter.own_word(Duration::from_secs(10), now), None);
    limiter.note_response(Some(3.0), later);
    let word = limiter.own_word(Duration::from_secs(10), later);
    assert_eq!(word.and_then(|word| word.per_s), Some(3.0));
}
