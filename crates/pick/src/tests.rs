//! Tests of the choice of a backend server.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chart::backend::State;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;
use timer::Moment;

use crate::fair::{Bounds, Pushed, Queue, Waiter};
use crate::hedge::Budget;
use crate::spill;
use crate::subset::{CONNECTIONS_PER_SERVER, Vm, max_connections};
use crate::{Endpoint, Limits, Load, Outcome, Pool, Request};

const LIMITS: Limits = Limits {
    slots: 6,
    cold_start_ms: 20_000,
};

const ANY: Request = Request {
    excluded: &[],
    retryable: true,
};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn addr(index: usize) -> SocketAddr {
    SocketAddr::from((
        [10, 0, 0, u8::try_from(index).expect("an index below 256")],
        8080,
    ))
}

fn endpoint(index: usize) -> Endpoint {
    Endpoint {
        addr: addr(index),
        draining: false,
        max_connections: 100,
    }
}

fn pool(count: usize) -> Pool {
    let mut pool = Pool::new(LIMITS).expect("the chart matches the code");
    let servers: Vec<Endpoint> = (0..count).map(endpoint).collect();
    pool.set_endpoints(&servers, Moment(0));
    pool
}

fn answered(latency_ms: u64) -> Outcome {
    Outcome::Answered { latency_ms }
}

/// Sends `count` requests, `concurrency` at a time, and returns the number of requests per server.
fn spread(
    pool: &mut Pool,
    (count, concurrency): (usize, usize),
    now: Moment,
    outcome: impl Fn(SocketAddr) -> Outcome,
) -> BTreeMap<SocketAddr, usize> {
    let mut rng = StdRng::seed_from_u64(7);
    let mut got = BTreeMap::new();
    for _ in 0..count / concurrency {
        let chosen: Vec<_> = (0..concurrency)
            .filter_map(|_| pool.choose(ANY, now, &mut rng))
            .collect();
        for addr in chosen {
            *got.entry(addr).or_default() += 1;
            pool.finish(addr, outcome(addr), now);
        }
    }
    got
}

#[test]
fn ejects_failing_server_and_readmits_it_slowly() {
    let mut pool = pool(4);
    let fails = |a| {
        if a == addr(0) {
            Outcome::Failed
        } else {
            answered(10)
        }
    };
    spread(&mut pool, (96, 8), Moment(0), fails);
    assert_eq!(pool.state(addr(0)), Some(State::Ejected));
    let while_ejected = spread(&mut pool, (200, 8), Moment(500), |_| answered(10));
    assert!(!while_ejected.contains_key(&addr(0)));
    spread(&mut pool, (200, 8), Moment(3_000), |_| answered(10));
    assert_eq!(pool.state(addr(0)), Some(State::Warming));
    let mut rng = StdRng::seed_from_u64(1);
    while pool.choose(ANY, Moment(3_000), &mut rng).is_some() {}
    assert_eq!(pool.in_flight(addr(0)), 1);
    assert_eq!(pool.in_flight(addr(1)), LIMITS.slots);
}

#[test]
fn readmits_long_unreachable_server_soon() {
    let mut pool = pool(3);
    for second in 0..120 {
        let unreachable = |a| {
            if a == addr(0) {
                Outcome::Unreachable
            } else {
                answered(10)
            }
        };
        spread(&mut pool, (96, 8), Moment(second * 1_000), unreachable);
    }
    for second in 120..125 {
        spread(&mut pool, (96, 8), Moment(second * 1_000), |_| answered(10));
    }
    assert_eq!(pool.state(addr(0)), Some(State::Warming));
}

#[test]
fn keeps_half_of_servers_when_all_fail() {
    let mut pool = pool(5);
    spread(&mut pool, (1_000, 8), Moment(0), |_| Outcome::Failed);
    let ejected = (0..5).filter(|i| pool.state(addr(*i)) == Some(State::Ejected));
    assert_eq!(ejected.count(), 2);
    assert!(
        pool.choose(ANY, Moment(0), &mut StdRng::seed_from_u64(1))
            .is_some()
    );
}

#[test]
fn claim_to_be_idle_attracts_no_requests() {
    let mut pool = pool(2);
    let claim = Load {
        in_flight: 0,
        reported_at: Moment(0),
    };
    pool.set_load(addr(0), claim);
    let slow = |a| answered(if a == addr(0) { 500 } else { 10 });
    let got = spread(&mut pool, (300, 1), Moment(0), slow);
    assert!(got[&addr(0)] * 10 < got[&addr(1)], "{got:?}");
}

#[test]
fn similar_servers_share_requests_of_single_caller() {
    let mut pool = pool(3);
    let alike = |a| answered(if a == addr(0) { 3 } else { 1 });
    let got = spread(&mut pool, (300, 1), Moment(0), alike);
    assert!(got.values().all(|count| *count > 60), "{got:?}");
    assert_eq!(got.len(), 3);
}

#[test]
fn avoids_server_only_briefly_after_slow_answer() {
    let mut pool = pool(2);
    let first_slow = |a| answered(if a == addr(0) { 400 } else { 1 });
    spread(&mut pool, (16, 8), Moment(0), first_slow);
    let avoided = spread(&mut pool, (100, 1), Moment(500), |_| answered(1));
    assert!(!avoided.contains_key(&addr(0)), "{avoided:?}");
    spread(&mut pool, (100, 1), Moment(1_200), |_| answered(1));
    let shared = spread(&mut pool, (100, 1), Moment(1_300), |_| answered(1));
    assert!(shared[&addr(0)] > 20, "{shared:?}");
}

#[test]
fn avoids_server_only_briefly_after_failure() {
    let mut pool = pool(2);
    let mut rng = StdRng::seed_from_u64(1);
    assert!(pool.reserve(addr(0), Moment(0)));
    pool.finish(addr(0), Outcome::Unreachable, Moment(0));
    let later = spread(&mut pool, (100, 1), Moment(1_500), |_| answered(1));
    assert!(later[&addr(0)] > 20, "{later:?}");
    assert!(pool.choose(ANY, Moment(1_500), &mut rng).is_some());
}

#[test]
fn ignores_outdated_load_report() {
    let mut pool = pool(2);
    let load = Load {
        in_flight: LIMITS.slots,
        reported_at: Moment(0),
    };
    pool.set_load(addr(0), load);
    let early = spread(&mut pool, (100, 1), Moment(100), |_| answered(10));
    assert!(!early.contains_key(&addr(0)), "{early:?}");
    let late = spread(&mut pool, (100, 1), Moment(5_000), |_| answered(10));
    assert!(late.contains_key(&addr(0)), "{late:?}");
}

#[test]
fn shed_shrinks_concurrency_window() {
    let mut pool = pool(1);
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..4 {
        pool.choose(ANY, Moment(0), &mut rng).expect("capacity");
    }
    pool.finish(addr(0), Outcome::Shed, Moment(0));
    assert_eq!(pool.choose(ANY, Moment(10), &mut rng), None);
    assert_eq!(pool.capacity(Moment(1_000)), 3);
}

#[test]
fn draining_or_removed_server_gets_no_new_requests() {
    let mut pool = pool(3);
    let mut drained = endpoint(0);
    drained.draining = true;
    pool.drain(addr(2), Moment(5));
    pool.set_endpoints(&[drained, endpoint(2)], Moment(10));
    let mut rng = StdRng::seed_from_u64(1);
    assert_eq!(pool.choose(ANY, Moment(10), &mut rng), None);
    assert_eq!(pool.state(addr(1)), None);
}

#[test]
fn non_retryable_request_avoids_server_on_trial() {
    let mut pool = pool(1);
    pool.set_endpoints(&[endpoint(0), endpoint(1)], Moment(0));
    let once = Request {
        excluded: &[],
        retryable: false,
    };
    let mut rng = StdRng::seed_from_u64(1);
    let chosen: Vec<_> = (0..6)
        .map(|_| pool.choose(once, Moment(0), &mut rng))
        .collect();
    assert_eq!(chosen, vec![Some(addr(0)); 6]);
}

#[test]
fn server_gets_all_connections_from_any_number_of_vms() {
    for count in [8, 12, 100, 1_300] {
        let names: Vec<String> = (0..count).map(|i| format!("vm-{i}")).collect();
        let zones: Vec<String> = (0..count).map(|i| format!("zone-{}", i / 34)).collect();
        let vms: Vec<Vm> = names
            .iter()
            .zip(&zones)
            .map(|(name, zone)| Vm { name, zone })
            .collect();
        let shares = |vms: &[Vm]| -> Vec<u32> {
            let share = |name: &String| max_connections(name, addr(1), "zone-1", vms);
            names.iter().map(share).collect()
        };
        let all = shares(&vms);
        assert_eq!(all.iter().sum::<u32>(), CONNECTIONS_PER_SERVER);
        let own = vms.iter().zip(&all).filter(|(vm, _)| vm.zone == "zone-1");
        assert!(own.into_iter().all(|(_, share)| *share > 0));
        let fewer = shares(&vms[..count - 1]);
        let removed = all.iter().zip(&fewer).filter(|(a, b)| **a > 0 && **b == 0);
        assert!(removed.count() <= 1);
    }
}

#[test]
fn limits_copies_and_copies_only_retryable_requests() {
    let mut budget = Budget::new();
    for _ in 0..400 {
        budget.note_success();
    }
    assert!(!budget.take(false, 1_000, 10));
    assert!(!budget.take(true, 19, 1));
    let copies = (0..100).filter(|_| budget.take(true, 1_000, 10)).count();
    assert_eq!(copies, 10);
}

#[test]
fn spilled_requests_stay_within_share_of_any_window() {
    let mut budget = spill::Budget::new(1_000, 10.0);
    let mut taken = Vec::new();
    for ms in 0..10_000 {
        budget.note_request(Moment(ms));
        if budget.take(Moment(ms)) {
            taken.push(ms);
        }
    }
    assert!(taken.len() > 100, "{}", taken.len());
    for start in &taken {
        let window = taken
            .iter()
            .filter(|ms| (*start..start + 1_000).contains(ms));
        assert!(window.count() <= 30);
    }
}

fn waiter(item: u32, start_by: u64) -> Waiter<u32> {
    Waiter {
        item,
        cost: 1,
        start_by: Moment(start_by),
    }
}

const BOUNDS: Bounds = Bounds {
    max_waiting: 40,
    max_per_workspace: 30,
    quantum: 1,
};

#[test]
fn long_queue_does_not_delay_other_workspaces() {
    let mut queue = Queue::new(BOUNDS);
    for item in 0..200 {
        queue.push("busy", waiter(item, 1_000));
    }
    for (index, workspace) in (0..).zip(["a", "b", "c", "d", "e", "f", "g"]) {
        assert_ne!(
            queue.push(workspace, waiter(1_000 + index, 1_000)),
            Pushed::Full(1_000 + index)
        );
        assert_ne!(
            queue.push(workspace, waiter(2_000 + index, 1_000)),
            Pushed::Full(2_000 + index)
        );
    }
    assert_eq!(queue.len(), BOUNDS.max_waiting);
    let mut expired = Vec::new();
    let first: Vec<u32> = (0..16)
        .filter_map(|_| queue.pop(Moment(0), &mut expired))
        .collect();
    assert_eq!(first.iter().filter(|item| **item < 1_000).count(), 2);
}

#[test]
fn drops_request_after_its_latest_start() {
    let mut queue = Queue::new(BOUNDS);
    queue.push("a", waiter(1, 10));
    queue.push("a", waiter(2, 100));
    let mut expired = Vec::new();
    assert_eq!(queue.pop(Moment(50), &mut expired), Some(2));
    assert_eq!(expired, vec![1]);
    assert!(queue.is_empty());
}

#[derive(Debug, Clone)]
enum Step {
    Choose,
    Finish(usize, u8),
    Drain(usize),
    SetEndpoints(u8),
    Wait(u64),
    ReportLoad(usize, u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => Just(Step::Choose),
        5 => (0..40_usize, any::<u8>()).prop_map(|(which, kind)| Step::Finish(which, kind)),
        1 => (0..6_usize).prop_map(Step::Drain),
        1 => any::<u8>().prop_map(Step::SetEndpoints),
        2 => (1..5_000_u64).prop_map(Step::Wait),
        1 => (0..6_usize, 0..100_u32).prop_map(|(which, load)| Step::ReportLoad(which, load)),
    ]
}

fn outcome(kind: u8) -> Outcome {
    match kind % 6 {
        0 => Outcome::Shed,
        1 => Outcome::Unreachable,
        2 | 3 => Outcome::Failed,
        4 => Outcome::Cancelled,
        _ => answered(u64::from(kind)),
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn pool_keeps_limits(seed in any::<u64>(), steps in prop::collection::vec(step(), 1..120)) {
        let mut pool = pool(6);
        let mut rng = StdRng::seed_from_u64(seed);
        let mut now = Moment(0);
        let mut running: Vec<SocketAddr> = Vec::new();
        let mut closed = [false; 6];
        for step in steps {
            match step {
                Step::Choose => if let Some(chosen) = pool.choose(ANY, now, &mut rng) {
                    let index = (0..6).find(|i| addr(*i) == chosen).expect("a listed server");
                    prop_assert!(!closed[index], "new request for a closed server");
                    running.push(chosen);
                },
                Step::Finish(which, how) => if !running.is_empty() {
                    let ended = running.swap_remove(which % running.len());
                    pool.finish(ended, outcome(how), now);
                },
                Step::Drain(which) => {
                    pool.drain(addr(which), now);
                    closed[which] = pool.state(addr(which)).is_some();
                }
                Step::SetEndpoints(mask) => {
                    let kept = |i: &usize| mask & (1 << i) != 0;
                    let servers: Vec<Endpoint> = (0..6).filter(kept).map(endpoint).collect();
                    pool.set_endpoints(&servers, now);
                    for (i, closed) in closed.iter_mut().enumerate() {
                        *closed = !kept(&i) || (*closed && pool.state(addr(i)) == Some(State::Draining));
                    }
                }
                Step::Wait(ms) => now = now.plus_ms(ms),
                Step::ReportLoad(which, in_flight) => pool.set_load(addr(which), Load { in_flight, reported_at: now }),
            }
            let eligible = pool.eligible();
            let ejected = eligible.iter().filter(|a| pool.state(**a) == Some(State::Ejected)).count();
            if !eligible.is_empty() && ejected == eligible.len() {
                // Servers that were not ejected may have left since; the pool itself ejects no
                // server below the minimum share.
                prop_assert!(eligible.len() < 6);
            }
            for i in 0..6 {
                let counted = running.iter().filter(|a| **a == addr(i)).count();
                prop_assert_eq!(pool.in_flight(addr(i)) as usize, counted);
                prop_assert!(counted <= LIMITS.slots as usize);
            }
        }
    }

    #[test]
    fn queue_is_fair_and_bounded(pushes in prop::collection::vec((0..5_u8, 0..50_u64), 1..200)) {
        let mut queue = Queue::new(BOUNDS);
        let mut held: BTreeMap<u8, i64> = BTreeMap::new();
        for (index, (workspace, start_by)) in (0..).zip(&pushes) {
            let item = (u32::from(*workspace) << 16) | index;
            let name = workspace.to_string();
            *held.entry(*workspace).or_default() += 1;
            let gone = match queue.push(&name, waiter(item, *start_by)) {
                Pushed::Queued => None,
                Pushed::Replaced(gone) | Pushed::Full(gone) => Some(gone),
            };
            if let Some(gone) = gone {
                *held.entry(u8::try_from(gone >> 16).expect("a workspace")).or_default() -= 1;
            }
            prop_assert!(queue.len() <= BOUNDS.max_waiting);
        }
        let mut expired = Vec::new();
        let mut last: BTreeMap<u8, usize> = BTreeMap::new();
        let mut turn = 0;
        while let Some(item) = queue.pop(Moment(25), &mut expired) {
            let workspace = u8::try_from(item >> 16).expect("a workspace");
            let since = turn - last.insert(workspace, turn).unwrap_or(turn);
            prop_assert!(since <= 5, "{} turns without a request served", since);
            *held.entry(workspace).or_default() -= 1;
            turn += 1;
        }
        for item in expired {
            *held.entry(u8::try_from(item >> 16).expect("a workspace")).or_default() -= 1;
        }
        prop_assert!(held.values().all(|left| *left == 0), "requests lost or duplicated: {:?}", held);
    }
}
