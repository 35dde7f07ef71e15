//! Failures of tasks, and of the application of records of the store.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use fleet::{Config, Item, Version};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::keep_running;
use crate::fixture::{run_local, state};
use crate::store::{Batch, Group, Page, Record, Store, StoreError};
use crate::sync;
use crate::transfer::Progress;

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Key that cannot be applied.
const BAD: &str = "bad";

/// A store with one configuration after another and, before each, a key whose decoding fails.
struct FaultyStore;

impl FaultyStore {
    fn records(revision: u64) -> Vec<Record> {
        let record = |key: &str| Record {
            key: key.to_owned(),
            value: Some(Bytes::new()),
            revision,
        };
        vec![record(BAD), record("config")]
    }
}

impl Store for FaultyStore {
    async fn list(
        &mut self,
        _group: Group,
        _after: &str,
        _progress: &Progress,
    ) -> Result<Page, StoreError> {
        Ok(Page {
            items: Self::records(1),
            has_more: false,
            revision: 1,
            era: None,
        })
    }

    async fn watch(
        &mut self,
        _group: Group,
        revision: u64,
        _wait: Duration,
        _progress: &Progress,
    ) -> Result<Batch, StoreError> {
        Ok(Batch {
            events: Self::records(revision + 1),
            revision: revision + 1,
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
        assert_ne!(record.key, BAD, "planted failure");
        Item::Config(Box::new(Config {
            version: Version(record.revision),
            ..Config::default()
        }))
    }

    fn new_client(&self) -> Self {
        Self
    }
}

/// Guards against a process that lives on without one of its tasks.
#[test]
fn task_that_panics_is_started_again() {
    run_local(async {
        let starts = Rc::new(Cell::new(0));
        let counted = Rc::clone(&starts);
        keep_running(&state(), "test", move |_| {
            counted.set(counted.get() + 1);
            let fails = counted.get() < 3;
            async move {
                assert!(!fails, "planted failure");
                std::future::pending::<()>().await;
            }
        });
        while starts.get() < 3 {
            sleep(POLL_INTERVAL).await;
        }
    });
}

/// Guards against one record that keeps the VM from applying those behind it.
#[test]
fn record_whose_application_fails_costs_only_itself() {
    run_local(async {
        let state = state();
        spawn_local(sync::run(Rc::clone(&state), FaultyStore));
        while state.version() < Version(2) {
            sleep(POLL_INTERVAL).await;
        }
        assert!(state.is_ready());
    });
}
