//! Estimated load of backend servers.

use std::time::{Duration, Instant};

use steer::load::Load;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn is_close(value: f64, expected: f64) -> bool {
    (value - expected).abs() < 1e-9
}

#[test]
fn reported_load_counts_own_requests_once_and_decays() {
    let begin = Instant::now();
    let mut load = Load::new(begin);
    load.begin(begin);
    load.begin(begin);
    // Five running and one waiting: the one just responded to, another of this VM, four of others.
    load.note_reported(5, 1, begin + ms(100));
    load.end(begin + ms(100));
    assert!(is_close(load.estimate(|| 12.0, begin + ms(400)), 6.0));
    assert!(is_close(load.estimate(|| 12.0, begin + ms(1_100)), 3.5));
}

/// Load pattern: twelve VMs share a server that does not report its load and is full half of the time.
/// A VM's estimate has to stay close to the actual total.
#[test]
fn unreported_load_is_estimated_from_own_mean() {
    let begin = Instant::now();
    let mut load = Load::new(begin);
    for second in 0..20 {
        let at = begin + Duration::from_secs(second);
        load.begin(at);
        load.end(at + ms(250));
    }
    let estimate = load.estimate(|| 12.0, begin + ms(20_000));
    assert!((1.5..4.0).contains(&estimate), "{estimate}");
}
