//! Synchronization of the state with the platform's store.
//!
//! The entry VM that leads its zone lists all keys once and then watches for changes, with a pause
//! between two watches so that heartbeats arrive in batches. The other VMs of the zone fetch
//! snapshots from the leader. A VM whose leader has no recent state reads the store itself, and a
//! VM that cannot read the store fetches from any entry VM that knows a later revision.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event::Event;
use tokio::time::sleep;

use crate::peers;
use crate::snapshot::{self, Snapshot};
use crate::state::{Reading, State};
use crate::store::{Record, Store, StoreError};

/// Pause between two watches. Followers add their own interval, and the sum has to stay well below
/// the two seconds within which changes take effect.
const WATCH_PAUSE: Duration = Duration::from_millis(500);

/// Longest time that the store delays the response to a watch without changes.
const WATCH_WAIT: Duration = Duration::from_millis(300);

/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Term of the lease on the announcement. Messages show which VMs are alive, so the term only
/// limits for how long an unreachable VM is still sent messages.
const LEASE_TERM: Duration = Duration::from_secs(90);

/// Time between two renewals of the lease.
const RENEW_INTERVAL: Duration = Duration::from_secs(30);

/// Maximum number of entry VMs that are asked for a snapshot after a failed call.
const MAX_FETCHES: usize = 2;

/// Age from which on the leader's state is stale, in milliseconds: a pause and a watch of the
/// leader, and a slow response.
const STALE_MS: u64 = 1_000;

/// Age of this VM's state from which on it accepts another VM's report of an outage: longer than
/// the leader's pause and watch, a slow response and the interval between two fetches from the
/// leader.
const MIN_OUTAGE: Duration = Duration::from_millis(1_500);

/// Timeout of a fetch from the leader, which is in the same zone.
const LEADER_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of a fetch from an entry VM that may be in another region.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);

/// Interval between two fetches from the leader.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(400);

/// Keeps the state up to date.
pub async fn run<S: Store>(state: Rc<State>, mut store: S) {
    let mut reader = Reader {
        state: &state,
        is_listed: false,
        unreachable_since: None,
    };
    loop {
        let pause = reader.update(&mut store).await;
        sleep(pause).await;
    }
}

struct Reader<'a> {
    state: &'a State,
    /// Whether all keys are known, so that changes suffice.
    is_listed: bool,
    /// Since when the store is unreachable.
    unreachable_since: Option<Instant>,
}

impl Reader<'_> {
    /// Updates the state once; returns the pause until the next update.
    async fn update<S: Store>(&mut self, store: &mut S) -> Duration {
        if self.follow(store).await {
            return FOLLOW_INTERVAL;
        }
        match self.read_store(store).await {
            Ok(()) => {
                self.state.metrics.note_store_call("changes", true);
                WATCH_PAUSE
            }
            Err(StoreError::Compacted) => {
                self.is_listed = false;
                Duration::ZERO
            }
            Err(error) => {
                self.state.metrics.note_store_call("changes", false);
                self.note_failure(&error);
                self.fetch_from_peers(store).await;
                RETRY_DELAY
            }
        }
    }

    /// Applies the leader's snapshot; returns whether it is recent.
    async fn follow<S: Store>(&mut self, store: &S) -> bool {
        let Some(leader) = self.state.leader() else {
            return false;
        };
        let sent_at = Instant::now();
        match snapshot::fetch(leader, self.state.revision(), LEADER_TIMEOUT).await {
            Ok(snapshot) if snapshot.age_ms < STALE_MS => {
                apply_snapshot(self.state, store, snapshot, sent_at);
                self.is_listed = true;
                self.unreachable_since = None;
                true
            }
            Ok(_) => false,
            Err(error) => {
                event::emit(&Event::NeighbourUnreachable {
                    addr: leader,
                    error,
                });
                false
            }
        }
    }

    async fn read_store<S: Store>(&mut self, store: &mut S) -> Result<(), StoreError> {
        let sent_at = Instant::now();
        if !self.is_listed {
            let (items, revision) = list(store).await?;
            self.note_reachable();
            replace(self.state, store, items, revision);
            self.state.set_revision(revision, reading(sent_at));
            self.is_listed = true;
            return Ok(());
        }
        let batch = store.watch(self.state.revision(), WATCH_WAIT).await?;
        self.note_reachable();
        apply(self.state, store, batch.events);
        self.state.set_revision(batch.revision, reading(sent_at));
        Ok(())
    }

    /// Records that the store answers. Registrations can have expired only if the store was down
    /// for all VMs; if it was unreachable for this VM alone, the other VMs' snapshots brought news
    /// of it meanwhile.
    fn note_reachable(&mut self) {
        let Some(unreachable_since) = self.unreachable_since.take() else {
            return;
        };
        event::emit(&Event::StoreReachable {});
        let has_news = self
            .state
            .read_at()
            .is_some_and(|at| at > unreachable_since);
        if !has_news {
            self.state.note_outage_end(Instant::now());
        }
    }

    fn note_failure(&mut self, error: &StoreError) {
        if self.unreachable_since.is_none() {
            self.unreachable_since = Some(Instant::now());
            event::emit(&Event::StoreUnreachable {
                purpose: "changes".to_owned(),
                error: error.to_string(),
            });
        }
    }

    async fn fetch_from_peers<S: Store>(&mut self, store: &S) {
        let mut addrs = self.state.peers_ahead();
        if self.state.revision() == 0 {
            addrs.extend(self.state.settings.seeds.iter().copied());
        }
        for addr in addrs.into_iter().take(MAX_FETCHES) {
            let sent_at = Instant::now();
            match snapshot::fetch(addr, self.state.revision(), PEER_TIMEOUT).await {
                Ok(snapshot) if snapshot.revision > self.state.revision() => {
                    apply_snapshot(self.state, store, snapshot, sent_at);
                    self.is_listed = true;
                    return;
                }
                Ok(_) => {}
                Err(error) => event::emit(&Event::NeighbourUnreachable { addr, error }),
            }
        }
    }
}

/// Returns the reading of a query that was sent at `sent_at` and is answered now.
fn reading(sent_at: Instant) -> Reading {
    Reading {
        sent_at: Some(sent_at),
        answered_at: Instant::now(),
    }
}

/// Applies the snapshot of another entry VM, requested at `sent_at`. Registrations that the sender
/// still waits for after an outage are waited for here too, unless this VM had news of the store
/// all the time.
fn apply_snapshot<S: Store>(state: &State, store: &S, snapshot: Snapshot, sent_at: Instant) {
    let now = Instant::now();
    let is_behind = state
        .read_at()
        .is_none_or(|at| now.duration_since(at) >= MIN_OUTAGE);
    if snapshot.rejoin_ms > 0 && is_behind {
        state.set_rejoin_until(now + Duration::from_millis(snapshot.rejoin_ms));
    }
    if snapshot.revision < state.revision() {
        return;
    }
    if snapshot.is_complete {
        replace(state, store, snapshot.items, snapshot.revision);
    } else {
        apply(state, store, snapshot.items);
    }
    let reading = Reading {
        sent_at: before(sent_at, snapshot.query_age_ms),
        answered_at: before(now, snapshot.age_ms).unwrap_or(now),
    };
    state.set_revision(snapshot.revision, reading);
}

/// Returns the time `ms` milliseconds before `at`, or `None` if the clock began later.
fn before(at: Instant, ms: u64) -> Option<Instant> {
    at.checked_sub(Duration::from_millis(ms))
}

fn apply<S: Store>(state: &State, store: &S, items: Vec<Record>) {
    for record in items {
        let item = store.decode(&record);
        state.apply(record, item);
    }
}

async fn list<S: Store>(store: &mut S) -> Result<(Vec<Record>, u64), StoreError> {
    let first = store.list("").await?;
    let revision = first.revision;
    let mut has_more = first.has_more;
    let mut items = first.items;
    while has_more {
        let after = items
            .last()
            .map(|record| record.key.clone())
            .unwrap_or_default();
        let page = store.list(&after).await?;
        has_more = page.has_more && !page.items.is_empty();
        items.extend(page.items);
    }
    Ok((items, revision))
}

/// Replaces all known keys by `items`.
fn replace<S: Store>(state: &State, store: &S, items: Vec<Record>, revision: u64) {
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

/// Keeps this entry VM announced in the store.
pub async fn announce<S: Store>(state: Rc<State>, mut store: S) {
    let mut lease = None;
    loop {
        if state.is_leaving() {
            withdraw(&mut store, lease).await;
            return;
        }
        let renewed = match lease {
            Some(lease) => store.renew_lease(lease).await.map(|()| lease),
            None => write_announcement(&state, &mut store).await,
        };
        state
            .metrics
            .note_store_call("announcement", renewed.is_ok());
        lease = match renewed {
            Ok(lease) => Some(lease),
            Err(StoreError::NotFound) => None,
            Err(error) => {
                event::emit(&Event::StoreUnreachable {
                    purpose: "announcement".to_owned(),
                    error: error.to_string(),
                });
                lease
            }
        };
        let pause = if lease.is_some() {
            RENEW_INTERVAL
        } else {
            RETRY_DELAY * 4
        };
        tokio::select! {
            () = sleep(pause) => {}
            () = state.wait_leaving() => {}
        }
    }
}

async fn write_announcement<S: Store>(state: &State, store: &mut S) -> Result<u64, StoreError> {
    let lease = store.grant_lease(LEASE_TERM).await?;
    let announcement = peers::announcement(&state.settings);
    let bytes = postcard::to_stdvec(&announcement);
    let bytes = bytes.map_err(|error| StoreError::Malformed(error.to_string()))?;
    store.announce(&state.settings.vm, &bytes, lease).await?;
    Ok(lease)
}

async fn withdraw<S: Store>(store: &mut S, lease: Option<u64>) {
    let Some(lease) = lease else { return };
    if let Err(error) = store.end_lease(lease).await {
        event::emit(&Event::StoreUnreachable {
            purpose: "withdrawal".to_owned(),
            error: error.to_string(),
        });
    }
}
