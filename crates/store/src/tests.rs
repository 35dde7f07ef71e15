//! Tests of the budget, leases and settled writes.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use standin::platform::{Loss, Platform, Settings};
use timer::{Moment, Service};

use crate::{
    Acquired, Bucket, CONFIG_KEY, Client, ConfigRecord, Meter, Purpose, Renewed, StoreError,
    WriteOutcome,
};

fn platform() -> Platform {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Platform::start(addr, Settings::default()).expect("the stand-in starts")
}

fn client(platform: &Platform) -> Client {
    Client::new(&format!("http://{}", platform.addr()))
}

fn record(revision: u64, write_id: &str) -> ConfigRecord {
    ConfigRecord {
        revision,
        write_id: write_id.to_owned(),
        author: "a".to_owned(),
        at_unix_ms: 0,
        text: "t".to_owned(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn bucket_never_exceeds_rate_and_burst(
        steps in proptest::collection::vec(0u64..400, 1..60),
        rate in 1u32..20,
        burst in 1u32..8,
    ) {
        let mut bucket = Bucket::new(f64::from(rate), f64::from(burst), Moment(0));
        let mut now = Moment(0);
        let mut taken = Vec::new();
        for step in steps {
            now = now.plus_ms(step);
            if bucket.take(now).is_ok() {
                taken.push(now);
            }
        }
        for (first, start) in taken.iter().enumerate() {
            for (last, end) in taken.iter().enumerate().skip(first) {
                let calls = (last - first + 1) as u64 * 1_000;
                let allowed = u64::from(burst) * 1_000 + end.ms_since(*start) * u64::from(rate);
                prop_assert!(calls <= allowed + 1);
            }
        }
    }
}

#[test]
fn calls_beyond_the_budget_are_not_made() {
    let platform = platform();
    let meter = Arc::new(Meter::new(Service::with_manual_clock()));
    let client = client(&platform).with_meter(Purpose::Config, Arc::clone(&meter));
    let refused = client.compare_and_set(CONFIG_KEY, 0, &record(1, "w"));
    assert_eq!(refused, Err(StoreError::OverBudget));
    assert_eq!(platform.counts().write, 0);
    assert_eq!(meter.count(Purpose::Config).throttled, 1);
    client
        .read::<ConfigRecord>(CONFIG_KEY)
        .expect("reads are within the budget");
    assert_eq!(meter.count(Purpose::Config).reads, 1);
}

#[test]
fn lost_answer_is_settled_without_a_second_write() {
    let platform = platform();
    let client = client(&platform);
    for (number, loss) in [Loss::Close, Loss::Error].into_iter().enumerate() {
        let key = format!("settled/{number}");
        platform.faults().lose_answers(1, loss);
        let before = platform.counts().write;
        let settled = client.write_with_read_back(&key, 0, &record(1, "mine"));
        assert_eq!(settled, Ok(WriteOutcome::Done));
        assert_eq!(platform.counts().write, before + 1);
        let other = client.write_with_read_back(&key, 0, &record(1, "other"));
        assert_eq!(other, Ok(WriteOutcome::Conflict));
    }
}

#[test]
fn one_session_at_a_time_holds_a_lock() {
    let platform = platform();
    let client = client(&platform);
    let first = client.create_session("a", 60_000).expect("a session");
    let second = client.create_session("b", 60_000).expect("a session");
    assert_eq!(client.acquire("lock", &first, &"a"), Ok(Acquired::Done));
    assert_eq!(client.acquire("lock", &second, &"b"), Ok(Acquired::Held));
    let lock = client.lock::<String>("lock").expect("a lock");
    assert_eq!(lock.session.as_ref(), Some(&first));
    assert_eq!(lock.value.as_deref(), Some("a"));
    client.end_session(&first).expect("the session ends");
    assert_eq!(client.renew_session(&first), Ok(Renewed::Ended));
    assert_eq!(client.acquire("lock", &first, &"a"), Ok(Acquired::Held));
    assert_eq!(client.acquire("lock", &second, &"b"), Ok(Acquired::Done));
    let next = client.lock::<String>("lock").expect("a lock");
    assert_eq!(next.epoch, lock.epoch + 1);
}
