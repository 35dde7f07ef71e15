//! At-most-once execution and truthful refusals under server faults.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use steer::retry::{Attempts, Decision, Ending, Policy, Reason};

/// The ending of an attempt, and whether the server runs the request.
#[derive(Debug, Clone, Copy)]
struct Fault {
    ending: Ending,
    runs: bool,
}

fn fault() -> impl Strategy<Value = Fault> {
    let ran = |ending| Just(Fault { ending, runs: true });
    let not_run = |ending| {
        Just(Fault {
            ending,
            runs: false,
        })
    };
    prop_oneof![
        ran(Ending::Responded { failed: false }),
        ran(Ending::Responded { failed: true }),
        not_run(Ending::NotRun),
        not_run(Ending::Unreachable),
        ran(Ending::ConnectionLost),
        not_run(Ending::ConnectionLost),
        ran(Ending::TimedOut),
        not_run(Ending::TimedOut),
    ]
}

/// Result of a simulated request.
#[derive(Debug, Default)]
struct Simulation {
    runs: u32,
    sent: u32,
    attempts: usize,
    end: Option<Decision>,
}

/// Simulates a request to servers with the given `faults` until `decide` ends it.
fn simulate(faults: &[Fault], mut decide: impl FnMut(Ending) -> Decision) -> Simulation {
    let mut simulation = Simulation::default();
    for fault in faults {
        simulation.runs += u32::from(fault.runs);
        simulation.sent += u32::from(fault.ending != Ending::Unreachable);
        simulation.attempts += 1;
        let next = decide(fault.ending);
        if next != Decision::Retry {
            simulation.end = Some(next);
            break;
        }
    }
    simulation
}

/// Returns the guarantee that a simulation violates.
fn violation(policy: Policy, simulation: &Simulation) -> Option<&'static str> {
    let claims_not_run = matches!(
        simulation.end,
        Some(Decision::Refuse(Reason::NoCapacity | Reason::NoServer))
    );
    if !policy.is_idempotent && simulation.runs > 1 {
        return Some("ran twice");
    }
    if claims_not_run && simulation.runs > 0 {
        return Some("refused as not run although it ran");
    }
    if simulation.sent > policy.max_sent {
        return Some("sent too often");
    }
    None
}

fn decide(policy: Policy, is_worth_retry: bool) -> impl FnMut(Ending) -> Decision {
    let mut attempts = Attempts::default();
    move |ending| attempts.decide(policy, ending, is_worth_retry)
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(31), ..Config::with_cases(2_000) })]

    #[test]
    fn request_runs_at_most_once_and_refusals_are_truthful(
        faults in prop::collection::vec(fault(), 12),
        is_idempotent: bool,
        max_sent in 1_u32..5,
        is_worth_retry: bool,
    ) {
        let policy = Policy { is_idempotent, max_sent };
        let simulation = simulate(&faults, decide(policy, is_worth_retry));
        prop_assert_eq!(violation(policy, &simulation), None, "{:?}", simulation);
        prop_assert!(simulation.end.is_some(), "request never ends: {:?}", simulation);
        prop_assert!(simulation.attempts <= 12);
    }
}

/// Checks that [`violation`] detects each kind of wrong decision.
#[test]
fn wrong_decisions_are_detected() {
    let policy = Policy {
        is_idempotent: false,
        max_sent: 3,
    };
    let broken = Fault {
        ending: Ending::ConnectionLost,
        runs: true,
    };
    let repeated_run = simulate(&[broken; 4], |_| Decision::Retry);
    assert_eq!(violation(policy, &repeated_run), Some("ran twice"));
    let false_refusal = simulate(&[broken], |_| Decision::Refuse(Reason::NoCapacity));
    assert_eq!(
        violation(policy, &false_refusal),
        Some("refused as not run although it ran")
    );
    let not_run = Fault {
        ending: Ending::NotRun,
        runs: false,
    };
    let excess_attempts = simulate(&[not_run; 6], |_| Decision::Retry);
    assert_eq!(violation(policy, &excess_attempts), Some("sent too often"));
}

#[test]
fn rejected_attempt_is_retried_and_broken_one_is_not() {
    let policy = Policy {
        is_idempotent: false,
        max_sent: 2,
    };
    let mut attempts = Attempts::default();
    assert_eq!(
        attempts.decide(policy, Ending::NotRun, true),
        Decision::Retry
    );
    let answer_lost = Decision::Refuse(Reason::AnswerLost);
    assert_eq!(
        attempts.decide(policy, Ending::ConnectionLost, true),
        answer_lost
    );
    assert_eq!(attempts.exhausted_reason(), Reason::AnswerLost);
    assert_eq!(attempts.timeout_reason(), Reason::TimedOut);
}
