//! Tests of the individual types.

use timer::Moment;
use wire::lend::{Request, Seq};

use crate::{Holder, Lender, Relay, Split, fair};

const TERM_MS: u64 = 60_000;

const NO_LIMIT: Moment = Moment(u64::MAX);

/// Sends one request and applies the grant at the same moment.
fn renew(lender: &mut Lender<u8>, name: u8, holder: &mut Holder, wanted: u64, now: Moment) -> u64 {
    let request = holder.request(wanted, 0, now);
    let grant = lender
        .grant(&name, &request, NO_LIMIT, now)
        .expect("a new request");
    assert!(holder.accept(&grant));
    holder.lent(now)
}

#[test]
fn small_demands_are_met_in_full() {
    assert_eq!(fair::share(90, 10, &[100, 100]), 10);
    assert_eq!(fair::share(90, 100, &[10, 100]), 40);
    assert_eq!(fair::share(30, 5, &[10, 20]), 5);
    assert_eq!(fair::share(0, 5, &[]), 0);
}

#[test]
fn surplus_is_divided_evenly() {
    assert_eq!(fair::share(90, 0, &[10, 20]), 20);
    assert_eq!(fair::share(90, 20, &[10, 0]), 40);
}

#[test]
fn share_grows_only_after_reduction_of_others_is_confirmed() {
    let mut lender = Lender::new(100, TERM_MS);
    let (mut first, mut second) = (Holder::new(1), Holder::new(1));
    assert_eq!(renew(&mut lender, 1, &mut first, 100, Moment(0)), 100);
    assert_eq!(renew(&mut lender, 2, &mut second, 100, Moment(10)), 0);
    let request = first.request(100, 0, Moment(20));
    let reduced = lender
        .grant(&1, &request, NO_LIMIT, Moment(20))
        .expect("new");
    assert_eq!(reduced.amount, 50);
    assert_eq!(renew(&mut lender, 2, &mut second, 100, Moment(30)), 0);
    assert!(first.accept(&reduced));
    assert_eq!(renew(&mut lender, 1, &mut first, 100, Moment(40)), 50);
    assert_eq!(renew(&mut lender, 2, &mut second, 100, Moment(50)), 50);
}

#[test]
fn silent_holder_keeps_share_until_term_expires() {
    let mut lender = Lender::new(100, TERM_MS);
    let (mut silent, mut other) = (Holder::new(1), Holder::new(1));
    assert_eq!(renew(&mut lender, 2, &mut other, 40, Moment(0)), 100);
    assert_eq!(renew(&mut lender, 1, &mut silent, 60, Moment(1)), 0);
    assert_eq!(renew(&mut lender, 2, &mut other, 40, Moment(2)), 40);
    assert_eq!(renew(&mut lender, 2, &mut other, 40, Moment(3)), 40);
    assert_eq!(renew(&mut lender, 1, &mut silent, 60, Moment(4)), 60);
    let before_expiry = Moment(TERM_MS + 3);
    assert_eq!(silent.lent(before_expiry), 60);
    assert_eq!(renew(&mut lender, 2, &mut other, 100, before_expiry), 40);
    assert_eq!(silent.lent(Moment(TERM_MS + 4)), 0);
    let after_margin = Moment(TERM_MS + 1_000);
    assert_eq!(renew(&mut lender, 2, &mut other, 100, after_margin), 100);
}

#[test]
fn leaving_holder_returns_share_immediately() {
    let mut lender = Lender::new(100, TERM_MS);
    let (mut leaving, mut other) = (Holder::new(1), Holder::new(1));
    assert_eq!(renew(&mut lender, 1, &mut leaving, 100, Moment(0)), 100);
    let request = leaving.leave(0, Moment(10));
    assert_eq!(leaving.lent(Moment(10)), 0);
    let empty_grant = lender
        .grant(&1, &request, NO_LIMIT, Moment(10))
        .expect("new");
    assert_eq!(empty_grant.amount, 0);
    assert_eq!(renew(&mut lender, 2, &mut other, 100, Moment(30)), 100);
}

#[test]
fn amount_still_in_use_counts_after_return_of_share() {
    let mut lender = Lender::new(10, TERM_MS);
    let mut holder = Holder::new(1);
    assert_eq!(renew(&mut lender, 1, &mut holder, 10, Moment(0)), 10);
    let request = holder.leave(8, Moment(10));
    lender
        .grant(&1, &request, NO_LIMIT, Moment(10))
        .expect("new");
    assert_eq!(lender.outstanding(Moment(10)), 8);
    let request = holder.leave(7, Moment(20));
    lender
        .grant(&1, &request, NO_LIMIT, Moment(20))
        .expect("new");
    assert_eq!(lender.outstanding(Moment(20)), 7);
}

#[test]
fn lower_total_takes_effect_when_holders_confirm() {
    let mut lender = Lender::new(100, TERM_MS);
    let (mut first, mut second) = (Holder::new(1), Holder::new(1));
    assert_eq!(renew(&mut lender, 1, &mut first, 80, Moment(0)), 100);
    lender.resize(40);
    assert_eq!(renew(&mut lender, 2, &mut second, 80, Moment(10)), 0);
    assert_eq!(renew(&mut lender, 1, &mut first, 80, Moment(20)), 20);
    assert_eq!(renew(&mut lender, 1, &mut first, 80, Moment(30)), 20);
    assert_eq!(renew(&mut lender, 2, &mut second, 80, Moment(40)), 20);
    assert_eq!(lender.outstanding(Moment(50)), 40);
}

#[test]
fn successor_only_renews_until_it_is_settled() {
    let mut old = Lender::new(100, TERM_MS);
    let (mut first, mut second) = (Holder::new(1), Holder::new(1));
    old.resize(30);
    assert_eq!(renew(&mut old, 1, &mut first, 30, Moment(0)), 30);
    let mut new = Lender::new(100, TERM_MS).with_predecessor(Moment(100));
    assert_eq!(renew(&mut new, 1, &mut first, 90, Moment(200)), 30);
    new.settle(|reported| reported == [&1, &2]);
    assert_eq!(renew(&mut new, 1, &mut first, 90, Moment(300)), 30);
    assert_eq!(renew(&mut new, 2, &mut second, 0, Moment(400)), 0);
    new.settle(|reported| reported == [&1, &2]);
    assert_eq!(renew(&mut new, 1, &mut first, 90, Moment(500)), 95);
}

#[test]
fn loan_of_previous_lender_remains_usable_until_expiry() {
    let (mut old, mut new) = (Lender::new(60, TERM_MS), Lender::new(30, TERM_MS));
    let mut holder = Holder::new(1);
    assert_eq!(renew(&mut old, 1, &mut holder, 60, Moment(0)), 60);
    let outdated = holder.request(60, 0, Moment(5));
    let outdated = old.grant(&1, &outdated, NO_LIMIT, Moment(5)).expect("new");
    holder.change_lender(Moment(10));
    assert!(!holder.accept(&outdated));
    assert_eq!(renew(&mut new, 1, &mut holder, 60, Moment(1_000)), 90);
    assert_eq!(holder.expiry(Moment(1_000)), Moment(TERM_MS));
    let request = holder.request(60, 70, Moment(2_000));
    assert_eq!(request.in_use, Some(30));
    assert_eq!(holder.lent(Moment(TERM_MS)), 30);
    assert_eq!(holder.expiry(Moment(TERM_MS)), Moment(TERM_MS + 1_000));
}

#[test]
fn outdated_grants_and_requests_are_ignored() {
    let mut lender = Lender::new(100, TERM_MS);
    let mut holder = Holder::new(1);
    let first_request = holder.request(80, 0, Moment(0));
    let outdated = lender
        .grant(&1, &first_request, NO_LIMIT, Moment(0))
        .expect("new");
    lender.resize(10);
    assert_eq!(renew(&mut lender, 1, &mut holder, 10, Moment(10)), 10);
    assert!(!holder.accept(&outdated));
    assert_eq!(holder.lent(Moment(10)), 10);
    assert_eq!(lender.grant(&1, &first_request, NO_LIMIT, Moment(20)), None);
}

#[test]
fn relay_lends_within_its_own_term() {
    let mut owner = Lender::new(100, TERM_MS);
    let mut relay: Relay<u8> = Relay::new(1, Lender::new(0, TERM_MS));
    let request = Request {
        seq: Seq::default(),
        in_use: Some(0),
        wanted: 70,
        predecessors_expired: true,
        leaving: false,
    };
    let first = Request {
        seq: Seq {
            epoch: 1,
            number: 1,
        },
        ..request
    };
    let empty_grant = relay.grant(&1, &first, Moment(0)).expect("new");
    assert_eq!(empty_grant.amount, 0);
    let request_to_owner = relay.request(Moment(0));
    assert_eq!(request_to_owner.wanted, 70);
    let grant_from_owner = owner
        .grant(&1, &request_to_owner, NO_LIMIT, Moment(0))
        .expect("new");
    assert!(relay.accept(&grant_from_owner));
    let second = Request {
        seq: Seq {
            epoch: 1,
            number: 2,
        },
        ..request
    };
    let lent_part = relay.grant(&1, &second, Moment(1_000)).expect("new");
    assert_eq!(lent_part.amount, 100);
    assert!(1_000 + lent_part.term_ms < TERM_MS);
}

#[test]
fn base_shares_reserve_and_pool_sum_to_total() {
    let split = Split::with_percents(1_000, 6, 30, 40);
    assert_eq!(split.base_share(2), 25);
    assert_eq!(
        split.pool() + split.reserve() + 12 * split.base_share(2),
        1_000
    );
    assert_eq!(split.base_share(0), 0);
}
