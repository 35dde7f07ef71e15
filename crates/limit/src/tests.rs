//! Unit tests of buckets and demand.

use assert_matches::assert_matches;
use timer::Moment;
use wire::lend::FULL_SHARE;

use crate::{Allowance, Bucket, Demand, Share, Wait};

fn take_all(bucket: &mut Bucket, now: Moment) -> usize {
    std::iter::repeat_with(|| bucket.take(now))
        .take_while(Result::is_ok)
        .count()
}

#[test]
fn bucket_starts_empty_and_fills_to_its_burst() {
    let share = Share::new(FULL_SHARE);
    let mut bucket = Bucket::new(Allowance::new(100.0, 50.5), share, Moment(0));
    assert_eq!(take_all(&mut bucket, Moment(0)), 0);
    assert_eq!(take_all(&mut bucket, Moment(101)), 10);
    assert_eq!(take_all(&mut bucket, Moment(100_000)), 50);
}

#[test]
fn smaller_share_drops_tokens_and_larger_share_adds_none() {
    let allowance = Allowance::new(100.0, 51.0);
    let full = Share::new(FULL_SHARE);
    let mut bucket = Bucket::new(allowance, full, Moment(0));
    bucket.set(allowance, Share::new(FULL_SHARE / 5), Moment(10_000));
    bucket.set(allowance, full, Moment(10_000));
    assert_eq!(take_all(&mut bucket, Moment(10_000)), 10);
}

#[test]
fn expired_lent_share_admits_nothing_after_pause() {
    let allowance = Allowance::new(100.0, 51.0);
    let lent = Share::new(FULL_SHARE / 10).with_lent(FULL_SHARE / 10 * 9, Moment(60_000));
    let mut bucket = Bucket::new(allowance, lent, Moment(0));
    assert_eq!(take_all(&mut bucket, Moment(59_999)), 50);
    let mut bucket = Bucket::new(allowance, lent, Moment(0));
    assert_eq!(take_all(&mut bucket, Moment(60_000)), 5);
    assert_eq!(take_all(&mut bucket, Moment(61_001)), 5);
}

#[test]
fn fast_clock_admits_no_more_than_the_rate() {
    let mut bucket = Bucket::new(
        Allowance::new(100.0, 1e6),
        Share::new(FULL_SHARE),
        Moment(0),
    );
    let hour_on_fast_clock = Moment(3_600_000 + 1_800);
    let admitted = take_all(&mut bucket, hour_on_fast_clock);
    assert_matches!(admitted, 359_990..=360_000);
}

#[test]
fn wait_ends_when_next_request_is_admitted() {
    let share = Share::new(FULL_SHARE / 2);
    let mut bucket = Bucket::new(Allowance::new(100.0, 10.0), share, Moment(0));
    let wait = bucket.take(Moment(0)).unwrap_err();
    assert_eq!(wait, Wait { ms: Some(20) });
    assert_matches!(bucket.take(Moment(21)), Ok(()));
    let mut too_small = Bucket::new(
        Allowance::new(100.0, 10.0),
        Share::new(FULL_SHARE / 20),
        Moment(0),
    );
    assert_matches!(too_small.take(Moment(100_000)), Err(Wait { ms: None }));
}

#[test]
fn demand_rises_at_once_and_expires() {
    let allowance = Allowance::new(100.0, 40.0);
    let mut demand = Demand::new();
    assert_eq!(demand.wanted(&allowance, Moment(1_000)), 0);
    for ms in 0..40 {
        demand.count(Moment(2_000 + 10 * ms));
    }
    assert_eq!(demand.wanted(&allowance, Moment(2_400)), FULL_SHARE / 2);
    assert_eq!(demand.wanted(&allowance, Moment(10_000)), 0);
}
