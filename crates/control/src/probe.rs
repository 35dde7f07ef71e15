//! Probing other VMs of the zone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use wire::Pool;
use wire::view::Entry;

use crate::handler::Shared;

/// Time between two probes, in milliseconds.
const PROBE_MS: u64 = 1_000;

/// Longest time that a probe may take, in milliseconds.
const ANSWER_MS: u64 = 400;

/// Longest time that a probe through another VM may take, in milliseconds.
const HELP_MS: u64 = 1_000;

/// Probes one VM of the zone after the other until dropped.
pub async fn run(shared: Arc<Shared>, pool: Arc<Pool>) {
    let mut ticks = shared.timer().subscribe(PROBE_MS);
    loop {
        let now = ticks.next().await;
        let probed = shared.lock().probed(now);
        let names: Vec<&str> = probed.iter().map(|entry| entry.name.as_str()).collect();
        let target = shared.lock().member.next_probe(&names, &mut rand::rng());
        let target = probed
            .iter()
            .find(|entry| Some(&entry.name) == target.as_ref());
        if let Some(target) = target {
            check(&shared, &pool, target, &probed).await;
        }
    }
}

async fn check(shared: &Shared, pool: &Pool, target: &Entry, probed: &[Entry]) {
    if probe(shared, pool, &target.name, target.peer).await {
        return;
    }
    let names: Vec<&str> = probed.iter().map(|entry| entry.name.as_str()).collect();
    let helpers = shared
        .lock()
        .member
        .helpers(&target.name, &names, &mut rand::rng());
    let helpers = probed
        .iter()
        .filter(|entry| helpers.contains(&entry.name.as_str()));
    let answers = join_all(helpers.map(|helper| ask_for(pool, helper.peer, target.peer))).await;
    if !answers.contains(&true) {
        shared.lock().member.suspect(&target.name);
    }
}

async fn ask_for(pool: &Pool, helper: SocketAddr, target: SocketAddr) -> bool {
    let limit = Duration::from_millis(HELP_MS);
    let outcome = pool
        .call(helper, limit, async |client, context| {
            client.probe_for(context, target).await
        })
        .await;
    outcome.unwrap_or(false)
}

/// Probes the VM `name` at `addr` and returns whether it answered.
pub async fn probe(shared: &Shared, pool: &Pool, name: &str, addr: SocketAddr) -> bool {
    let question = shared.lock().member.probe(name);
    let limit = Duration::from_millis(ANSWER_MS);
    let outcome = pool
        .call(addr, limit, async |client, context| {
            client.probe(context, question).await
        })
        .await;
    let Ok(answer) = outcome else {
        return false;
    };
    let now = shared.timer().now();
    shared.lock().member.handle_probe(&answer, now);
    true
}
