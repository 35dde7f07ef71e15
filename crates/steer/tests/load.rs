//! What a VM believes of a server's load.

use std::time::{Duration, Instant};

use steer::load::Load;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn near(value: f64, wanted: f64) -> bool {
    (value - wanted).abs() < 1e-9
}

#[test]
fn a_told_load_counts_others_once_and_fades() {
    let begin = Instant::now();
    let mut load = Load::new(begin);
    load.begin(begin);
    load.begin(begin);
    // Five run and one waits: the answered one, another of this VM, and four of others.
    load.note_reported(5, 1, begin + ms(100));
    load.end(begin + ms(100));
    assert!(near(load.estimate(|| 12.0, begin + ms(400)), 6.0));
    assert!(near(load.estimate(|| 12.0, begin + ms(1_100)), 3.5));
}

/// Load pattern: twelve VMs share a server that does not tell its load and is full half of the
/// time. What one VM believes has to stay near what all have there.
#[test]
fn an_untold_load_is_what_the_other_vms_have_on_average() {
    let begin = Instant::now();
    let mut load = Load::new(begin);
    for second in 0..20 {
        let at = begin + Duration::from_secs(second);
        load.begin(at);
        load.end(at + ms(250));
    }
    let believed = load.estimate(|| 12.0, begin + ms(20_000));
    assert!((1.5..4.0).contains(&believed), "{believed}");
}
