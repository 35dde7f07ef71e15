//! A VM that had no news of the store, because the store was down or because the VM was cut off.

use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::report::{Announced, Announcement};
use fleet::{Item, Phase, Registration};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::changes::{apply, apply_snapshot};
use super::run;
use crate::accept::{self, Listener};
use crate::caller::Role;
use crate::fixture::{run_local, state};
use crate::snapshot::{Fetched, Snapshot};
use crate::state::{MIN_GAP, Reading, State};
use crate::store::{Batch, Group, Page, Record, Store, StoreError};
use crate::transfer::Progress;

mod beside;
mod slow_link;

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What the store does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// It has the registration of the server `i-1`.
    Registered,
    /// It refuses calls.
    Down,
    /// It has removed the registration.
    Removed,
}

/// A store with one key.
struct OneKey(Rc<Cell<Mode>>);

impl OneKey {
    fn record(value: Option<Bytes>, revision: u64) -> Record {
        Record {
            key: "servers/i-1".to_owned(),
            value,
            revision,
        }
    }
}

impl Store for OneKey {
    async fn list(
        &mut self,
        group: Group,
        _after: &str,
        _progress: &Progress,
    ) -> Result<Page, StoreError> {
        let items = match group {
            Group::Servers => vec![Self::record(Some(Bytes::new()), 1)],
            _ => Vec::new(),
        };
        Ok(Page {
            items,
            has_more: false,
            revision: 1,
            era: None,
        })
    }

    async fn watch(
        &mut self,
        _group: Group,
        _revision: u64,
        _wait: Duration,
        _progress: &Progress,
    ) -> Result<Batch, StoreError> {
        let (events, revision) = match self.0.get() {
            Mode::Registered => (Vec::new(), 1),
            Mode::Down => return Err(StoreError::Refused(503)),
            Mode::Removed => (vec![Self::record(None, 2)], 2),
        };
        Ok(Batch {
            events,
            revision,
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
        let id = "i-1".to_owned();
        if record.value.is_none() {
            return Item::ServerRemoved { id };
        }
        let registration = Registration {
            service: "s".to_owned(),
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
            zone: "a".to_owned(),
            slots: 4,
            phase: Phase::Ready,
            warmup_remaining: Duration::ZERO,
            sequence: 1,
            born_ms: 1,
        };
        Item::Server { id, registration }
    }

    fn new_client(&self) -> Self {
        Self(Rc::clone(&self.0))
    }
}

/// A VM that reads [`OneKey`], and another one that answers its questions.
struct Pair {
    mode: Rc<Cell<Mode>>,
    vm: Rc<State>,
    witness: Rc<State>,
    /// Whether the witness follows the store.
    is_steady: Rc<Cell<bool>>,
}

impl Pair {
    /// Starts both; `host` makes the witness's address unique among the tests of this process.
    async fn start(host: u8) -> Self {
        let pair = Self {
            mode: Rc::new(Cell::new(Mode::Registered)),
            vm: state(),
            witness: state(),
            is_steady: Rc::new(Cell::new(true)),
        };
        pair.keep_witness_recent().await;
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let addr = SocketAddr::from((Ipv4Addr::new(127, high % 200 + 20, low, host), 8_688));
        let listener = Rc::new(Listener::bind(addr).expect("address of the witness"));
        spawn_local(accept::run(Rc::clone(&pair.witness), listener, Role::State));
        let witness = Announced {
            vm: "vm-2".to_owned(),
            announcement: Announcement {
                zone: "b".to_owned(),
                peer: addr,
                state: Some(addr),
                callers: None,
                capacity: 1,
            },
        };
        pair.vm
            .membership
            .borrow_mut()
            .note_introduced(vec![witness], Instant::now());
        spawn_local(run(Rc::clone(&pair.vm), OneKey(Rc::clone(&pair.mode))));
        while !pair.knows_server() {
            sleep(POLL_INTERVAL).await;
        }
        pair
    }

    /// Lets the witness follow the store from now on, while it is steady.
    async fn keep_witness_recent(&self) {
        let witness = Rc::clone(&self.witness);
        let is_steady = Rc::clone(&self.is_steady);
        spawn_local(async move {
            loop {
                let reading = Reading {
                    sent_at: None,
                    answered_at: Instant::now(),
                };
                if is_steady.get() {
                    witness.set_revision(1, reading);
                }
                sleep(POLL_INTERVAL).await;
            }
        });
        while self.witness.read_at().is_none() {
            sleep(POLL_INTERVAL).await;
        }
    }

    fn knows_server(&self) -> bool {
        self.vm.servers.borrow().get("i-1").is_some()
    }

    /// Lets the store refuse the VM's calls until the VM notices.
    async fn lose_store(&self) {
        self.mode.set(Mode::Down);
        sleep(super::WATCH_PAUSE * 2).await;
    }

    /// Lets the store answer again, without the registration.
    async fn return_without_registration(&self) {
        self.mode.set(Mode::Removed);
        while self.vm.revision() < 2 {
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Guards against a VM that keeps servers which left while it was cut off, as after an outage of the store.
#[test]
fn vm_that_was_cut_off_alone_does_not_keep_servers_that_left() {
    run_local(async {
        let pair = Pair::start(1).await;
        pair.lose_store().await;
        pair.return_without_registration().await;
        while pair.knows_server() {
            sleep(POLL_INTERVAL).await;
        }
        assert_eq!(pair.vm.rejoin_until(), None);
    });
}

/// After an outage, servers whose registrations expired need a moment to register again.
#[test]
fn vm_keeps_servers_after_an_outage_that_the_others_had_too() {
    run_local(async {
        let pair = Pair::start(2).await;
        pair.is_steady.set(false);
        pair.lose_store().await;
        sleep(MIN_GAP).await;
        pair.is_steady.set(true);
        pair.return_without_registration().await;
        sleep(super::WATCH_PAUSE * 2).await;
        assert!(pair.knows_server());
        assert!(pair.vm.rejoin_until().is_some());
    });
}

/// Returns the snapshot at `revision` of a leader that keeps missing registrations for `rejoin_ms` more.
fn snapshot(revision: u64, items: Vec<Record>, rejoin_ms: u64) -> Fetched {
    Fetched {
        snapshot: Snapshot {
            revision,
            items,
            is_complete: false,
            age_ms: 0,
            query_age_ms: 0,
            rejoin_ms,
        },
        deferred: Vec::new(),
        from: SocketAddr::from((Ipv4Addr::LOCALHOST, 8_688)),
        era: None,
        steady_ms: None,
    }
}

/// Guards against a follower that keeps servers which left, since its leader assumed an outage for a moment.
#[test]
fn outage_that_the_leader_took_back_goes_on_at_its_followers() {
    run_local(async {
        let vm = state();
        let now = Instant::now();
        apply::<OneKey>(&vm, vec![OneKey::record(Some(Bytes::new()), 1)]);
        let reading = Reading {
            sent_at: None,
            answered_at: now.checked_sub(MIN_GAP * 2).expect("time since the start"),
        };
        vm.set_revision(1, reading);
        let removal = vec![OneKey::record(None, 2)];
        assert!(apply_snapshot::<OneKey>(
            &vm,
            snapshot(2, removal, 2_000),
            now
        ));
        assert!(vm.servers.borrow().get("i-1").is_some());
        assert!(apply_snapshot::<OneKey>(
            &vm,
            snapshot(3, Vec::new(), 0),
            now
        ));
        assert!(vm.servers.borrow().get("i-1").is_none());
    });
}
