//! What a VM that follows another one learns of backend servers, compared with the VM that reads the store.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::{Item, Phase, Registration, Version};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use steer::split::Split;

use crate::fixture::state;
use crate::state::State;
use crate::store::Record;

/// Largest difference of the times at which two VMs take a server for warm, when they hear of it at once.
const TOLERANCE: Duration = Duration::from_millis(500);

/// What a registration says beside its sequence number.
#[derive(Debug, Clone, Copy)]
struct Said {
    born_ms: u64,
    sequence: u64,
    port: u16,
    is_second_service: bool,
    is_second_zone: bool,
    slots: u32,
    is_draining: bool,
    cold_s: u64,
}

/// A change of one server's key.
#[derive(Debug, Clone, Copy)]
enum Change {
    Written(Said),
    Removed,
}

impl Said {
    fn registration(self) -> Registration {
        let or = |is_second: bool| if is_second { "b" } else { "a" };
        Registration {
            service: or(self.is_second_service).to_owned(),
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, self.port)),
            zone: or(self.is_second_zone).to_owned(),
            slots: self.slots,
            phase: if self.is_draining {
                Phase::Draining
            } else {
                Phase::Ready
            },
            warmup_remaining: Duration::from_secs(self.cold_s),
            sequence: self.sequence,
            born_ms: self.born_ms,
        }
    }
}

/// A heartbeat without news of a warm server.
const HEARTBEAT: Said = Said {
    born_ms: 1,
    sequence: 1,
    port: 80,
    is_second_service: false,
    is_second_zone: false,
    slots: 4,
    is_draining: false,
    cold_s: 0,
};

/// A VM that reads the store, and one that follows it.
struct Pair {
    reader: Rc<State>,
    follower: Rc<State>,
    /// Changes by revision; the first has revision 1.
    changes: Vec<Change>,
}

/// What a VM acts on. Nothing matters of a server that takes no work.
#[derive(Debug, PartialEq)]
struct Facts {
    addr: SocketAddr,
    service: String,
    zone: String,
    slots: u32,
}

impl Pair {
    fn new() -> Self {
        Self {
            reader: state(),
            follower: state(),
            changes: Vec::new(),
        }
    }

    /// Returns the record and item of the change at `revision`.
    fn change(&self, revision: u64) -> (Record, Item) {
        let index = usize::try_from(revision).expect("small revision") - 1;
        let id = "i-1".to_owned();
        let (value, item) = match self.changes[index] {
            Change::Removed => (None, Item::ServerRemoved { id }),
            Change::Written(said) => {
                let registration = said.registration();
                (Some(Vec::new()), Item::Server { id, registration })
            }
        };
        let key = "servers/i-1".to_owned();
        let record = Record {
            key,
            value: value.map(Bytes::from),
            revision,
        };
        (record, item)
    }

    /// Lets the reader hear of `change`.
    fn read(&mut self, change: Change) {
        self.changes.push(change);
        let revision = self.changes.len() as u64;
        let (record, item) = self.change(revision);
        self.reader.apply(record, item);
        self.reader.eras.borrow_mut().set_revision(revision);
    }

    /// Lets the follower hear of what the reader passes on.
    fn follow(&self) {
        let known = self.follower.revision();
        let passed = self.reader.replica().changes(known);
        let passed = passed.unwrap_or_else(|| self.reader.replica().all());
        for record in passed {
            let (_, item) = self.change(record.revision);
            self.follower.apply(record, item);
        }
        let revision = self.reader.revision();
        self.follower.eras.borrow_mut().set_revision(revision);
    }

    /// Lets both hear of `change` at once.
    fn apply(&mut self, change: Change) {
        self.read(change);
        self.follow();
    }

    /// Returns how the follower differs from the reader.
    fn difference(&self) -> Option<String> {
        let (reader, follower) = (facts(&self.reader), facts(&self.follower));
        if reader != follower {
            return Some(format!("{follower:?} instead of {reader:?}"));
        }
        let (reader, follower) = (cold_for(&self.reader), cold_for(&self.follower));
        (reader.abs_diff(follower) > TOLERANCE)
            .then(|| format!("cold for {follower:?} instead of {reader:?}"))
    }
}

fn facts(state: &State) -> Option<Facts> {
    let servers = state.servers.borrow();
    let backend = servers.get("i-1").filter(|backend| backend.takes_work())?;
    Some(Facts {
        addr: backend.addr,
        service: backend.service.clone(),
        zone: backend.zone.clone(),
        slots: backend.registered_slots.get(),
    })
}

fn cold_for(state: &State) -> Duration {
    let servers = state.servers.borrow();
    let backend = servers.get("i-1").filter(|backend| backend.takes_work());
    backend.map_or(Duration::ZERO, |backend| {
        backend.warmup.borrow().remaining(Instant::now())
    })
}

/// Checks that the follower knows what the reader does after each of `said`.
fn check(said: impl IntoIterator<Item = Said>) {
    let mut pair = Pair::new();
    for said in said {
        pair.apply(Change::Written(said));
        assert_eq!(pair.difference(), None, "after {said:?}");
    }
}

/// Guards against followers that take a server for warm which became cold again while it was cold.
#[test]
fn server_that_becomes_cold_again_while_cold_is_news() {
    let said = [(1, 3), (2, 9), (3, 7), (4, 60), (5, 0), (6, 0)];
    check(said.map(|(sequence, cold_s)| Said {
        sequence,
        cold_s,
        ..HEARTBEAT
    }));
}

/// Guards against followers that keep the slots and the zone of a server's first registration.
#[test]
fn change_of_slots_or_zone_is_news() {
    check([
        HEARTBEAT,
        Said {
            sequence: 2,
            slots: 9,
            ..HEARTBEAT
        },
        Said {
            sequence: 3,
            slots: 9,
            is_second_zone: true,
            ..HEARTBEAT
        },
    ]);
    let mut pair = Pair::new();
    pair.apply(Change::Written(HEARTBEAT));
    pair.apply(Change::Written(Said {
        sequence: 2,
        is_second_zone: true,
        ..HEARTBEAT
    }));
    assert_eq!(
        facts(&pair.reader).map(|facts| facts.zone).as_deref(),
        Some("b")
    );
}

/// Heartbeats of a warm server are most of the changes, and followers must not get them.
#[test]
fn heartbeat_of_warm_server_is_not_passed_on() {
    let mut pair = Pair::new();
    for sequence in 1..=3 {
        pair.apply(Change::Written(Said {
            sequence,
            ..HEARTBEAT
        }));
    }
    let servers = pair.follower.servers.borrow();
    let known = servers.get("i-1").expect("known server");
    assert_eq!(known.heartbeat.get().sequence, 1);
}

/// Guards against a late heartbeat that hides a later report from followers.
#[test]
fn late_heartbeat_does_not_hide_that_a_server_leaves() {
    let mut pair = Pair::new();
    pair.apply(Change::Written(HEARTBEAT));
    let leaving = |sequence| Said {
        sequence,
        is_draining: true,
        ..HEARTBEAT
    };
    let late = Said {
        sequence: 2,
        ..HEARTBEAT
    };
    pair.read(Change::Written(leaving(3)));
    pair.apply(Change::Written(late));
    pair.apply(Change::Written(leaving(4)));
    assert_eq!(pair.difference(), None);
}

fn said() -> impl Strategy<Value = Said> {
    let often = |likely: f64| prop::bool::weighted(likely);
    (
        1..4_u64,
        1..12_u64,
        80..82_u16,
        often(0.1),
        often(0.1),
        4..6_u32,
        often(0.2),
        prop_oneof![2 => Just(0), 1 => 1..30_u64],
    )
        .prop_map(
            |(
                born_ms,
                sequence,
                port,
                is_second_service,
                is_second_zone,
                slots,
                draining,
                cold_s,
            )| {
                Said {
                    born_ms,
                    sequence,
                    port,
                    is_second_service,
                    is_second_zone,
                    slots,
                    is_draining: draining,
                    cold_s,
                }
            },
        )
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![8 => said().prop_map(Change::Written), 1 => Just(Change::Removed)]
}

proptest! {
    #![proptest_config(Config {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Whatever servers write and in whichever order it arrives, a follower acts on the same facts.
    #[test]
    fn follower_knows_what_reader_knows(
        changes in prop::collection::vec((change(), any::<bool>()), 1..20),
    ) {
        let mut pair = Pair::new();
        for (change, is_followed) in changes {
            pair.read(change);
            if is_followed {
                pair.follow();
                prop_assert_eq!(pair.difference(), None);
            }
        }
    }
}

/// Guards against memory that grows with each route that a configuration ever had.
#[test]
fn routes_that_were_removed_are_remembered_for_good() {
    let state = state();
    state
        .splits
        .borrow_mut()
        .insert("r".to_owned(), Split::default());
    for _ in 0..100 {
        state.response_sizes.note("r", 1 << 20);
    }
    assert!(state.response_sizes.expected("r") > 0);
    let record = Record {
        key: "config".to_owned(),
        value: Some(Bytes::new()),
        revision: 1,
    };
    let config = fleet::Config {
        version: Version(1),
        ..fleet::Config::default()
    };
    state.apply(record, Item::Config(Box::new(config)));
    assert!(state.splits.borrow().is_empty());
    assert_eq!(state.response_sizes.expected("r"), 0);
}
