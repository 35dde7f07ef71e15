//! At most once, and true refusals, whatever servers do to a request.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use steer::retry::{Attempts, Decision, Ending, Policy, Reason};

/// What a server does with a request, and whether it runs it.
#[derive(Debug, Clone, Copy)]
struct Deed {
    ending: Ending,
    runs: bool,
}

fn deed() -> impl Strategy<Value = Deed> {
    let ran = |ending| Just(Deed { ending, runs: true });
    let unrun = |ending| {
        Just(Deed {
            ending,
            runs: false,
        })
    };
    prop_oneof![
        ran(Ending::Responded { failed: false }),
        ran(Ending::Responded { failed: true }),
        unrun(Ending::NotRun),
        unrun(Ending::Unreachable),
        ran(Ending::ConnectionLost),
        unrun(Ending::ConnectionLost),
        ran(Ending::TimedOut),
        unrun(Ending::TimedOut),
    ]
}

/// What became of a request.
#[derive(Debug, Default)]
struct Fate {
    runs: u32,
    sent: u32,
    tries: usize,
    end: Option<Decision>,
}

/// Sends a request to servers that do `deeds` until `decide` ends it.
fn follow(deeds: &[Deed], mut decide: impl FnMut(Ending) -> Decision) -> Fate {
    let mut fate = Fate::default();
    for deed in deeds {
        fate.runs += u32::from(deed.runs);
        fate.sent += u32::from(deed.ending != Ending::Unreachable);
        fate.tries += 1;
        let next = decide(deed.ending);
        if next != Decision::Retry {
            fate.end = Some(next);
            break;
        }
    }
    fate
}

/// Returns the promise that a fate breaks.
fn broken(terms: Policy, fate: &Fate) -> Option<&'static str> {
    let says_not_run = matches!(
        fate.end,
        Some(Decision::Refuse(Reason::NoCapacity | Reason::NoServer))
    );
    if !terms.is_idempotent && fate.runs > 1 {
        return Some("it ran twice");
    }
    if says_not_run && fate.runs > 0 {
        return Some("it is said not to have run");
    }
    if fate.sent > terms.max_sent {
        return Some("it was sent too often");
    }
    None
}

fn decide(terms: Policy, worth: bool) -> impl FnMut(Ending) -> Decision {
    let mut tries = Attempts::default();
    move |ending| tries.decide(terms, ending, worth)
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(31), ..Config::with_cases(2_000) })]

    #[test]
    fn a_request_runs_once_at_most_and_refusals_are_true(
        deeds in prop::collection::vec(deed(), 12),
        is_idempotent: bool,
        max_sent in 1_u32..5,
        worth: bool,
    ) {
        let terms = Policy { is_idempotent, max_sent };
        let fate = follow(&deeds, decide(terms, worth));
        prop_assert_eq!(broken(terms, &fate), None, "{:?}", fate);
        prop_assert!(fate.end.is_some(), "it never ends: {:?}", fate);
        prop_assert!(fate.tries <= 12);
    }
}

/// A decision that is wrong in one way is found by the same deeds.
#[test]
fn planted_faults_are_found() {
    let terms = Policy {
        is_idempotent: false,
        max_sent: 3,
    };
    let lost = Deed {
        ending: Ending::ConnectionLost,
        runs: true,
    };
    let resends = follow(&[lost; 4], |_| Decision::Retry);
    assert_eq!(broken(terms, &resends), Some("it ran twice"));
    let lies = follow(&[lost], |_| Decision::Refuse(Reason::NoCapacity));
    assert_eq!(broken(terms, &lies), Some("it is said not to have run"));
    let unrun = Deed {
        ending: Ending::NotRun,
        runs: false,
    };
    let hammers = follow(&[unrun; 6], |_| Decision::Retry);
    assert_eq!(broken(terms, &hammers), Some("it was sent too often"));
}

#[test]
fn what_was_rejected_goes_on_and_what_broke_does_not() {
    let terms = Policy {
        is_idempotent: false,
        max_sent: 2,
    };
    let mut tries = Attempts::default();
    assert_eq!(tries.decide(terms, Ending::NotRun, true), Decision::Retry);
    let lost = Decision::Refuse(Reason::AnswerLost);
    assert_eq!(tries.decide(terms, Ending::ConnectionLost, true), lost);
    assert_eq!(tries.exhausted_reason(), Reason::AnswerLost);
    assert_eq!(tries.timeout_reason(), Reason::TimedOut);
}
