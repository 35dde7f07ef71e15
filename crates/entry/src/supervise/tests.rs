//! Failures of tasks, and of the application of records of the store.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::time::Duration;

use fleet::{Config, Item, Version};
use steer::budget::Limit;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

use super::keep_running;
use crate::names::Names;
use crate::settings::{Bounds, Listen, Settings};
use crate::state::State;
use crate::store::{Batch, Page, Record, Store, StoreError};
use crate::sync;

/// Time after which a test fails.
const TIMEOUT: Duration = Duration::from_secs(10);

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Key that cannot be applied.
const BAD: &str = "bad";

fn state() -> Rc<State> {
    let settings = Settings {
        vm: "vm-1".to_owned(),
        zone: "a".to_owned(),
        region: "r".to_owned(),
        ip: IpAddr::V4(Ipv4Addr::LOCALHOST),
        zones: HashMap::new(),
        listen: Listen::default(),
        peer_port: 0,
        seeds: Vec::new(),
        memory_bytes: 64 << 20,
        capacity: 1,
        max_sockets: 100,
        bounds: Bounds {
            grace: Duration::from_secs(2),
            lookup_ttl: Duration::from_secs(5),
            retries: Limit {
                window: Duration::from_secs(10),
                ratio: 0.2,
                extra: 56.0,
            },
            cold_factor: 1.5,
            cold_extra: 5.0,
        },
    };
    let names = Names {
        attempt: "attempt",
        object: "object",
        deadline: "deadline",
        key: "key",
        workspace: "workspace",
        target: "target",
        not_run: "not-run",
        load: "load",
        leaving: "leaving",
        limit: "limit",
        lookup_path: "/lookup",
        ready_path: "/ready",
        lookup_zone: "zone",
        lookup_region: "region",
        render_lookup: |_, _| Vec::new(),
    };
    Rc::new(State::new(settings, names))
}

/// A store with one configuration after another and, before each, a key whose decoding fails.
struct FaultyStore;

impl FaultyStore {
    fn records(revision: u64) -> Vec<Record> {
        let record = |key: &str| Record {
            key: key.to_owned(),
            value: Some(Vec::new()),
            revision,
        };
        vec![record(BAD), record("config")]
    }
}

impl Store for FaultyStore {
    async fn list(&mut self, _after: &str) -> Result<Page, StoreError> {
        Ok(Page {
            items: Self::records(1),
            has_more: false,
            revision: 1,
            era: None,
        })
    }

    async fn watch(&mut self, revision: u64, _wait: Duration) -> Result<Batch, StoreError> {
        Ok(Batch {
            events: Self::records(revision + 1),
            revision: revision + 1,
            era: None,
        })
    }

    async fn announce(&mut self, _zone: &str, _bytes: &[u8]) -> Result<Option<u64>, StoreError> {
        Ok(None)
    }

    fn decode(&self, record: &Record) -> Item {
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

/// Runs `test` on one thread with local tasks.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    let limited = async { timeout(TIMEOUT, test).await.expect("end in time") };
    LocalSet::new().block_on(&runtime, limited);
}

/// Guards against a process that lives on without one of its tasks.
#[test]
fn task_that_panics_is_started_again() {
    run(async {
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
    run(async {
        let state = state();
        spawn_local(sync::run(Rc::clone(&state), FaultyStore));
        while state.version() < Version(2) {
            sleep(POLL_INTERVAL).await;
        }
        assert!(state.is_ready());
    });
}
