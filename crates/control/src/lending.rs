//! Periodic requests for shares to the leaders.

use std::sync::Arc;
use std::time::Duration;

use timer::Moment;
use wire::Pool;
use wire::lend::{Grants, Requests};

use crate::handler::Shared;
use crate::view::Scope;

/// Interval of requests, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 250;

/// Timeout for the response of a leader, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 700;

/// Requests shares until dropped.
pub async fn run(shared: Arc<Shared>, pool: Arc<Pool>) {
    let mut ticks = shared.timer().subscribe(REQUEST_INTERVAL_MS);
    loop {
        ticks.next().await;
        update_ledger(&shared);
        tokio::join!(
            request_from_zone(&shared, &pool),
            request_from_fleet(&shared, &pool)
        );
    }
}

/// Updates the ledger with a newer configuration and this daemon's terms as a leader.
fn update_ledger(shared: &Shared) {
    let now = shared.timer().now();
    let (zone, fleet, text) = {
        let state = shared.lock();
        let epoch = |scope| state.leader_term(scope, now).map(|term| term.epoch);
        let newer = state.revision() > shared.ledger().revision();
        let text = newer.then(|| state.text()).flatten();
        (epoch(Scope::Zone), epoch(Scope::Fleet), text)
    };
    let mut ledger = shared.ledger();
    if let Some(config) = text
        && let Ok(text) = text::parse(&config.text)
    {
        ledger.apply(&text, config.revision);
    }
    ledger.note_zone_leader(zone, now);
    ledger.note_fleet_leader(fleet, now);
}

async fn request_from_zone(shared: &Shared, pool: &Pool) {
    let now = shared.timer().now();
    let Some(epoch) = epoch_of(shared, Scope::Zone, now) else {
        return;
    };
    let requests = shared.ledger().vm_requests(epoch, now);
    if let Some(grants) = send(shared, pool, Scope::Zone, requests).await {
        shared.ledger().take_for_vm(&grants);
    }
}

async fn request_from_fleet(shared: &Shared, pool: &Pool) {
    let now = shared.timer().now();
    let Some(term) = shared.lock().leader_term(Scope::Zone, now) else {
        return;
    };
    let Some(epoch) = epoch_of(shared, Scope::Fleet, now) else {
        return;
    };
    let requests = shared.ledger().zone_requests(term.epoch, epoch, now);
    if let Some(grants) = send(shared, pool, Scope::Fleet, requests).await {
        shared.ledger().take_for_zone(&grants, epoch);
    }
}

fn epoch_of(shared: &Shared, scope: Scope, now: Moment) -> Option<u64> {
    let state = shared.lock();
    state.lease_holder(scope, now).map(|holder| holder.epoch)
}

async fn send(shared: &Shared, pool: &Pool, scope: Scope, requests: Requests) -> Option<Grants> {
    if requests.requests.is_empty() {
        return None;
    }
    let now = shared.timer().now();
    let (is_own, peer) = {
        let state = shared.lock();
        let name = state.lease_holder(scope, now)?.name.clone();
        let entries = state.entries(now);
        let peer = entries.iter().find(|entry| entry.name == name);
        (name == state.identity().0, peer.map(|entry| entry.peer))
    };
    if is_own {
        return Some(shared.lend_to(&requests));
    }
    let limit = Duration::from_millis(RESPONSE_TIMEOUT_MS);
    let call = pool.call(peer?, limit, async |client, context| {
        client.lend(context, requests).await
    });
    call.await.ok()
}
