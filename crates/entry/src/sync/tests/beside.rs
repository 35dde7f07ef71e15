//! A VM that reads the store, whose answer with all changes is large and does not end.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use fleet::Item;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::super::watch::{LARGE_GRACE, URGENT_PAUSE};
use super::super::{WATCH_PAUSE, run};
use super::{OneKey, POLL_INTERVAL};
use crate::fixture::{run_local, state};
use crate::state::State;
use crate::store::{Batch, Group, Page, Record, Store, StoreError};
use crate::transfer::{LARGE_BYTES, Progress};

/// A store that has removed the server `i-1` since it was listed, and does not answer for one group.
#[derive(Clone, Copy)]
struct Stalled(Group);

impl Store for Stalled {
    async fn list(
        &mut self,
        group: Group,
        _after: &str,
        _progress: &Progress,
    ) -> Result<Page, StoreError> {
        let is_servers = group == Group::Servers;
        let server = is_servers.then(|| OneKey::record(Some(Bytes::new()), 1));
        Ok(Page {
            items: server.into_iter().collect(),
            has_more: false,
            revision: 1,
            era: None,
        })
    }

    async fn watch(
        &mut self,
        group: Group,
        revision: u64,
        _wait: Duration,
        progress: &Progress,
    ) -> Result<Batch, StoreError> {
        if group == Group::All {
            progress.note_expected(LARGE_BYTES);
        }
        if group == Group::All || group == self.0 {
            std::future::pending::<()>().await;
        }
        let is_news = group == Group::Servers && revision < 2;
        let removal = is_news.then(|| OneKey::record(None, 2));
        Ok(Batch {
            events: removal.into_iter().collect(),
            revision: 2,
            era: None,
        })
    }

    async fn get(&mut self, _key: &str, _progress: &Progress) -> Result<Page, StoreError> {
        Err(StoreError::NotFound)
    }

    async fn announce(&mut self, _zone: &str, _bytes: &[u8]) -> Result<Option<u64>, StoreError> {
        Ok(None)
    }

    fn decode(record: &Record) -> Item {
        OneKey::decode(record)
    }

    fn new_client(&self) -> Self {
        *self
    }
}

/// Starts a VM that reads a store which does not answer for `silent`; returns it once it has listed all keys.
async fn start(silent: Group) -> Rc<State> {
    let vm = state();
    spawn_local(run(Rc::clone(&vm), Stalled(silent)));
    while vm.read_at().is_none() {
        sleep(POLL_INTERVAL).await;
    }
    vm
}

/// Guards against a server that left and gets requests since the answer about evacuations is late.
#[test]
fn removal_waits_for_evacuations_beside_a_large_response() {
    run_local(async {
        let vm = start(Group::Evacuations).await;
        while vm.servers.borrow().get("i-1").is_some() {
            sleep(POLL_INTERVAL).await;
        }
    });
}

/// Guards against followers that take a state for recent of which nobody has read the servers.
#[test]
fn state_counts_as_recent_though_servers_were_not_read() {
    run_local(async {
        let vm = start(Group::Servers).await;
        let listed_at = vm.read_at();
        sleep(WATCH_PAUSE + LARGE_GRACE + URGENT_PAUSE * 3).await;
        assert_eq!(vm.read_at(), listed_at);
    });
}
