//! Keeping up with the platform's store.
//!
//! The entry VM that leads its zone lists all keys once and then asks for changes, with a pause
//! between two questions so that heartbeats are taken in batches. The others of the zone ask the
//! lead. One that hears nothing new from its lead reads the store itself, and one that cannot read
//! the store asks any entry VM that knows more.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event::Event;
use tokio::time::sleep;

use crate::peers;
use crate::snapshot::{self, Snapshot};
use crate::state::{Reading, State};
use crate::store::{Record, Store, StoreError};

/// Time between two questions for changes. Followers add theirs, and the sum has to stay well
/// below the two seconds within which changes take effect.
const PAUSE: Duration = Duration::from_millis(500);

/// Longest time that the store holds a question without changes.
const WAIT: Duration = Duration::from_millis(300);

/// Pause after a failed call.
const RETRY: Duration = Duration::from_millis(250);

/// Term of the lease on the announcement. Who is alive is judged by messages, so the term only
/// bounds how long a lost VM is still greeted.
const LEASE: Duration = Duration::from_secs(90);

/// Time between two renewals of the lease.
const RENEW: Duration = Duration::from_secs(30);

/// Most neighbours that are asked at once.
const MAX_ASKED: usize = 2;

/// Age from which on a lead's knowledge is not relied on, in milliseconds: a pause and a wait of
/// the lead, and a slow answer.
const STALE_MS: u64 = 1_000;

/// Silence of the store after which a VM believes others that there was an outage: longer than a
/// lead's pause and wait, a slow answer and the time between two questions to the lead.
const OUTAGE: Duration = Duration::from_millis(1_500);

/// Longest time that a lead, in the same zone, may take to answer.
const LEAD_ANSWER: Duration = Duration::from_millis(400);

/// Longest time that an entry VM in another region may take to answer.
const FAR_ANSWER: Duration = Duration::from_millis(800);

/// Time between two questions to the lead.
const FOLLOW: Duration = Duration::from_millis(400);

/// Keeps the state up to date.
pub async fn run<S: Store>(state: Rc<State>, mut store: S) {
    let mut reader = Reader {
        state: &state,
        is_listed: false,
        lost_since: None,
    };
    loop {
        let pause = reader.turn(&mut store).await;
        sleep(pause).await;
    }
}

struct Reader<'a> {
    state: &'a State,
    /// Whether all keys are known, so that changes suffice.
    is_listed: bool,
    /// Since when the store does not answer.
    lost_since: Option<Instant>,
}

impl Reader<'_> {
    /// Brings the state up to date once; returns the pause until the next time.
    async fn turn<S: Store>(&mut self, store: &mut S) -> Duration {
        if self.follow(store).await {
            return FOLLOW;
        }
        match self.read(store).await {
            Ok(()) => {
                self.state.metrics.note_store_call("changes", true);
                PAUSE
            }
            Err(StoreError::Compacted) => {
                self.is_listed = false;
                Duration::ZERO
            }
            Err(error) => {
                self.state.metrics.note_store_call("changes", false);
                self.note_failure(&error);
                self.ask_neighbours(store).await;
                RETRY
            }
        }
    }

    /// Takes the lead's knowledge; returns whether it is recent.
    async fn follow<S: Store>(&mut self, store: &S) -> bool {
        let Some(lead) = self.state.lead() else {
            return false;
        };
        let asked = Instant::now();
        match snapshot::fetch(lead, self.state.revision(), LEAD_ANSWER).await {
            Ok(snapshot) if snapshot.age_ms < STALE_MS => {
                take(self.state, store, snapshot, asked);
                self.is_listed = true;
                self.lost_since = None;
                true
            }
            Ok(_) => false,
            Err(error) => {
                event::emit(&Event::NeighbourUnreachable { addr: lead, error });
                false
            }
        }
    }

    async fn read<S: Store>(&mut self, store: &mut S) -> Result<(), StoreError> {
        let asked = Instant::now();
        if !self.is_listed {
            let (items, revision) = list(store).await?;
            self.note_answer();
            replace(self.state, store, items, revision);
            self.state.set_revision(revision, answered(asked));
            self.is_listed = true;
            return Ok(());
        }
        let batch = store.watch(self.state.revision(), WAIT).await?;
        self.note_answer();
        apply(self.state, store, batch.events);
        self.state.set_revision(batch.revision, answered(asked));
        Ok(())
    }

    /// Notes that the store answers. Registrations may have lapsed only if it served nobody
    /// meanwhile; a VM that it turned away alone has news of it by way of others.
    fn note_answer(&mut self) {
        let Some(lost_since) = self.lost_since.take() else {
            return;
        };
        event::emit(&Event::StoreReachable {});
        let has_news = self.state.read_at().is_some_and(|at| at > lost_since);
        if !has_news {
            self.state.note_outage_end(Instant::now());
        }
    }

    fn note_failure(&mut self, error: &StoreError) {
        if self.lost_since.is_none() {
            self.lost_since = Some(Instant::now());
            event::emit(&Event::StoreUnreachable {
                purpose: "changes".to_owned(),
                error: error.to_string(),
            });
        }
    }

    async fn ask_neighbours<S: Store>(&mut self, store: &S) {
        let mut ahead = self.state.ahead();
        if self.state.revision() == 0 {
            ahead.extend(self.state.settings.seeds.iter().copied());
        }
        for addr in ahead.into_iter().take(MAX_ASKED) {
            let asked = Instant::now();
            match snapshot::fetch(addr, self.state.revision(), FAR_ANSWER).await {
                Ok(snapshot) if snapshot.revision > self.state.revision() => {
                    take(self.state, store, snapshot, asked);
                    self.is_listed = true;
                    return;
                }
                Ok(_) => {}
                Err(error) => event::emit(&Event::NeighbourUnreachable { addr, error }),
            }
        }
    }
}

/// Returns the reading that was asked at `asked` and is answered now.
fn answered(asked: Instant) -> Reading {
    Reading {
        asked: Some(asked),
        answered: Instant::now(),
    }
}

/// Takes what a neighbour, asked at `asked`, knows. Registrations that it still waits for after an
/// outage are waited for here too, unless this VM had news of the store all the while.
fn take<S: Store>(state: &State, store: &S, snapshot: Snapshot, asked: Instant) {
    let now = Instant::now();
    let is_behind = state
        .read_at()
        .is_none_or(|at| now.duration_since(at) >= OUTAGE);
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
        asked: before(asked, snapshot.query_age_ms),
        answered: before(now, snapshot.age_ms).unwrap_or(now),
    };
    state.set_revision(snapshot.revision, reading);
}

/// Returns the time `ms` milliseconds before `at`, unless the clock began later.
fn before(at: Instant, ms: u64) -> Option<Instant> {
    at.checked_sub(Duration::from_millis(ms))
}

fn apply<S: Store>(state: &State, store: &S, items: Vec<Record>) {
    for raw in items {
        let item = store.decode(&raw);
        state.apply(raw, item);
    }
}

async fn list<S: Store>(store: &mut S) -> Result<(Vec<Record>, u64), StoreError> {
    let first = store.list("").await?;
    let revision = first.revision;
    let mut has_more = first.has_more;
    let mut items = first.items;
    while has_more {
        let after = items.last().map(|raw| raw.key.clone()).unwrap_or_default();
        let page = store.list(&after).await?;
        has_more = page.has_more && !page.items.is_empty();
        items.extend(page.items);
    }
    Ok((items, revision))
}

/// Puts `items` in the place of all that was known.
fn replace<S: Store>(state: &State, store: &S, items: Vec<Record>, revision: u64) {
    state.forget_completeness();
    let listed: HashSet<String> = items.iter().map(|raw| raw.key.clone()).collect();
    let unlisted = state.replica().unlisted(&listed);
    let gone = unlisted.into_iter().map(|key| Record {
        key,
        value: None,
        revision,
    });
    apply(state, store, gone.collect());
    apply(state, store, items);
    state.note_listed(revision);
}

/// Keeps this entry VM announced.
pub async fn announce<S: Store>(state: Rc<State>, mut store: S) {
    let mut lease = None;
    loop {
        if state.is_leaving() {
            withdraw(&mut store, lease).await;
            return;
        }
        let renewed = match lease {
            Some(lease) => store.renew_lease(lease).await.map(|()| lease),
            None => begin(&state, &mut store).await,
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
        let pause = if lease.is_some() { RENEW } else { RETRY * 4 };
        tokio::select! {
            () = sleep(pause) => {}
            () = state.left() => {}
        }
    }
}

async fn begin<S: Store>(state: &State, store: &mut S) -> Result<u64, StoreError> {
    let lease = store.grant_lease(LEASE).await?;
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
