//! Objects that begin elsewhere: how fast they move, and that they follow waves of load.

#![allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use steer::spill::{Shares, Spill, Utilization};

/// Largest change of a region's share within two seconds that the fleet allows.
const MAX_SHIFT: f64 = 0.15;

/// Time between two looks, in seconds.
const TICK_S: f64 = 0.3;

/// Load pattern: a wave reaches a zone with a sixth of the slots that its callers need, while the
/// other regions are idle. Work has to move away while it is high and to come back afterwards.
#[test]
fn a_wave_moves_objects_away_and_back() {
    let mut spill = Spill::default();
    let busy = |zone| Utilization {
        zone,
        region: Some(zone),
        far: Some(0.3),
    };
    for _ in 0..40 {
        spill = spill.after(busy(1.5), TICK_S);
    }
    assert!(spill.region > 0.4, "only {} moved away", spill.region);
    for _ in 0..80 {
        spill = spill.after(busy(0.3), TICK_S);
    }
    assert!(spill.region < 0.05, "{} stayed away", spill.region);
}

#[test]
fn nothing_moves_to_servers_that_are_as_busy() {
    let busy = Utilization {
        zone: 1.4,
        region: Some(1.4),
        far: Some(1.35),
    };
    assert_eq!(Spill::default().after(busy, TICK_S), Spill::default());
}

#[test]
fn a_region_with_a_third_of_the_callers_and_a_sixth_of_the_slots_begins_with_half_away() {
    let shares = Shares {
        zone_slots: 1.0 / 12.0,
        region_slots: 1.0 / 6.0,
        zone_callers: 1.0 / 6.0,
        region_callers: 1.0 / 3.0,
    };
    let spill = Spill::initial(shares);
    assert!((spill.region - 0.5).abs() < 1e-9);
    assert!(spill.zone.abs() < 1e-9);
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(11), ..Config::with_cases(2_000) })]

    #[test]
    fn no_load_moves_more_than_the_bound_within_two_windows(
        loads in prop::collection::vec((0.0..3.0_f64, 0.0..3.0_f64, 0.0..3.0_f64), 14..40),
        start in 0.0..1.0_f64,
    ) {
        let mut spill = Spill { zone: start, region: start };
        let mut parts = vec![start];
        for (zone, region, far) in loads {
            let busy = Utilization { zone, region: Some(region), far: Some(far) };
            spill = spill.after(busy, TICK_S);
            prop_assert!((0.0..=1.0).contains(&spill.region));
            parts.push(spill.region);
        }
        // Two windows of two seconds: their means differ by no more than the part moves in two.
        let span = (2.0 / TICK_S) as usize + 1;
        for pair in parts.windows(span) {
            let moved = (pair[0] - pair[span - 1]).abs();
            prop_assert!(moved <= MAX_SHIFT * 0.75, "{moved} moved in two seconds");
        }
    }
}
