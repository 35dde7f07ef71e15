//! Reuse of idle connections that backend servers close early.

use std::time::{Duration, Instant};

use steer::idle::Limit;

/// Load pattern: servers close idle connections after 320 ms but advertise ten seconds.
#[test]
fn idle_connections_are_reused_only_while_server_keeps_them() {
    let begin = Instant::now();
    let at = |ms| begin + Duration::from_millis(ms);
    let mut limit = Limit::default();
    let mut resets = 0;
    for index in 0..200_u64 {
        let age = Duration::from_millis(index * 37 % 900);
        let now = at(index * 50);
        if limit.allows(age, now) && age > Duration::from_millis(320) {
            resets += 1;
            limit.note_reset(age, now);
        }
    }
    assert!(resets <= 4, "{resets} requests were reset");
    assert!(limit.allows(Duration::from_millis(50), at(10_000)));
}

/// Load pattern: servers reset connections that were idle for a very short time.
#[test]
fn resets_after_short_idle_time_keep_limit() {
    let begin = Instant::now();
    let mut limit = Limit::default();
    for index in 0..50 {
        limit.note_reset(
            Duration::from_millis(30),
            begin + Duration::from_millis(index),
        );
    }
    assert!(limit.allows(Duration::from_secs(5), begin + Duration::from_millis(50)));
}

#[test]
fn limit_grows_without_resets() {
    let begin = Instant::now();
    let mut limit = Limit::default();
    limit.note_reset(Duration::from_millis(400), begin);
    let second = Duration::from_secs(1);
    assert!(!limit.allows(second, begin));
    assert!(limit.allows(second, begin + Duration::from_secs(15)));
}
