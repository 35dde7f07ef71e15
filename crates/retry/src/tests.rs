//! Tests of budgets and decisions.

use assert_matches::assert_matches;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::SeedableRng;
use rand::rngs::StdRng;
use timer::Moment;

use crate::{Attempt, Budget, Decision, Failure, MAX_ATTEMPTS, MIN_RETRIES, WINDOW_S, decide};

const WINDOW_MS: u64 = WINDOW_S * 1_000;

fn failure() -> impl Strategy<Value = Failure> {
    prop_oneof![
        Just(Failure::Unreached),
        Just(Failure::Shed),
        Just(Failure::Broken)
    ]
}

prop_compose! {
    fn attempt()(
        failure in failure(),
        is_idempotent: bool,
        is_buffered: bool,
        attempts in 1..5_u32,
        broken_attempts in 0..3_u32,
        remaining_ms in 0..200_u64,
    ) -> Attempt {
        let broken_attempts = broken_attempts.max(u32::from(failure == Failure::Broken));
        Attempt { failure, is_idempotent, is_buffered, attempts, broken_attempts, remaining_ms }
    }
}

/// Steps of traffic: a pause in milliseconds, then a success (`true`) or a request for a retry.
fn steps() -> impl Strategy<Value = Vec<(u64, bool)>> {
    let pause_ms = prop_oneof![30 => 0..40_u64, 1 => 500..3_000_u64];
    proptest::collection::vec((pause_ms, any::<bool>()), 1..400)
}

fn config() -> Config {
    Config {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn retries_stay_within_a_tenth_of_successes(steps in steps()) {
        let mut budget = Budget::new();
        let mut now = Moment(0);
        let mut successes = Vec::new();
        let mut retries = Vec::new();
        for (pause_ms, success) in steps {
            now = now.plus_ms(pause_ms);
            if success {
                budget.note_success(now);
                successes.push(now);
            } else if budget.take(now) {
                retries.push(now);
            }
            let recent = |times: &[Moment]| {
                let second = |at: &Moment| at.0 / 1_000;
                let is_recent = |at: &&Moment| second(at) + WINDOW_S > second(&now);
                times.iter().filter(is_recent).count() as u64
            };
            if retries.last() == Some(&now) && !success {
                let allowed = MIN_RETRIES.max(recent(&successes) / 10);
                prop_assert!(recent(&retries) <= allowed);
            }
        }
    }

    #[test]
    fn never_retries_unsafe_request(
        attempt in attempt(),
        seed: u64,
    ) {
        let mut random = StdRng::seed_from_u64(seed);
        let decision = decide(&attempt, &mut Budget::new(), Moment(0), &mut random);
        if let Decision::Retry { after_ms } = decision {
            prop_assert!(attempt.is_buffered);
            prop_assert!(attempt.attempts < MAX_ATTEMPTS);
            prop_assert!(after_ms < attempt.remaining_ms);
            if attempt.failure.may_have_run() {
                prop_assert!(attempt.is_idempotent);
                prop_assert_eq!(attempt.broken_attempts, 1);
            }
        }
    }

    #[test]
    fn retries_that_may_reach_a_server_need_budget(attempt in attempt(), seed: u64) {
        let mut random = StdRng::seed_from_u64(seed);
        let mut budget = Budget::new();
        while budget.take(Moment(0)) {}
        let decision = decide(&attempt, &mut budget, Moment(0), &mut random);
        if matches!(decision, Decision::Retry { .. }) {
            prop_assert_eq!(attempt.failure, Failure::Unreached);
        }
    }
}

#[test]
fn idempotent_request_is_retried_once_after_broken_connection() {
    let mut random = StdRng::seed_from_u64(1);
    let mut budget = Budget::new();
    let mut attempt = Attempt {
        failure: Failure::Broken,
        is_idempotent: true,
        is_buffered: true,
        attempts: 1,
        broken_attempts: 1,
        remaining_ms: 1_000,
    };
    let first = decide(&attempt, &mut budget, Moment(0), &mut random);
    assert_matches!(first, Decision::Retry { .. });
    attempt.attempts = 2;
    attempt.broken_attempts = 2;
    let second = decide(&attempt, &mut budget, Moment(0), &mut random);
    assert_matches!(second, Decision::Refuse);
}

#[test]
fn minimum_retries_are_available_again_after_window() {
    let mut budget = Budget::new();
    for _ in 0..MIN_RETRIES {
        assert!(budget.take(Moment(0)));
    }
    assert!(!budget.take(Moment(WINDOW_MS - 1)));
    assert!(budget.take(Moment(WINDOW_MS)));
}

#[test]
fn successes_allow_a_tenth_as_many_retries() {
    let mut budget = Budget::new();
    for _ in 0..200 {
        budget.note_success(Moment(500));
    }
    assert_eq!(budget.remaining(Moment(500)), 20);
    assert_eq!(budget.remaining(Moment(500 + WINDOW_MS)), MIN_RETRIES);
}
