//! Watch of the store's changes, and of urgent ones beside a response that is large.

use std::cell::Cell;
use std::convert::Infallible;
use std::time::{Duration, Instant};

use futures::future::select_all;
use tokio::time::sleep;

use super::changes::apply;
use super::{Reader, STORE};
use crate::store::{Batch, Group, Store, StoreError};
use crate::transfer::{Progress, Purpose};

/// Longest time that the store delays the response to a watch without changes.
const WATCH_WAIT: Duration = Duration::from_millis(300);

/// Time for which a large response may take up a link before urgent keys are watched beside it. Later, more of
/// the response is on its way, and what comes after it waits the longer.
pub(super) const LARGE_GRACE: Duration = Duration::from_millis(50);

/// Pause between two watches of urgent keys beside a large response. With the time that a response takes behind
/// the large one, the state must not become stale.
pub(super) const URGENT_PAUSE: Duration = Duration::from_millis(200);

/// Clients of the store.
pub(super) struct Clients<S> {
    /// The one for all keys.
    pub all: S,
    /// Those for the groups of [`Group::URGENT`]. They keep their connections: to open one takes long on a link
    /// that a large response fills.
    urgent: [S; Group::URGENT.len()],
}

impl<S: Store> Clients<S> {
    /// Creates clients that share `store`'s settings.
    pub fn new(store: S) -> Self {
        Self {
            urgent: Group::URGENT.map(|_| store.new_client()),
            all: store,
        }
    }
}

impl Reader<'_> {
    /// Waits for changes of all keys. While a large response arrives, urgent keys are watched beside it.
    pub(super) async fn watch<S: Store>(
        &self,
        clients: &mut Clients<S>,
    ) -> Result<Batch, StoreError> {
        let state = self.state;
        let progress = Progress::default();
        let revision = state.revision();
        let watched = clients
            .all
            .watch(Group::All, revision, WATCH_WAIT, &progress);
        let urgent = self.watch_urgent(&mut clients.urgent, &progress);
        let batch = tokio::select! {
            biased;
            batch = watched => batch,
            never = urgent => match never {},
        };
        let age_ms = batch.is_ok().then_some(0);
        state.note_transfer(Purpose::Changes, STORE, &progress, age_ms);
        batch
    }

    /// Applies changes of urgent keys from the time on at which the response that `progress` tells of is known
    /// to be large and takes longer than [`LARGE_GRACE`].
    async fn watch_urgent<S: Store>(
        &self,
        clients: &mut [S; Group::URGENT.len()],
        progress: &Progress,
    ) -> Infallible {
        progress.large().await;
        sleep(LARGE_GRACE).await;
        let read_at = Group::URGENT.map(|_| Cell::new(None));
        let watches = Group::URGENT.into_iter().zip(clients).enumerate();
        let watches = watches.map(|(index, (group, client))| {
            Box::pin(self.watch_group(group, client, &read_at, index))
        });
        select_all(watches).await.0
    }

    /// Applies changes of `group`, of which `read_at` has the times of the readings, at `index`. What is urgent is
    /// known as of the earliest reading of all groups.
    async fn watch_group<S: Store>(
        &self,
        group: Group,
        client: &mut S,
        read_at: &[Cell<Option<Instant>>],
        index: usize,
    ) -> Infallible {
        let mut revision = self.state.revision();
        loop {
            let sent_at = Instant::now();
            let progress = Progress::default();
            let batch = client.watch(group, revision, Duration::ZERO, &progress);
            if let Ok(batch) = batch.await
                && self.state.eras().compare(batch.era).is_eq()
                && batch.revision >= revision
            {
                revision = batch.revision;
                self.urgent_until.set(self.urgent_until.get().max(revision));
                apply::<S>(self.state, batch.events);
                read_at[index].set(Some(sent_at));
                let earliest = read_at.iter().map(Cell::get).min().flatten();
                if let Some(earliest) = earliest {
                    self.state.note_urgent(earliest);
                }
            }
            sleep(URGENT_PAUSE).await;
        }
    }
}
