//! Fetching of large values from other entry VMs, and from the store if nobody passes them on.

use std::cell::RefCell;
use std::convert::Infallible;
use std::time::Duration;

use futures::future::join_all;
use steer::spread::{Claims, LANES};
use tokio::time::sleep;

use super::lane::Lane;
use super::patience::Patience;
use crate::state::State;
use crate::store::Store;
use crate::transfer::{Progress, Purpose};

/// Pause between two looks at whether the store is to be asked.
const STORE_PAUSE: Duration = Duration::from_millis(50);

/// Fetches the values that are missing, on several lanes at once.
#[derive(Debug)]
pub struct Fetcher<'a, S> {
    state: &'a State,
    store: S,
    lanes: [Lane; LANES],
    claims: RefCell<Claims>,
    patience: Patience,
}

impl<'a, S: Store> Fetcher<'a, S> {
    /// Creates a fetcher that knows no VM yet.
    #[must_use]
    pub fn new(state: &'a State, store: S) -> Self {
        Self {
            state,
            store,
            lanes: std::array::from_fn(Lane::new),
            claims: RefCell::default(),
            patience: Patience::default(),
        }
    }

    /// Requests missing parts until a value is complete, or none is missing any more.
    pub async fn fetch(&mut self) {
        let Self {
            state,
            store,
            lanes,
            claims,
            patience,
        } = self;
        let lanes = lanes
            .iter_mut()
            .map(|lane| lane.run(state, claims, patience));
        tokio::select! {
            () = wait_for_parts(state) => {}
            _ = join_all(lanes) => {}
            never = ask_store_in_need(state, store, patience) => match never {},
        }
    }

    /// Records that what was missing is there.
    pub fn note_progress(&self) {
        self.patience.note_progress();
    }

    /// Closes the connections to the VMs that were asked last.
    pub fn disconnect(&mut self) {
        for lane in &mut self.lanes {
            lane.disconnect();
        }
    }
}

async fn wait_for_parts(state: &State) {
    while state.bulk.is_short() {
        state.bulk.is_due.notified().await;
    }
}

/// Asks the store for a whole value each time that nobody has passed on parts for long.
async fn ask_store_in_need<S: Store>(
    state: &State,
    store: &mut S,
    patience: &Patience,
) -> Infallible {
    loop {
        if patience.is_over() {
            patience.note_call();
            ask_store(state, store).await;
        }
        sleep(STORE_PAUSE).await;
    }
}

/// Asks the store for the whole value that nobody passes on.
async fn ask_store<S: Store>(state: &State, store: &mut S) {
    let key = state.bulk.values.borrow().first_key().map(str::to_owned);
    let Some(key) = key else { return };
    let progress = Progress::default();
    let page = store.get(&key, &progress).await;
    let age_ms = page.is_ok().then_some(0);
    state.note_transfer(Purpose::Key, "store", &progress, age_ms);
    state.metrics.note_store_call("key", page.is_ok());
    let Ok(page) = page else { return };
    let is_known_era = state.eras().compare(page.era).is_eq();
    for record in page.items.into_iter().filter(|_| is_known_era) {
        // It may have come from another VM meanwhile.
        let is_wanted = state.bulk.values.borrow().is_pending(&record.key);
        if let Some(value) = record.value.as_ref().filter(|_| is_wanted) {
            state.offer_whole(record.key, value, record.revision);
        }
    }
}
