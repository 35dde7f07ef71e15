//! Limits that hold over the fleet without coordination (retries, cold servers), splits by weight, and
//! suspected restarts.

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

/// Time that a process takes to restart.
const RESTART: Duration = Duration::from_millis(500);

const LIMIT: Limit = Limit {
    window: Duration::from_secs(10),
    ratio: 0.2,
    extra: 56.0,
};

proptest! {
    #![proptest_config(fixed(2_000))]

    #[test]
    fn retries_of_all_vms_stay_within_limit(
        vms in 1..20_usize,
        requests in 0..60_usize,
        requested_retries in 0..200_usize,
    ) {
        let now = Instant::now();
        let mut retries = 0;
        let at = now + LIMIT.window;
        for _ in 0..vms {
            let mut budget = Budget::new(LIMIT);
            for _ in 0..requests {
                budget.note_request(at);
            }
            retries += (0..requested_retries).filter(|_| budget.take(vms, at)).count();
        }
        let max = (requests * vms) as f64 * LIMIT.ratio + LIMIT.extra;
        prop_assert!(retries as f64 <= max, "{retries} of {max}");
    }

    #[test]
    fn retries_of_restarting_processes_stay_within_limit(
        vms in 1..20_usize,
        up_times in prop::collection::vec(100..4_000_u64, 1..8),
        requests in 0..30_usize,
    ) {
        let mut now = Instant::now();
        let mut retries: Vec<Instant> = Vec::new();
        let mut starts: Vec<Instant> = Vec::new();
        for up_ms in &up_times {
            let mut budgets: Vec<Budget> = (0..vms).map(|_| Budget::new(LIMIT)).collect();
            for ms in (0..*up_ms).step_by(50) {
                let at = now + Duration::from_millis(ms);
                for budget in &mut budgets {
                    if ms == 0 {
                        (0..requests).for_each(|_| budget.note_request(at));
                    }
                    while budget.take(vms, at) {
                        retries.push(at);
                    }
                }
            }
            starts.push(now);
            now += Duration::from_millis(*up_ms) + RESTART;
        }
        for (index, first) in retries.iter().enumerate() {
            let within = |at: &&Instant| at.duration_since(*first) < LIMIT.window;
            let count = retries[index..].iter().take_while(within).count();
            let counted = starts.iter().filter(|at| **at + LIMIT.window > *first && within(at));
            let received = counted.count() * requests * vms;
            let max = (received as f64).mul_add(LIMIT.ratio, LIMIT.extra);
            prop_assert!(count as f64 <= max, "{count} of {max}");
        }
    }

    #[test]
    fn two_owners_stay_within_limit_of_cold_server(
        per_s in 5.0..60.0_f64,
        gaps in prop::collection::vec(0..40_u64, 1..200),
    ) {
        let limit = per_s * 1.5 + 5.0;
        let begin = Instant::now();
        let mut sent: Vec<Instant> = Vec::new();
        for _ in 0..2 {
            let mut warmup = Warmup::default();
            warmup.note_heartbeat(Duration::from_mins(1), None, begin);
            let mut now = begin;
            for gap in &gaps {
                now += Duration::from_millis(*gap);
                if warmup.allows(max_per_s(limit, 1.0), now) {
                    warmup.reserve();
                    warmup.note_sent(now);
                    sent.push(now);
                }
            }
        }
        sent.sort_unstable();
        for (index, first) in sent.iter().enumerate() {
            let within = |at: &&Instant| at.duration_since(*first) < Duration::from_secs(1);
            let count = sent[index..].iter().take_while(within).count();
            prop_assert!(count as f64 <= limit, "{count} of {limit}");
        }
    }

    #[test]
    fn split_follows_weights(weight in 1..99_u32, objects in 1..40_u64, seed: u64) {
        let targets = [
            Target { service: "a".to_owned(), weight: f64::from(weight) },
            Target { service: "b".to_owned(), weight: f64::from(100 - weight) },
        ];
        let mut split = Split::default();
        let first = (0..300_u64).filter(|index| {
            let object = hash(&(seed ^ (index * 7 % objects)).to_le_bytes());
            split.choose(&targets, object) == 0
        });
        let share = first.count() as f64 / 300.0;
        prop_assert!((share - f64::from(weight) / 100.0).abs() < 0.08, "{share} of {weight}");
    }
}

/// Time for which servers are cold after their start.
const WARMUP: Duration = Duration::from_secs(4);

/// Load pattern: a server that was unreachable has restarted cold, but its heartbeat does not report it
/// yet.
#[test]
fn unreachable_server_is_suspect_until_later_heartbeat() {
    let begin = Instant::now();
    let after = |ms| begin + Duration::from_millis(ms);
    let mut warmup = Warmup::default();
    warmup.suspect(WARMUP, after(300));
    warmup.note_heartbeat(Duration::ZERO, None, after(600));
    assert!(
        warmup.is_cold(after(700)),
        "the time of the heartbeat is unknown"
    );
    warmup.note_heartbeat(Duration::ZERO, Some(begin), after(2_600));
    assert!(
        warmup.is_cold(after(2_700)),
        "the heartbeat may be older than the failure"
    );
    warmup.note_heartbeat(Duration::ZERO, Some(after(300)), after(2_800));
    assert!(!warmup.is_cold(after(2_800)));
}

/// Load pattern: a server that was unreachable has restarted cold during an outage of the store.
#[test]
fn suspicion_of_unreachable_server_outlasts_its_warmup() {
    let begin = Instant::now();
    let mut warmup = Warmup::default();
    warmup.suspect(WARMUP, begin);
    let down_for = Duration::from_millis(2_900);
    assert!(warmup.is_cold(begin + down_for + WARMUP));
    assert!(!warmup.is_cold(begin + WARMUP * 2), "the suspicion expires");
}

/// Load pattern: a VM is partitioned and reconnects. The servers have not restarted and need no
/// warm-up. They have restarted if a region or a zone lost power.
#[test]
fn partition_is_distinguished_from_regional_power_loss() {
    let servers = |unreachable: &'static [&'static str]| {
        let regions = ["own", "own", "east", "east", "east", "west", "west"];
        let regions = regions.into_iter();
        regions.map(move |region| (region, unreachable.contains(&region)))
    };
    assert!(steer::warmup::is_partitioned(servers(&[
        "own", "east", "west"
    ])));
    assert!(!steer::warmup::is_partitioned(servers(&["east"])));
    assert!(!steer::warmup::is_partitioned(servers(&["east", "west"])));
    assert!(!steer::warmup::is_partitioned(servers(&[])));
    let single_region = [("east", true), ("east", true)];
    assert!(!steer::warmup::is_partitioned(single_region.into_iter()));
}
