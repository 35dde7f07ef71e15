//! Tests of watchers, leaders and the dissemination of state.

mod common;

use common::{Cluster, TEXT, key_record};

#[tokio::test(flavor = "multi_thread")]
async fn all_daemons_receive_state_with_two_watchers_per_zone() {
    let cluster = Cluster::start(2, 5).await;
    cluster.settle().await;
    cluster
        .wait_until("watchers with leader", |status| {
            !status.watching || status.zone_leader.is_some()
        })
        .await;
    cluster.write_text(1, TEXT).await;
    cluster.write_key(key_record(3, false)).await;
    cluster
        .wait_until("configuration", |status| status.revision == 1)
        .await;
    cluster
        .wait_until("key record", |status| status.keys == 1)
        .await;
    for zone in ["z0", "z1"] {
        let statuses = cluster.statuses();
        let in_zone = statuses.iter().filter(|status| status.zone == zone);
        let watching = in_zone.filter(|status| status.watching).count();
        assert_eq!(watching, 2, "watchers in {zone}: {statuses:#?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn zone_elects_new_leader_after_crash() {
    let mut cluster = Cluster::start(2, 3).await;
    cluster.settle().await;
    let crashed = cluster.statuses()[0]
        .zone_leader
        .clone()
        .expect("zone has a leader");
    cluster.kill(&crashed).await;
    let replaced =
        |leader: &Option<String>| leader.as_ref().is_some_and(|leader| *leader != crashed);
    cluster
        .wait_until("new leader", |status| {
            status.zone != "z0" || replaced(&status.zone_leader)
        })
        .await;
    cluster.write_text(1, TEXT).await;
    cluster
        .wait_until("configuration", |status| status.revision == 1)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn zone_partitioned_from_platform_receives_state_from_other_zones() {
    let cluster = Cluster::start(3, 2).await;
    cluster.settle().await;
    cluster.listeners["z1"].cut();
    cluster.write_text(1, TEXT).await;
    cluster.write_key(key_record(3, true)).await;
    cluster
        .wait_until("configuration", |status| status.revision == 1)
        .await;
    cluster
        .wait_until("withdrawal", |status| status.withdrawn == 1)
        .await;
    let with_proof = cluster
        .statuses()
        .iter()
        .filter_map(|status| status.keys_age_ms)
        .count();
    assert_eq!(with_proof, 6);
}

#[tokio::test(flavor = "multi_thread")]
async fn rejects_invalid_configuration() {
    let cluster = Cluster::start(1, 2).await;
    cluster.settle().await;
    cluster.write_text(1, TEXT).await;
    cluster
        .wait_until("configuration", |status| status.revision == 1)
        .await;
    cluster.write_text(2, "zone = 7").await;
    cluster.write_text(3, TEXT).await;
    cluster
        .wait_until("next valid configuration", |status| status.revision == 3)
        .await;
    assert!(cluster.statuses().iter().all(|status| status.revision != 2));
}
