//! Tests of seats.

use std::collections::BTreeSet;

use timer::Moment;

use super::{HOLD_MS, Plan, Seats, Watch};

fn seats(holders: &[&str]) -> Seats {
    Seats {
        holders: holders.iter().map(ToString::to_string).collect(),
    }
}

fn listed(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(ToString::to_string).collect()
}

#[test]
fn free_seat_is_claimed_once_the_vm_is_listed() {
    let mut watch = Watch::default();
    let taken = seats(&["a"]);
    let unlisted = watch.plan("b", &taken, 2, &listed(&["a"]), Moment(0));
    assert_eq!(unlisted, Plan::Wait);
    let claim = watch.plan("b", &taken, 2, &listed(&["a", "b"]), Moment(0));
    assert_eq!(claim, Plan::Claim(seats(&["a", "b"])));
    let full = watch.plan("b", &taken, 1, &listed(&["a", "b"]), Moment(0));
    assert_eq!(full, Plan::Wait);
}

#[test]
fn restarted_vm_finds_its_seat() {
    let mut watch = Watch::default();
    let plan = watch.plan("a", &seats(&["a"]), 1, &listed(&[]), Moment(0));
    assert_eq!(plan, Plan::Have);
}

#[test]
fn seat_passes_on_only_after_its_holder_was_missing_for_the_holding_time() {
    let mut watch = Watch::default();
    let taken = seats(&["a"]);
    let mut plan = |names: &[&str], now| watch.plan("b", &taken, 1, &listed(names), now);
    assert_eq!(plan(&["b"], Moment(0)), Plan::Wait);
    assert_eq!(plan(&["a", "b"], Moment(HOLD_MS - 1)), Plan::Wait);
    assert_eq!(plan(&["b"], Moment(HOLD_MS)), Plan::Wait);
    assert_eq!(plan(&["b"], Moment(2 * HOLD_MS - 1)), Plan::Wait);
    let claim = Plan::Claim(seats(&["b"]));
    assert_eq!(plan(&["b"], Moment(2 * HOLD_MS)), claim);
}

#[test]
fn holder_beyond_a_lowered_number_of_seats_has_none() {
    let mut watch = Watch::default();
    let names = listed(&["a", "b"]);
    let plan = watch.plan("b", &seats(&["a", "b"]), 1, &names, Moment(0));
    assert_eq!(plan, Plan::Wait);
}
