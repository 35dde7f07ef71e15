//! Periodic state exchange with other control daemons.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use rand::Rng as _;
use wire::Pool;
use wire::keyring::Keyring;
use wire::sync::Response;
use wire::view::Entry;

use crate::handler::Shared;

/// Interval at which due rounds and urgent withdrawals are checked, in milliseconds.
const TICK_MS: u64 = 50;

/// Timeout for the response of a peer, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 700;

/// Interval of requests to the seeds while no list of VMs has been received, in milliseconds.
const SEED_INTERVAL_MS: u64 = 500;

/// A round is shortened at random by up to its length divided by this.
const JITTER_DIVISOR: u64 = 10;

/// Exchanges state with the other control daemons until dropped.
pub async fn run(shared: Arc<Shared>, pool: Arc<Pool>, seeds: Vec<Entry>) {
    let mut ticks = shared.timer().subscribe(TICK_MS);
    let mut due = shared.timer().now();
    loop {
        let now = ticks.next().await;
        send_urgent(&shared, &pool).await;
        let (round_ms, round_due) = {
            let mut state = shared.lock();
            (state.round_ms(now), state.take_round_due())
        };
        if !round_due && now < due && now.until(due) <= Duration::from_millis(round_ms) {
            continue;
        }
        let targets = targets(&shared, &seeds);
        let wait_ms = if shared.lock().has_empty_roster() {
            SEED_INTERVAL_MS
        } else {
            round_ms
        };
        due = now.plus_ms(jittered(wait_ms));
        join_all(targets.iter().map(|entry| exchange(&shared, &pool, entry))).await;
    }
}

fn targets(shared: &Shared, seeds: &[Entry]) -> Vec<Entry> {
    let now = shared.timer().now();
    let state = shared.lock();
    let targets = state.targets(now, &mut rand::rng());
    if targets.is_empty() && state.has_empty_roster() {
        return seeds.to_vec();
    }
    targets
}

fn jittered(ms: u64) -> u64 {
    let max_jitter_ms = ms / JITTER_DIVISOR;
    ms - max_jitter_ms + rand::rng().random_range(0..=max_jitter_ms)
}

/// Exchanges state with `entry`; if it differs, requests the shards that differ.
async fn exchange(shared: &Shared, pool: &Pool, entry: &Entry) {
    let Some((_, differs)) = request(shared, pool, entry, false).await else {
        return;
    };
    if !differs {
        return;
    }
    let Some((response, true)) = request(shared, pool, entry, true).await else {
        return;
    };
    let missing = shared.lock().records_missing_from(&response);
    if !missing.records.is_empty() {
        send(shared, pool, entry, &missing).await;
    }
}

async fn request(
    shared: &Shared,
    pool: &Pool,
    entry: &Entry,
    detailed: bool,
) -> Option<(Response, bool)> {
    let requested_at = shared.timer().now();
    let request = shared.lock().request(&entry.name, detailed, requested_at);
    let outcome = pool
        .call(entry.peer, limit(), async |client, context| {
            client.sync(context, request).await
        })
        .await;
    let now = shared.timer().now();
    let Ok(response) = outcome else {
        shared.lock().note_failed(&entry.name, now);
        return None;
    };
    let zone = Some(entry.zone.as_str()).filter(|zone| !zone.is_empty());
    let outcome = shared
        .lock()
        .apply_response(&response, zone, requested_at, now);
    shared.log(outcome.change, &entry.peer.to_string());
    Some((response, outcome.differs))
}

/// Sends new withdrawals to the neighbors, which forward them.
async fn send_urgent(shared: &Shared, pool: &Pool) {
    let now = shared.timer().now();
    let (withdrawals, neighbors) = {
        let mut state = shared.lock();
        if !state.is_urgent() {
            return;
        }
        (state.take_urgent(), state.neighbors(now, &mut rand::rng()))
    };
    join_all(
        neighbors
            .iter()
            .map(|entry| send(shared, pool, entry, &withdrawals)),
    )
    .await;
}

async fn send(shared: &Shared, pool: &Pool, entry: &Entry, keyring: &Keyring) {
    let keyring = keyring.clone();
    let outcome = pool
        .call(entry.peer, limit(), async |client, context| {
            client.withdraw(context, keyring).await
        })
        .await;
    if outcome.is_err() {
        let now = shared.timer().now();
        shared.lock().note_failed(&entry.name, now);
    }
}

fn limit() -> Duration {
    Duration::from_millis(RESPONSE_TIMEOUT_MS)
}
