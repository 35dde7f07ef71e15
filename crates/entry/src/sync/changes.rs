//! Applies what the store or another entry VM tells of the store's keys.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use event::Event;
use fleet::Item;
use fleet::restore::{Position, Verdict};
use fleet::roster::REJOIN_GRACE;

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
pub fn apply_snapshot<S: Store>(
    state: &State,
    store: &S,
    fetched: Fetched,
    sent_at: Instant,
) -> bool {
    let verdict = judge(state, &fetched);
    if verdict == Verdict::Unusable {
        return false;
    }
    let now = Instant::now();
    state.note_witness(&fetched, now);
    let Fetched { snapshot, era, .. } = fetched;
    let is_behind = state
        .read_at()
        .is_none_or(|at| now.duration_since(at) >= MIN_GAP);
    if snapshot.rejoin_ms > 0 && is_behind {
        let rejoin = Duration::from_millis(snapshot.rejoin_ms).min(REJOIN_GRACE);
        state.silent_since.set(state.read_at());
        state.set_rejoin_until(now + rejoin);
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
            enter_era(state, store, snapshot.items, position, false, now + grace);
        }
        _ if snapshot.is_complete => replace(state, store, snapshot.items, snapshot.revision),
        _ => apply(state, store, snapshot.items),
    }
    let reading = Reading {
        sent_at: before(sent_at, snapshot.query_age_ms),
        answered_at: before(now, snapshot.age_ms).unwrap_or(now),
    };
    state.set_revision(snapshot.revision, reading);
    expire_missing(state, store);
    true
}

/// Removes the keys that nobody wrote again after a restore of the store.
pub fn expire_missing<S: Store>(state: &State, store: &S) {
    let removed = state.grace.borrow_mut().expire(state.complete_until());
    // The store has no revision for these removals. VMs that follow this one ask for changes after the
    // present revision, so the removals count as later.
    let revision = state.revision().saturating_add(1);
    let removed = removed.into_iter().map(|key| Record {
        key,
        value: None,
        revision,
    });
    apply(state, store, removed.collect());
}

/// Returns the time `ms` milliseconds before `at`, or `None` if the clock began later.
fn before(at: Instant, ms: u64) -> Option<Instant> {
    at.checked_sub(Duration::from_millis(ms))
}

/// Applies changes of the store. One that fails is left out, so that it does not cost the others.
pub fn apply<S: Store>(state: &State, store: &S, items: Vec<Record>) {
    for record in items {
        let key = record.key.clone();
        let applied = supervise::guard(state, "apply", || apply_record(state, store, record));
        if let Err(problem) = applied {
            event::emit(&Event::KeyUnreadable { key, problem });
        }
    }
}

fn apply_record<S: Store>(state: &State, store: &S, record: Record) {
    let bytes = record.value.as_ref().map_or(0, Vec::len);
    let began = Instant::now();
    let item = store.decode(&record);
    let decoded = Instant::now();
    let version = match &item {
        Item::Config(config) if config.version > state.version() => Some(config.version),
        _ => None,
    };
    state.apply(record, item);
    if let Some(version) = version {
        event::emit(&Event::ConfigApplied {
            revision: version.0,
            bytes: bytes as u64,
            decode_ms: to_millis(decoded.duration_since(began)),
            apply_ms: to_millis(decoded.elapsed()),
        });
    }
}

/// Replaces all known keys by `items` of a later era.
pub fn enter_era<S: Store>(
    state: &State,
    store: &S,
    items: Vec<Record>,
    position: Position,
    is_own_listing: bool,
    until: Instant,
) {
    state.clear_complete_until();
    let listed = keys(&items);
    forget_announcement(state, store, &listed);
    state.begin_era(position, &listed, is_own_listing, until);
    apply(state, store, items);
    state.announcement_due.notify_one();
}

/// Forgets which VMs of the zone are announced if the store does not have their key, so that they are
/// announced again.
fn forget_announcement<S: Store>(state: &State, store: &S, listed: &HashSet<String>) {
    let missing = state.replica().unlisted(listed);
    let is_own = |key: String| {
        let record = Record {
            key,
            value: None,
            revision: 0,
        };
        matches!(store.decode(&record), Item::Members { zone, .. } if zone == state.settings.zone)
    };
    if missing.into_iter().any(is_own) {
        state.announced.borrow_mut().clear();
    }
}

fn keys(items: &[Record]) -> HashSet<String> {
    items.iter().map(|record| record.key.clone()).collect()
}

/// Replaces all known keys by `items`.
pub fn replace<S: Store>(state: &State, store: &S, items: Vec<Record>, revision: u64) {
    state.clear_complete_until();
    let listed: HashSet<String> = items.iter().map(|record| record.key.clone()).collect();
    let unlisted = state.replica().unlisted(&listed);
    let removed = unlisted.into_iter().map(|key| Record {
        key,
        value: None,
        revision,
    });
    apply(state, store, removed.collect());
    apply(state, store, items);
    state.note_listed(revision);
}
