//! Sums over the fleet that hold without asking anyone: repeats, cold servers, splits.

#![allow(clippy::cast_precision_loss)]

use std::time::{Duration, Instant};

use fleet::Target;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use steer::budget::{Budget, Limit};
use steer::owner::max_per_s;
use steer::placement::hash;
use steer::split::Split;
use steer::warmup::Warmup;

fn fixed(cases: u32) -> Config {
    Config {
        rng_seed: RngSeed::Fixed(5),
        ..Config::with_cases(cases)
    }
}

/// Time that a process takes to start anew.
const START: Duration = Duration::from_millis(500);

const BOUND: Limit = Limit {
    window: Duration::from_secs(10),
    ratio: 0.2,
    extra: 56.0,
};

proptest! {
    #![proptest_config(fixed(2_000))]

    #[test]
    fn repeats_over_all_vms_stay_within_the_bound(
        vms in 1..20_usize,
        requests in 0..60_usize,
        wanted in 0..200_usize,
    ) {
        let now = Instant::now();
        let mut repeats = 0;
        let at = now + BOUND.window;
        for _ in 0..vms {
            let mut budget = Budget::new(BOUND);
            for _ in 0..requests {
                budget.note_request(at);
            }
            repeats += (0..wanted).filter(|_| budget.take(vms, at)).count();
        }
        let most = (requests * vms) as f64 * BOUND.ratio + BOUND.extra;
        prop_assert!(repeats as f64 <= most, "{repeats} of {most}");
    }

    #[test]
    fn repeats_of_processes_that_start_anew_stay_within_the_bound(
        vms in 1..20_usize,
        ends in prop::collection::vec(100..4_000_u64, 1..8),
        requests in 0..30_usize,
    ) {
        let mut now = Instant::now();
        let mut repeats: Vec<Instant> = Vec::new();
        let mut starts: Vec<Instant> = Vec::new();
        for up_ms in &ends {
            let mut budgets: Vec<Budget> = (0..vms).map(|_| Budget::new(BOUND)).collect();
            for ms in (0..*up_ms).step_by(50) {
                let at = now + Duration::from_millis(ms);
                for budget in &mut budgets {
                    if ms == 0 {
                        (0..requests).for_each(|_| budget.note_request(at));
                    }
                    while budget.take(vms, at) {
                        repeats.push(at);
                    }
                }
            }
            starts.push(now);
            now += Duration::from_millis(*up_ms) + START;
        }
        for (index, first) in repeats.iter().enumerate() {
            let within = |at: &&Instant| at.duration_since(*first) < BOUND.window;
            let count = repeats[index..].iter().take_while(within).count();
            let counted = starts.iter().filter(|at| **at + BOUND.window > *first && within(at));
            let asked = counted.count() * requests * vms;
            let most = (asked as f64).mul_add(BOUND.ratio, BOUND.extra);
            prop_assert!(count as f64 <= most, "{count} of {most}");
        }
    }

    #[test]
    fn a_cold_server_gets_less_than_its_bound_from_two_owners(
        per_s in 5.0..60.0_f64,
        asks in prop::collection::vec(0..40_u64, 1..200),
    ) {
        let bound = per_s * 1.5 + 5.0;
        let begin = Instant::now();
        let mut sent: Vec<Instant> = Vec::new();
        for _ in 0..2 {
            let mut cold = Warmup::default();
            cold.note_heartbeat(Duration::from_mins(1), None, begin);
            let mut now = begin;
            for gap in &asks {
                now += Duration::from_millis(*gap);
                if cold.allows(max_per_s(bound, 1.0), now) {
                    cold.reserve();
                    cold.note_sent(now);
                    sent.push(now);
                }
            }
        }
        sent.sort_unstable();
        for (index, first) in sent.iter().enumerate() {
            let within = |at: &&Instant| at.duration_since(*first) < Duration::from_secs(1);
            let count = sent[index..].iter().take_while(within).count();
            prop_assert!(count as f64 <= bound, "{count} of {bound}");
        }
    }

    #[test]
    fn a_split_keeps_its_weights(weight in 1..99_u32, objects in 1..40_u64, seed: u64) {
        let targets = [
            Target { service: "a".to_owned(), weight: f64::from(weight) },
            Target { service: "b".to_owned(), weight: f64::from(100 - weight) },
        ];
        let mut split = Split::default();
        let first = (0..300_u64).filter(|turn| {
            let object = hash(&(seed ^ (turn * 7 % objects)).to_le_bytes());
            split.choose(&targets, object) == 0
        });
        let share = first.count() as f64 / 300.0;
        prop_assert!((share - f64::from(weight) / 100.0).abs() < 0.08, "{share} of {weight}");
    }
}

/// Time for which servers of the tests stay cold after their start.
const WARMUP: Duration = Duration::from_secs(4);

/// Load pattern: a server that was lost comes back cold before its heartbeat says so.
#[test]
fn a_server_that_was_unreachable_counts_as_cold_until_a_later_heartbeat() {
    let begin = Instant::now();
    let after = |ms| begin + Duration::from_millis(ms);
    let mut cold = Warmup::default();
    cold.suspect(WARMUP, after(300));
    cold.note_heartbeat(Duration::ZERO, None, after(600));
    assert!(cold.is_cold(after(700)), "nobody knows when it was written");
    cold.note_heartbeat(Duration::ZERO, Some(begin), after(2_600));
    assert!(
        cold.is_cold(after(2_700)),
        "it was read late, and may be older than the failure"
    );
    cold.note_heartbeat(Duration::ZERO, Some(after(300)), after(2_800));
    assert!(!cold.is_cold(after(2_800)));
}

/// Load pattern: a server that was lost comes back cold while the store is away.
#[test]
fn a_server_that_was_unreachable_counts_as_cold_for_longer_than_it_stays_so() {
    let begin = Instant::now();
    let mut cold = Warmup::default();
    cold.suspect(WARMUP, begin);
    let seen_down_for = Duration::from_millis(2_900);
    assert!(cold.is_cold(begin + seen_down_for + WARMUP));
    assert!(
        !cold.is_cold(begin + WARMUP * 2),
        "suspicion ends by itself"
    );
}

/// Load pattern: a VM is cut off and comes back. Servers did not restart, and need not warm up. When
/// a region loses power, or a zone, they did.
#[test]
fn servers_that_a_cut_off_vm_lost_have_not_restarted() {
    let servers = |lost: &'static [&'static str]| {
        let all = ["own", "own", "east", "east", "east", "west", "west"];
        let each = all.into_iter();
        each.map(move |region| (region, lost.contains(&region)))
    };
    assert!(steer::warmup::is_partitioned(servers(&[
        "own", "east", "west"
    ])));
    assert!(!steer::warmup::is_partitioned(servers(&["east"])));
    assert!(!steer::warmup::is_partitioned(servers(&["east", "west"])));
    assert!(!steer::warmup::is_partitioned(servers(&[])));
    let only_other = [("east", true), ("east", true)];
    assert!(!steer::warmup::is_partitioned(only_other.into_iter()));
}
