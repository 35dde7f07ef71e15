//! Outages of the platform, restarts and cut-off zones.

mod common;

use std::time::{Duration, Instant};

use common::{Cluster, PATIENCE_S, TEXT, key_record};
use standin::platform::Outage;
use store::{KeysRecord, keys_key};

/// Age up to which gates take key records as proof that a key is valid, in milliseconds.
const FRESH_MS: u64 = 3_000;

/// Longer than any proof that was begun before an outage stays fresh, in milliseconds.
const OUTAGE_MS: u64 = FRESH_MS + 3_000;

fn is_fresh(age_ms: Option<u64>) -> bool {
    age_ms.is_some_and(|age_ms| age_ms <= FRESH_MS)
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_vm_learns_from_a_peer_while_the_platform_is_down() {
    let mut cluster = Cluster::start(2, 2).await;
    cluster.settle().await;
    cluster.write_text(1, TEXT).await;
    cluster.write_key(key_record(3, false)).await;
    cluster
        .until("the text", |status| {
            status.revision == 1 && status.keys == 1
        })
        .await;
    cluster.platform.faults().set_outage(Outage::Close);
    let seed = cluster.daemons[3].control.addr();
    cluster.kill("z0-vm0").await;
    cluster.add("z0-vm0", "z0", &[seed]).await;
    cluster
        .until("the text again", |status| {
            status.revision == 1 && status.keys == 1
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawal_spreads_without_the_platform_and_is_written_later() {
    let cluster = Cluster::start(3, 2).await;
    cluster.settle().await;
    cluster.write_key(key_record(3, false)).await;
    cluster.until("the key", |status| status.keys == 1).await;
    cluster.platform.faults().set_outage(Outage::Refuse);
    let first = cluster.daemons[1].control.addr();
    cluster.withdraw_at(first, key_record(3, true)).await;
    cluster
        .until("the withdrawal", |status| status.withdrawn == 1)
        .await;
    cluster.platform.faults().set_outage(Outage::None);
    let client = cluster.client();
    let key = keys_key(&key_record(3, true).hash);
    let begun = Instant::now();
    loop {
        assert!(
            begun.elapsed() < Duration::from_secs(PATIENCE_S),
            "never written"
        );
        let (client, key) = (client.clone(), key.clone());
        let read = move || client.watch::<KeysRecord>(&key, 1, 10);
        let found = tokio::task::spawn_blocking(read).await.expect("no panic");
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
async fn majority_stays_fresh_without_the_platform_and_a_cut_off_zone_does_not() {
    let cluster = Cluster::start(3, 2).await;
    cluster.settle().await;
    cluster.write_key(key_record(3, false)).await;
    cluster
        .until("old enough to vote", |status| status.keys == 1)
        .await;
    tokio::time::sleep(Duration::from_millis(OUTAGE_MS)).await;
    cluster.platform.faults().set_outage(Outage::Close);
    cluster.cut("z2");
    tokio::time::sleep(Duration::from_millis(OUTAGE_MS)).await;
    cluster
        .until("freshness by majority", |status| {
            is_fresh(status.keys_age_ms) == (status.zone != "z2")
        })
        .await;
    let first = cluster.daemons[0].control.addr();
    cluster.withdraw_at(first, key_record(3, true)).await;
    cluster
        .until("the withdrawal", |status| {
            (status.withdrawn == 1) == (status.zone != "z2")
        })
        .await;
    cluster.platform.faults().clear();
    cluster.join("z2");
    cluster
        .until("all again", |status| {
            status.withdrawn == 1 && is_fresh(status.keys_age_ms)
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn zone_that_comes_back_at_once_stays_within_the_budget() {
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
    let held: u64 = statuses
        .iter()
        .flat_map(|status| &status.store_calls)
        .map(|calls| calls.throttled)
        .sum();
    assert_eq!(held, 0, "no call had to be held back");
    // Each daemon may call twice for each of its purposes before it knows its place.
    let most = 8 * 2 * 5 + 100;
    assert!(
        calls(&cluster) - before <= most,
        "{} calls",
        calls(&cluster) - before
    );
}
