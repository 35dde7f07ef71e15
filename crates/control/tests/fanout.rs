//! Watchers, leads and what they pass on.

mod common;

use common::{Cluster, TEXT, key_record};

#[tokio::test(flavor = "multi_thread")]
async fn two_daemons_of_a_zone_watch_and_all_learn() {
    let cluster = Cluster::start(2, 5).await;
    cluster.settle().await;
    cluster
        .until("roles", |status| {
            !status.watching || status.zone_leader.is_some()
        })
        .await;
    cluster.write_text(1, TEXT).await;
    cluster.write_key(key_record(3, false)).await;
    cluster
        .until("the text", |status| status.revision == 1)
        .await;
    cluster.until("the key", |status| status.keys == 1).await;
    for zone in ["z0", "z1"] {
        let statuses = cluster.statuses();
        let inside = statuses.iter().filter(|status| status.zone == zone);
        let watching = inside.filter(|status| status.watching).count();
        assert_eq!(watching, 2, "watchers in {zone}: {statuses:#?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn zone_whose_lead_died_gets_another_and_goes_on() {
    let mut cluster = Cluster::start(2, 3).await;
    cluster.settle().await;
    let dead = cluster.statuses()[0].zone_leader.clone().expect("a lead");
    cluster.kill(&dead).await;
    let replaced = |lead: &Option<String>| lead.as_ref().is_some_and(|lead| *lead != dead);
    cluster
        .until("another lead", |status| {
            status.zone != "z0" || replaced(&status.zone_leader)
        })
        .await;
    cluster.write_text(1, TEXT).await;
    cluster
        .until("the text", |status| status.revision == 1)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn zone_cut_off_from_the_platform_learns_from_others() {
    let cluster = Cluster::start(3, 2).await;
    cluster.settle().await;
    cluster.listeners["z1"].cut();
    cluster.write_text(1, TEXT).await;
    cluster.write_key(key_record(3, true)).await;
    cluster
        .until("the text", |status| status.revision == 1)
        .await;
    cluster
        .until("the withdrawal", |status| status.withdrawn == 1)
        .await;
    let age = cluster
        .statuses()
        .iter()
        .filter_map(|status| status.keys_age_ms)
        .count();
    assert_eq!(age, 6);
}

#[tokio::test(flavor = "multi_thread")]
async fn text_that_cannot_be_read_is_kept_out() {
    let cluster = Cluster::start(1, 2).await;
    cluster.settle().await;
    cluster.write_text(1, TEXT).await;
    cluster
        .until("the text", |status| status.revision == 1)
        .await;
    cluster.write_text(2, "zone = 7").await;
    cluster.write_text(3, TEXT).await;
    cluster
        .until("the next text", |status| status.revision == 3)
        .await;
    assert!(cluster.statuses().iter().all(|status| status.revision != 2));
}
