//! Tests of the interpreter and of every chart.

use assert_matches::assert_matches;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::{Chart, ChartError, Label, backend, entry, key, operation, rollout, shift};

/// Number of events in one random walk.
const WALK_STEPS: usize = 40;

/// Applies the events at `choices` and checks that final states have no transitions and that a final
/// state is reachable from every visited state.
fn walk<S: Label, E: Label>(chart: &Chart<S, E>, choices: &[prop::sample::Index]) {
    let mut state = chart.initial();
    for choice in choices {
        let event = *choice.get(E::ALL);
        let next = chart.next(state, event);
        if chart.is_final(state) {
            assert_eq!(next, None);
        }
        state = next.unwrap_or(state);
        assert!(
            reaches_final(chart, state),
            "no final state is reachable from {state:?}"
        );
    }
}

fn reaches_final<S: Label, E: Label>(chart: &Chart<S, E>, from: S) -> bool {
    let mut reached = vec![from];
    let mut next = 0;
    while next < reached.len() {
        let state = reached[next];
        next += 1;
        if chart.is_final(state) {
            return true;
        }
        let targets = E::ALL.iter().filter_map(|event| chart.next(state, *event));
        for target in targets {
            if !reached.contains(&target) {
                reached.push(target);
            }
        }
    }
    false
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_state_reaches_final_state(
        choices in proptest::collection::vec(any::<prop::sample::Index>(), WALK_STEPS)
    ) {
        walk(&backend::load().unwrap(), &choices);
        walk(&entry::load().unwrap(), &choices);
        walk(&key::load().unwrap(), &choices);
        walk(&operation::load().unwrap(), &choices);
        walk(&rollout::load().unwrap(), &choices);
        walk(&shift::load().unwrap(), &choices);
    }
}

fn load(body: &str) -> Result<Chart<key::State, key::Event>, ChartError> {
    let head = r#"<scxml xmlns="http://www.w3.org/2005/07/scxml" version="1.0" initial="given">"#;
    Chart::new(&format!("{head}{body}</scxml>"))
}

#[test]
fn load_rejects_names_missing_in_code() {
    let event = r#"<state id="given"><transition event="revive" target="withdrawn"/></state>
        <final id="withdrawn"/>"#;
    assert_matches!(load(event), Err(ChartError::UnknownEvent(name)) if name == "revive");
    let state = r#"<state id="given"><transition event="withdraw" target="lost"/></state>
        <final id="lost"/>"#;
    assert_matches!(load(state), Err(ChartError::UnknownState(name)) if name == "lost");
}

#[test]
fn load_rejects_names_missing_in_chart() {
    assert_matches!(
        load(r#"<final id="given"/>"#),
        Err(ChartError::MissingState(_))
    );
    let unused = r#"<state id="given"/><final id="withdrawn"/>"#;
    assert!(load(unused).is_err());
}

#[test]
fn withdrawn_key_stays_withdrawn() {
    let chart = key::load().unwrap();
    let withdrawn = chart.next(key::State::Given, key::Event::Withdraw);
    assert_eq!(withdrawn, Some(key::State::Withdrawn));
    assert_eq!(
        chart.next(key::State::Withdrawn, key::Event::Withdraw),
        None
    );
}

#[test]
fn operation_with_unknown_result_never_runs_again() {
    let chart = operation::load().unwrap();
    for event in operation::Event::ALL {
        let next = chart.next(operation::State::Unknown, *event);
        assert_matches!(next, None | Some(operation::State::Expired));
    }
}
