//! Idle connections that backend servers forget.

use std::time::{Duration, Instant};

use steer::idle::Limit;

/// Load pattern: servers forget connections after 320 ms, though they say ten seconds.
#[test]
fn connections_are_used_again_only_while_they_are_remembered() {
    let begin = Instant::now();
    let at = |ms| begin + Duration::from_millis(ms);
    let mut limit = Limit::default();
    let mut resets = 0;
    for turn in 0..200_u64 {
        let age = Duration::from_millis(turn * 37 % 900);
        let now = at(turn * 50);
        if limit.allows(age, now) && age > Duration::from_millis(320) {
            resets += 1;
            limit.note_reset(age, now);
        }
    }
    assert!(resets <= 4, "{resets} requests were lost");
    assert!(limit.allows(Duration::from_millis(50), at(10_000)));
}

/// Load pattern: servers reset connections on which requests follow each other closely.
#[test]
fn resets_of_busy_connections_teach_nothing() {
    let begin = Instant::now();
    let mut limit = Limit::default();
    for turn in 0..50 {
        limit.note_reset(
            Duration::from_millis(30),
            begin + Duration::from_millis(turn),
        );
    }
    assert!(limit.allows(Duration::from_secs(5), begin + Duration::from_millis(50)));
}

#[test]
fn the_limit_grows_again() {
    let begin = Instant::now();
    let mut limit = Limit::default();
    limit.note_reset(Duration::from_millis(400), begin);
    let second = Duration::from_secs(1);
    assert!(!limit.allows(second, begin));
    assert!(limit.allows(second, begin + Duration::from_secs(15)));
}
