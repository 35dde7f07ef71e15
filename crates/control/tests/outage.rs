//! Tests of platform outages, restarts and partitioned zones.

mod common;

use std::time::{Duration, Instant};

use common::{Cluster, TEXT, TIMEOUT_S, key_record};
use standin::platform::Outage;
use store::{KeysRecord, keys_key};

/// Maximum age of key records with which gates consider a key valid, in milliseconds.
const FRESH_MS: u64 = 3_000;

/// Duration of an outage after which no proof from before it is fresh, in milliseconds.
const OUTAGE_MS: u64 = FRESH_MS + 3_000;

fn is_fresh(age_ms: Option<u64>) -> bool {
    age_ms.is_some_and(|age_ms| age_ms <= FRESH_MS)
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_vm_receives_state_from_peer_during_outage() {
    let mut cluster = Cluster::start(2, 2).await;
    cluster.settle().await;
    cluster.write_text(1, TEXT).await;
    cluster.write_key(key_record(3, false)).await;
    cluster
        .wait_until("configuration", |status| {
            status.revision == 1 && status.keys == 1
        })
        .await;
    cluster.platform.faults().set_outage(Outage::Close);
    let seed = cluster.daemons[3].control.addr();
    cluster.kill("z0-vm0").await;
    cluster.add("z0-vm0", "z0", &[seed]).await;
    cluster
        .wait_until("state after restart", |status| {
            status.revision == 1 && status.keys == 1
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawal_spreads_during_outage_and_is_written_afterwards() {
    let cluster = Cluster::start(3, 2).await;
    cluster.settle().await;
    cluster.write_key(key_record(3, false)).await;
    cluster
        .wait_until("key record", |status| status.keys == 1)
        .await;
    cluster.platform.faults().set_outage(Outage::Refuse);
    let target = cluster.daemons[1].control.addr();
    cluster.withdraw_at(target, key_record(3, true)).await;
    cluster
        .wait_until("withdrawal", |status| status.withdrawn == 1)
        .await;
    cluster.platform.faults().set_outage(Outage::None);
    let client = cluster.client();
    let key = keys_key(&key_record(3, true).hash);
    let start = Instant::now();
    loop {
        assert!(
            start.elapsed() < Duration::from_secs(TIMEOUT_S),
            "withdrawal was not written to the platform"
        );
        let (client, key) = (client.clone(), key.clone());
        let read = move || client.watch::<KeysRecord>(&key, 1, 10);
        let found = tokio::task::spawn_blocking(read)
            .await
            .expect("task does not panic");
        let records = found
            .ok()
            .and_then(|found| found.value)
            .unwrap_or_default()
            .records;
        if records == [key_record(3, true)] {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn only_majority_stays_fresh_during_outage() {
    let cluster = Cluster::start(3, 2).await;
    cluster.settle().await;
    cluster.write_key(key_record(3, false)).await;
    cluster
        .wait_until("key record everywhere", |status| status.keys == 1)
        .await;
    tokio::time::sleep(Duration::from_millis(OUTAGE_MS)).await;
    cluster.platform.faults().set_outage(Outage::Close);
    cluster.partition("z2");
    tokio::time::sleep(Duration::from_millis(OUTAGE_MS)).await;
    cluster
        .wait_until("fresh except in partitioned zone", |status| {
            is_fresh(status.keys_age_ms) == (status.zone != "z2")
        })
        .await;
    let target = cluster.daemons[0].control.addr();
    cluster.withdraw_at(target, key_record(3, true)).await;
    cluster
        .wait_until("withdrawal", |status| {
            (status.withdrawn == 1) == (status.zone != "z2")
        })
        .await;
    cluster.platform.faults().clear();
    cluster.heal("z2");
    cluster
        .wait_until("withdrawal everywhere after healing", |status| {
            status.withdrawn == 1 && is_fresh(status.keys_age_ms)
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn simultaneous_restart_of_zone_stays_within_call_budget() {
    let mut cluster = Cluster::start(2, 8).await;
    cluster.settle().await;
    let names: Vec<String> = (0..8).map(|vm| format!("z0-vm{vm}")).collect();
    for name in &names {
        cluster.kill(name).await;
    }
    let calls = |cluster: &Cluster| {
        let counts = cluster.platform.counts();
        counts.read + counts.watch + counts.write + counts.lease
    };
    let before = calls(&cluster);
    let seed = cluster.daemons[0].control.addr();
    for name in &names {
        cluster.add(name, "z0", &[seed]).await;
    }
    cluster.settle().await;
    let statuses = cluster.statuses();
    let throttled: u64 = statuses
        .iter()
        .flat_map(|status| &status.store_calls)
        .map(|calls| calls.throttled)
        .sum();
    assert_eq!(throttled, 0, "throttled calls");
    // Each daemon may make two calls for each of its five purposes before it has its position in the
    // tree.
    let max_calls = 8 * 2 * 5 + 100;
    assert!(
        calls(&cluster) - before <= max_calls,
        "{} calls",
        calls(&cluster) - before
    );
}
