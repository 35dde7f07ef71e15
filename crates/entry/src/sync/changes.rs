//! Applies what the store or another entry VM tells of the store's keys.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use event::Event;
use fleet::Item;
use fleet::parts::{Deferred, LARGE_BYTES};
use fleet::restore::{Position, Verdict};
use fleet::roster::REJOIN_GRACE;

use crate::bulk;
use crate::snapshot::{Fetched, to_millis};
use crate::state::{MIN_GAP, Reading, State};
use crate::store::{Record, Store};
use crate::supervise;

fn judge(state: &State, fetched: &Fetched) -> Verdict {
    let Fetched { snapshot, era, .. } = fetched;
    let eras = state.eras();
    eras.judge(*era, snapshot.revision, snapshot.is_complete)
}

/// Returns whether a snapshot is of a later state than the known one.
pub fn is_newer(state: &State, fetched: &Fetched) -> bool {
    match judge(state, fetched) {
        Verdict::Unusable => false,
        Verdict::SameEra => fetched.snapshot.revision > state.revision(),
        Verdict::NewEra => true,
    }
}

/// Applies the snapshot of another entry VM, requested at `sent_at`; returns false if it is of an earlier
/// era. Registrations that the sender still waits for after an outage are waited for here too, unless
/// this VM had news of the store all the time.
pub fn apply_snapshot<S: Store>(state: &State, fetched: Fetched, sent_at: Instant) -> bool {
    let verdict = judge(state, &fetched);
    if verdict == Verdict::Unusable {
        return false;
    }
    let now = Instant::now();
    state.note_witness(&fetched, now);
    let Fetched {
        snapshot,
        deferred,
        from,
        era,
        ..
    } = fetched;
    let is_behind = state
        .read_at()
        .is_none_or(|at| now.duration_since(at) >= MIN_GAP);
    if snapshot.rejoin_ms > 0 && is_behind {
        let rejoin = Duration::from_millis(snapshot.rejoin_ms).min(REJOIN_GRACE);
        state.silent_since.set(state.read_at());
        state.set_rejoin_until(now + rejoin);
        state.rejoin_from.set(Some(from));
    } else if snapshot.rejoin_ms == 0 && state.rejoin_from.get() == Some(from) {
        state.take_outage_back(now);
    }
    if verdict == Verdict::SameEra && snapshot.revision < state.revision() {
        return true;
    }
    match verdict {
        Verdict::NewEra => {
            // A sender that started after the restore does not know which keys are missing.
            let grace = match snapshot.rejoin_ms {
                0 => REJOIN_GRACE,
                rejoin_ms => Duration::from_millis(rejoin_ms).min(REJOIN_GRACE),
            };
            let position = Position {
                era: era.unwrap_or_default(),
                revision: snapshot.revision,
            };
            let listed = keys(&snapshot.items, &deferred);
            enter_era::<S>(state, snapshot.items, &listed, position, false, now + grace);
        }
        _ if snapshot.is_complete => {
            let listed = keys(&snapshot.items, &deferred);
            replace::<S>(state, snapshot.items, &listed, snapshot.revision);
        }
        _ => apply::<S>(state, snapshot.items),
    }
    for deferred in deferred {
        state.offer(deferred, from);
    }
    let reading = Reading {
        sent_at: before(sent_at, snapshot.query_age_ms),
        answered_at: before(now, snapshot.age_ms).unwrap_or(now),
    };
    state.set_revision(snapshot.revision, reading);
    expire_missing::<S>(state);
    true
}

/// Removes the keys that nobody wrote again after a restore of the store.
pub fn expire_missing<S: Store>(state: &State) {
    let removed = state.grace.borrow_mut().expire(state.complete_until());
    // The store has no revision for these removals. VMs that follow this one ask for changes after the
    // present revision, so the removals count as later.
    let revision = state.revision().saturating_add(1);
    let removed = removed.into_iter().map(|key| Record {
        key,
        value: None,
        revision,
    });
    apply::<S>(state, removed.collect());
}

/// Returns the time `ms` milliseconds before `at`, or `None` if the clock began later.
fn before(at: Instant, ms: u64) -> Option<Instant> {
    at.checked_sub(Duration::from_millis(ms))
}

/// Applies changes of the store. One that fails is left out, so that it does not cost the others. A large
/// value is applied later, once it is decoded.
pub fn apply<S: Store>(state: &State, items: Vec<Record>) {
    for record in items {
        let key = record.key.clone();
        if let Some(value) = record
            .value
            .as_ref()
            .filter(|value| value.len() >= LARGE_BYTES)
        {
            state.offer_whole(key, value, record.revision);
            continue;
        }
        state.bulk.values.borrow_mut().forget(&key);
        let applied = supervise::guard(state, "apply", || apply_record::<S>(state, record));
        if let Err(problem) = applied {
            event::emit(&Event::KeyUnreadable { key, problem });
        }
    }
}

fn apply_record<S: Store>(state: &State, record: Record) {
    let began = Instant::now();
    let item = S::decode(&record);
    bulk::apply_item(state, record, item, to_millis(began.elapsed()));
}

/// Replaces all known keys by those in `listed` of a later era, and applies `items`.
pub fn enter_era<S: Store>(
    state: &State,
    items: Vec<Record>,
    listed: &HashSet<String>,
    position: Position,
    is_own_listing: bool,
    until: Instant,
) {
    state.clear_complete_until();
    state.bulk.values.borrow_mut().forget_all();
    forget_announcement::<S>(state, listed);
    state.begin_era(position, listed, is_own_listing, until);
    apply::<S>(state, items);
    state.announcement_due.notify_one();
}

/// Forgets which VMs of the zone are announced if the store does not have their key, so that they are
/// announced again.
fn forget_announcement<S: Store>(state: &State, listed: &HashSet<String>) {
    let missing = state.replica().unlisted(listed);
    let is_own = |key: String| {
        let record = Record {
            key,
            value: None,
            revision: 0,
        };
        matches!(S::decode(&record), Item::Members { zone, .. } if zone == state.settings.zone)
    };
    if missing.into_iter().any(is_own) {
        state.announced.borrow_mut().clear();
    }
}

/// Returns the names of the keys of a snapshot or a listing.
#[must_use]
pub fn keys(items: &[Record], deferred: &[Deferred]) -> HashSet<String> {
    let items = items.iter().map(|record| record.key.clone());
    let deferred = deferred.iter().map(|deferred| deferred.key.clone());
    items.chain(deferred).collect()
}

/// Replaces all known keys by those in `listed`, and applies `items`.
pub fn replace<S: Store>(
    state: &State,
    items: Vec<Record>,
    listed: &HashSet<String>,
    revision: u64,
) {
    state.clear_complete_until();
    let unlisted = state.replica().unlisted(listed);
    state
        .bulk
        .values
        .borrow_mut()
        .retain(|key| listed.contains(key));
    let removed = unlisted.into_iter().map(|key| Record {
        key,
        value: None,
        revision,
    });
    apply::<S>(state, removed.collect());
    apply::<S>(state, items);
    state.note_listed(revision);
}
