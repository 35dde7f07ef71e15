//! Tests of the budget, of leases and of writes whose responses are lost.

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
    Platform::start(addr, Settings::default()).expect("platform stand-in starts")
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
                let max_calls = u64::from(burst) * 1_000 + end.ms_since(*start) * u64::from(rate);
                prop_assert!(calls <= max_calls + 1);
            }
        }
    }
}

#[test]
fn rejects_calls_over_budget() {
    let platform = platform();
    let meter = Arc::new(Meter::new(Service::with_manual_clock()));
    let client = client(&platform).with_meter(Purpose::Config, Arc::clone(&meter));
    let rejected = client.compare_and_set(CONFIG_KEY, 0, &record(1, "w"));
    assert_eq!(rejected, Err(StoreError::OverBudget));
    assert_eq!(platform.counts().write, 0);
    assert_eq!(meter.count(Purpose::Config).throttled, 1);
    client
        .read::<ConfigRecord>(CONFIG_KEY)
        .expect("read within the budget");
    assert_eq!(meter.count(Purpose::Config).reads, 1);
}

#[test]
fn lost_response_is_resolved_without_second_write() {
    let platform = platform();
    let client = client(&platform);
    for (number, loss) in [Loss::Close, Loss::Error].into_iter().enumerate() {
        let key = format!("settled/{number}");
        platform.faults().lose_answers(1, loss);
        let before = platform.counts().write;
        let outcome = client.write_with_read_back(&key, 0, &record(1, "mine"));
        assert_eq!(outcome, Ok(WriteOutcome::Done));
        assert_eq!(platform.counts().write, before + 1);
        let conflict = client.write_with_read_back(&key, 0, &record(1, "other"));
        assert_eq!(conflict, Ok(WriteOutcome::Conflict));
    }
}

#[test]
fn lock_has_one_holder_at_a_time() {
    let platform = platform();
    let client = client(&platform);
    let first = client
        .create_session("a", 60_000)
        .expect("creates a session");
    let second = client
        .create_session("b", 60_000)
        .expect("creates a session");
    assert_eq!(client.acquire("lock", &first, &"a"), Ok(Acquired::Done));
    assert_eq!(client.acquire("lock", &second, &"b"), Ok(Acquired::Held));
    let lock = client.lock::<String>("lock").expect("reads the lock");
    assert_eq!(lock.session.as_ref(), Some(&first));
    assert_eq!(lock.value.as_deref(), Some("a"));
    client.end_session(&first).expect("ends the session");
    assert_eq!(client.renew_session(&first), Ok(Renewed::Ended));
    assert_eq!(client.acquire("lock", &first, &"a"), Ok(Acquired::Held));
    assert_eq!(client.acquire("lock", &second, &"b"), Ok(Acquired::Done));
    let next = client.lock::<String>("lock").expect("reads the lock");
    assert_eq!(next.epoch, lock.epoch + 1);
}
