//! Keeping up with the platform's store.
//!
//! One reader lists all keys once and then asks for changes, with a pause between two questions so
//! that heartbeats are taken in batches. While the store does not answer, the reader asks an entry
//! VM that knows more than this one.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event::Event;
use tokio::time::sleep;

use crate::neighbour;
use crate::peers;
use crate::state::State;
use crate::store::{Raw, Store, StoreError};

/// Time between two questions for changes; half a second leaves a change of the platform's two
/// seconds three more tries.
const PAUSE: Duration = Duration::from_millis(500);

/// Longest time that the store holds a question without changes.
const WAIT: Duration = Duration::from_millis(800);

/// Pause after a failed call.
const RETRY: Duration = Duration::from_millis(250);

/// Term of the lease on the announcement.
const LEASE: Duration = Duration::from_secs(10);

/// Time between two renewals of the lease.
const RENEW: Duration = Duration::from_secs(3);

/// Keeps the state up to date.
pub async fn run<S: Store>(state: Rc<State>, mut store: S) {
    let mut reader = Reader::new(&state);
    loop {
        let read = reader.read(&mut store).await;
        let pause = match &read {
            Ok(()) => PAUSE,
            Err(_) => RETRY,
        };
        match read {
            Ok(()) => reader.note_answer(),
            Err(StoreError::Compacted) => reader.is_listed = false,
            Err(error) => {
                reader.note_failure(&error);
                reader.ask_neighbours(&store).await;
            }
        }
        sleep(pause).await;
    }
}

struct Reader<'a> {
    state: &'a State,
    is_listed: bool,
    /// Since when the store does not answer.
    lost_since: Option<Instant>,
}

impl<'a> Reader<'a> {
    fn new(state: &'a State) -> Self {
        Self {
            state,
            is_listed: false,
            lost_since: None,
        }
    }

    async fn read<S: Store>(&mut self, store: &mut S) -> Result<(), StoreError> {
        if !self.is_listed {
            let (items, revision) = list(store).await?;
            self.note_answer();
            replace(self.state, store, items, revision);
            self.is_listed = true;
            return Ok(());
        }
        let batch = store.watch(self.state.revision(), WAIT).await?;
        self.note_answer();
        for raw in batch.events {
            let item = store.decode(&raw);
            self.state.apply(raw, item);
        }
        self.state.set_revision(batch.revision);
        Ok(())
    }

    fn note_answer(&mut self) {
        if self.lost_since.take().is_some() {
            self.state.note_outage_end(Instant::now());
            event::emit(&Event::StoreReachable {});
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

    async fn ask_neighbours<S: Store>(&self, store: &S) {
        let mut ahead = self.state.ahead();
        if self.state.revision() == 0 {
            ahead.extend(self.state.settings.seeds.iter().copied());
        }
        for addr in ahead.into_iter().take(2) {
            match neighbour::fetch(addr).await {
                Ok(snapshot) if snapshot.revision > self.state.revision() => {
                    replace(self.state, store, snapshot.items, snapshot.revision);
                    return;
                }
                Ok(_) => {}
                Err(error) => event::emit(&Event::NeighbourUnreachable { addr, error }),
            }
        }
    }
}

async fn list<S: Store>(store: &mut S) -> Result<(Vec<Raw>, u64), StoreError> {
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
fn replace<S: Store>(state: &State, store: &S, items: Vec<Raw>, revision: u64) {
    let listed: HashSet<String> = items.iter().map(|raw| raw.key.clone()).collect();
    for key in state.unlisted(&listed) {
        let gone = Raw {
            key,
            value: None,
            revision,
        };
        let item = store.decode(&gone);
        state.apply(gone, item);
    }
    for raw in items {
        let item = store.decode(&raw);
        state.apply(raw, item);
    }
    state.set_revision(revision);
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
