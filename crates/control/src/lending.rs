//! Asking leads for shares, periodically.

use std::sync::Arc;
use std::time::Duration;

use timer::Moment;
use wire::Pool;
use wire::lend::{Grants, Requests};

use crate::handler::Shared;
use crate::view::Scope;

/// Time between two requests, in milliseconds.
const ASK_MS: u64 = 250;

/// Longest time that a lead may take to answer, in milliseconds.
const ANSWER_MS: u64 = 700;

/// Asks for shares until dropped.
pub async fn run(shared: Arc<Shared>, pool: Arc<Pool>) {
    let mut ticks = shared.timer().subscribe(ASK_MS);
    loop {
        ticks.next().await;
        note(&shared);
        tokio::join!(ask_zone(&shared, &pool), ask_fleet(&shared, &pool));
    }
}

/// Takes note of a newer text and of this daemon's terms as a lead.
fn note(shared: &Shared) {
    let now = shared.timer().now();
    let (zone, fleet, text) = {
        let state = shared.lock();
        let epoch = |scope| state.lead(scope, now).map(|term| term.epoch);
        let newer = state.revision() > shared.shares().revision();
        let text = newer.then(|| state.text()).flatten();
        (epoch(Scope::Zone), epoch(Scope::Fleet), text)
    };
    let mut lend = shared.shares();
    if let Some(config) = text
        && let Ok(text) = text::parse(&config.text)
    {
        lend.learn(&text, config.revision);
    }
    lend.note_zone_lead(zone, now);
    lend.note_fleet_lead(fleet, now);
}

async fn ask_zone(shared: &Shared, pool: &Pool) {
    let now = shared.timer().now();
    let Some(epoch) = epoch_of(shared, Scope::Zone, now) else {
        return;
    };
    let asks = shared.shares().vm_asks(epoch, now);
    if let Some(grants) = ask(shared, pool, Scope::Zone, asks).await {
        shared.shares().take_for_vm(&grants);
    }
}

async fn ask_fleet(shared: &Shared, pool: &Pool) {
    let now = shared.timer().now();
    let Some(term) = shared.lock().lead(Scope::Zone, now) else {
        return;
    };
    let Some(epoch) = epoch_of(shared, Scope::Fleet, now) else {
        return;
    };
    let asks = shared.shares().zone_asks(term.epoch, epoch, now);
    if let Some(grants) = ask(shared, pool, Scope::Fleet, asks).await {
        shared.shares().take_for_zone(&grants, epoch);
    }
}

fn epoch_of(shared: &Shared, scope: Scope, now: Moment) -> Option<u64> {
    let state = shared.lock();
    state.lead_holder(scope, now).map(|holder| holder.epoch)
}

async fn ask(shared: &Shared, pool: &Pool, scope: Scope, asks: Requests) -> Option<Grants> {
    if asks.requests.is_empty() {
        return None;
    }
    let now = shared.timer().now();
    let (own, peer) = {
        let state = shared.lock();
        let name = state.lead_holder(scope, now)?.name.clone();
        let entries = state.entries(now);
        let peer = entries.iter().find(|entry| entry.name == name);
        (name == state.identity().0, peer.map(|entry| entry.peer))
    };
    if own {
        return Some(shared.lend_to(&asks));
    }
    let limit = Duration::from_millis(ANSWER_MS);
    let call = pool.call(peer?, limit, async |client, context| {
        client.lend(context, asks).await
    });
    call.await.ok()
}
