//! Liveness probes of other VMs of the zone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use wire::Pool;
use wire::view::Entry;

use crate::handler::Shared;

/// Interval of probes, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 1_000;

/// Timeout of a direct probe, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 400;

/// Timeout of a probe through another VM, in milliseconds.
const INDIRECT_TIMEOUT_MS: u64 = 1_000;

/// Probes the VMs of the zone in turn until dropped.
pub async fn run(shared: Arc<Shared>, pool: Arc<Pool>) {
    let mut ticks = shared.timer().subscribe(PROBE_INTERVAL_MS);
    loop {
        let now = ticks.next().await;
        let probe_targets = shared.lock().probe_targets(now);
        let names: Vec<&str> = probe_targets
            .iter()
            .map(|entry| entry.name.as_str())
            .collect();
        let target = shared.lock().member.next_probe(&names, &mut rand::rng());
        let target = probe_targets
            .iter()
            .find(|entry| Some(&entry.name) == target.as_ref());
        if let Some(target) = target {
            check(&shared, &pool, target, &probe_targets).await;
        }
    }
}

async fn check(shared: &Shared, pool: &Pool, target: &Entry, probe_targets: &[Entry]) {
    if probe(shared, pool, &target.name, target.peer).await {
        return;
    }
    let names: Vec<&str> = probe_targets
        .iter()
        .map(|entry| entry.name.as_str())
        .collect();
    let helpers = shared
        .lock()
        .member
        .helpers(&target.name, &names, &mut rand::rng());
    let helpers = probe_targets
        .iter()
        .filter(|entry| helpers.contains(&entry.name.as_str()));
    let reachable =
        join_all(helpers.map(|helper| probe_through(pool, helper.peer, target.peer))).await;
    if !reachable.contains(&true) {
        shared.lock().member.suspect(&target.name);
    }
}

async fn probe_through(pool: &Pool, helper: SocketAddr, target: SocketAddr) -> bool {
    let limit = Duration::from_millis(INDIRECT_TIMEOUT_MS);
    let outcome = pool
        .call(helper, limit, async |client, context| {
            client.probe_for(context, target).await
        })
        .await;
    outcome.unwrap_or(false)
}

/// Probes the VM `name` at `addr` and returns whether it responded.
pub async fn probe(shared: &Shared, pool: &Pool, name: &str, addr: SocketAddr) -> bool {
    let request = shared.lock().member.probe(name);
    let limit = Duration::from_millis(RESPONSE_TIMEOUT_MS);
    let outcome = pool
        .call(addr, limit, async |client, context| {
            client.probe(context, request).await
        })
        .await;
    let Ok(response) = outcome else {
        return false;
    };
    let now = shared.timer().now();
    shared.lock().member.hear_probe(&response, now);
    true
}
