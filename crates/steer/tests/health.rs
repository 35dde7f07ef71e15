//! Poor servers, told by their answers.

use std::time::{Duration, Instant};

use steer::health::{Health, Usual, usual};

const USUAL: Usual = Usual {
    latency_ms: Some(70.0),
    failures: 0.01,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Load pattern: one server works five times as long as the others.
#[test]
fn a_slow_server_is_left_alone_and_tried_again() {
    let begin = Instant::now();
    let mut health = Health::default();
    for turn in 0..6 {
        health.note_answer(ms(360), false, USUAL, begin + ms(turn));
    }
    assert!(health.is_avoided(begin + ms(500)));
    assert!(!health.is_avoided(begin + ms(900)));
    health.note_answer(ms(75), false, USUAL, begin + ms(1_000));
    assert!(
        !health.is_avoided(begin + ms(1_001)),
        "one fast answer clears it"
    );
}

/// Load pattern: a new server handles each object for the first time.
#[test]
fn a_server_that_is_new_to_its_objects_is_not_poor() {
    let begin = Instant::now();
    let mut health = Health::default();
    for turn in 0..20 {
        health.note_answer(ms(235), false, USUAL, begin + ms(turn));
    }
    assert!(!health.is_avoided(begin + ms(20)));
}

/// Load pattern: a server fails almost half of its requests at once.
#[test]
fn a_failing_server_is_left_alone_unless_all_fail() {
    let begin = Instant::now();
    let play = |usual| {
        let mut health = Health::default();
        (0..20).any(|turn| {
            health.note_answer(ms(70), turn % 2 == 0, usual, begin + ms(turn));
            health.is_avoided(begin + ms(turn))
        })
    };
    assert!(play(USUAL));
    let all_fail = Usual {
        failures: 0.45,
        ..USUAL
    };
    assert!(!play(all_fail));
}

/// Load pattern: a server loses power; its connections stay open and nothing comes.
#[test]
fn a_server_from_which_nothing_comes_is_silent() {
    let begin = Instant::now();
    let mut health = Health::default();
    health.note_sent(begin);
    health.note_sent(begin + ms(300));
    assert!(!health.is_silent(ms(400), begin + ms(400)));
    assert!(health.is_silent(ms(400), begin + ms(401)));
    health.note_answer(ms(500), false, USUAL, begin + ms(500));
    assert!(!health.is_silent(ms(400), begin + ms(2_000)));
}

#[test]
fn the_usual_is_the_median() {
    let servers = [
        (Some(70.0), 0.0),
        (Some(900.0), 0.5),
        (Some(80.0), 0.02),
        (None, 0.0),
    ];
    let usual = usual(servers.into_iter());
    assert_eq!(usual.latency_ms, Some(80.0));
    assert!(usual.failures < 0.05);
}
