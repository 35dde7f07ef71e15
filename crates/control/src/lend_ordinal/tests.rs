//! Tests of ordinals.

use std::collections::BTreeSet;

use timer::Moment;

use super::{Absences, HOLD_MS, Ordinals, Plan};

fn ordinals(holders: &[&str]) -> Ordinals {
    Ordinals {
        holders: holders.iter().map(ToString::to_string).collect(),
    }
}

fn listed(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(ToString::to_string).collect()
}

#[test]
fn claims_free_ordinal_once_vm_is_listed() {
    let mut absences = Absences::default();
    let taken = ordinals(&["a"]);
    let unlisted = absences.plan("b", &taken, 2, &listed(&["a"]), Moment(0));
    assert_eq!(unlisted, Plan::Wait);
    let claim = absences.plan("b", &taken, 2, &listed(&["a", "b"]), Moment(0));
    assert_eq!(claim, Plan::Claim(ordinals(&["a", "b"])));
    let full = absences.plan("b", &taken, 1, &listed(&["a", "b"]), Moment(0));
    assert_eq!(full, Plan::Wait);
}

#[test]
fn restarted_vm_keeps_its_ordinal() {
    let mut absences = Absences::default();
    let plan = absences.plan("a", &ordinals(&["a"]), 1, &listed(&[]), Moment(0));
    assert_eq!(plan, Plan::Held);
}

#[test]
fn ordinal_passes_on_only_after_holder_is_missing_for_hold_time() {
    let mut absences = Absences::default();
    let taken = ordinals(&["a"]);
    let mut plan = |names: &[&str], now| absences.plan("b", &taken, 1, &listed(names), now);
    assert_eq!(plan(&["b"], Moment(0)), Plan::Wait);
    assert_eq!(plan(&["a", "b"], Moment(HOLD_MS - 1)), Plan::Wait);
    assert_eq!(plan(&["b"], Moment(HOLD_MS)), Plan::Wait);
    assert_eq!(plan(&["b"], Moment(2 * HOLD_MS - 1)), Plan::Wait);
    let claim = Plan::Claim(ordinals(&["b"]));
    assert_eq!(plan(&["b"], Moment(2 * HOLD_MS)), claim);
}

#[test]
fn holder_beyond_reduced_count_has_no_ordinal() {
    let mut absences = Absences::default();
    let names = listed(&["a", "b"]);
    let plan = absences.plan("b", &ordinals(&["a", "b"]), 1, &names, Moment(0));
    assert_eq!(plan, Plan::Wait);
}
