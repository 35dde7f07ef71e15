//! Mean used to estimate the load of servers that do not report it.

use std::time::{Duration, Instant};

use steer::mean::Mean;

/// Load pattern: one request of 200 ms per second, as one of many entry VMs sends to a server. The mean
/// has to stay close to a fifth of a request instead of alternating between none and one.
#[test]
fn mean_of_alternating_value_is_steady() {
    let begin = Instant::now();
    let mut mean = Mean::new(begin);
    for second in 0..20 {
        let at = begin + Duration::from_secs(second);
        mean = mean.after(0, at);
        mean = mean.after(1, at + Duration::from_millis(200));
        let before = mean.after(0, at + Duration::from_millis(999));
        if second > 6 {
            assert!((0.1..0.35).contains(&mean.value()), "{mean:?}");
            assert!((0.1..0.35).contains(&before.value()), "{before:?}");
        }
    }
}

#[test]
fn mean_of_constant_value_is_that_value() {
    let begin = Instant::now();
    let mean = Mean::new(begin).after(5, begin + Duration::from_secs(30));
    assert!((mean.value() - 5.0).abs() < 1e-6);
}
