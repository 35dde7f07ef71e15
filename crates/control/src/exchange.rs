//! Periodic exchange with other control daemons.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use rand::Rng as _;
use wire::Pool;
use wire::keyring::Keyring;
use wire::sync::Response;
use wire::view::Entry;

use crate::handler::Shared;

/// Time between two looks at what is due, in milliseconds.
const TICK_MS: u64 = 50;

/// Longest time that a peer may take to answer, in milliseconds.
const ANSWER_MS: u64 = 700;

/// Time between two questions to the seeds while no list of VMs is known, in milliseconds.
const SEED_MS: u64 = 500;

/// Part of a round by which its length varies at random: one in this many.
const JITTER_DIVISOR: u64 = 10;

/// Exchanges state with the other control daemons until dropped.
pub async fn run(shared: Arc<Shared>, pool: Arc<Pool>, seeds: Vec<Entry>) {
    let mut ticks = shared.timer().subscribe(TICK_MS);
    let mut due = shared.timer().now();
    loop {
        let now = ticks.next().await;
        send_urgent(&shared, &pool).await;
        let (round_ms, hurry) = {
            let mut state = shared.lock();
            (state.round_ms(now), state.take_hurry())
        };
        if !hurry && now < due && now.until(due) <= Duration::from_millis(round_ms) {
            continue;
        }
        let targets = targets(&shared, &seeds);
        let wait_ms = if shared.lock().knows_nobody() {
            SEED_MS
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
    if targets.is_empty() && state.knows_nobody() {
        return seeds.to_vec();
    }
    targets
}

fn jittered(ms: u64) -> u64 {
    let most = ms / JITTER_DIVISOR;
    ms - most + rand::rng().random_range(0..=most)
}

/// Asks `entry`, and once more for the parts that differ.
async fn exchange(shared: &Shared, pool: &Pool, entry: &Entry) {
    let Some((_, differs)) = ask(shared, pool, entry, false).await else {
        return;
    };
    if !differs {
        return;
    }
    let Some((answer, true)) = ask(shared, pool, entry, true).await else {
        return;
    };
    let missing = shared.lock().beyond(&answer);
    if !missing.records.is_empty() {
        send(shared, pool, entry, &missing).await;
    }
}

async fn ask(
    shared: &Shared,
    pool: &Pool,
    entry: &Entry,
    detailed: bool,
) -> Option<(Response, bool)> {
    let asked = shared.timer().now();
    let question = shared.lock().ask(&entry.name, detailed, asked);
    let outcome = pool
        .call(entry.peer, limit(), async |client, context| {
            client.sync(context, question).await
        })
        .await;
    let now = shared.timer().now();
    let Ok(answer) = outcome else {
        shared.lock().note_failed(&entry.name, now);
        return None;
    };
    let zone = Some(entry.zone.as_str()).filter(|zone| !zone.is_empty());
    let outcome = shared.lock().learn_answer(&answer, zone, asked, now);
    shared.log(outcome.change, &entry.peer.to_string());
    Some((answer, outcome.differs))
}

/// Sends new withdrawals to the neighbors, who send them on.
async fn send_urgent(shared: &Shared, pool: &Pool) {
    let now = shared.timer().now();
    let (news, neighbors) = {
        let mut state = shared.lock();
        if !state.is_urgent() {
            return;
        }
        (state.take_urgent(), state.neighbors(now, &mut rand::rng()))
    };
    join_all(
        neighbors
            .iter()
            .map(|entry| send(shared, pool, entry, &news)),
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
    Duration::from_millis(ANSWER_MS)
}
