//! Large values of the store: fetched in parts from other entry VMs, and decoded beside the thread that
//! serves requests.
//!
//! A snapshot names the parts of a large value instead of its content, so that everything else in it is known
//! at once. The parts follow in small responses, one at a time: they fill the link for some milliseconds, and
//! each of them is of use, whoever sends it and whatever breaks off. Any entry VM passes on the parts that it
//! has, so the leader's link need not carry a value once for each VM of the zone.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use event::Event;
use fleet::Item;
use fleet::parts::{Deferred, Id, Values};
use steer::spread::{self, Answer, MAX_REQUESTED, Rest, Sources};
use steer::upload::Allowance;
use tokio::sync::Notify;
use tokio::task::spawn_blocking;
use tokio::time::timeout;

use crate::head::Request;
use crate::response::{Refusal, Reply};
use crate::snapshot::to_millis;
use crate::state::State;
use crate::store::{Record, Store};
use crate::supervise;

mod fetch;
mod lane;
mod patience;

use fetch::Fetcher;

/// Path of the parts; their identities follow, in hexadecimal digits, separated by commas.
pub const PATH: &str = "/parts?ids=";

/// Large values that this VM has or is fetching, and who is asked for them.
#[derive(Debug)]
pub struct Bulk {
    /// The values.
    pub values: RefCell<Values>,
    is_due: Notify,
    is_done: Notify,
    sources: RefCell<Sources>,
    allowance: RefCell<Allowance>,
}

impl Bulk {
    /// Creates the state of a VM with a link of `link_bytes_per_s` that knows no large value.
    #[must_use]
    pub fn new(link_bytes_per_s: f64) -> Self {
        Self {
            values: RefCell::default(),
            is_due: Notify::new(),
            is_done: Notify::new(),
            sources: RefCell::default(),
            allowance: RefCell::new(Allowance::new(link_bytes_per_s, Instant::now())),
        }
    }

    /// Waits at most `limit` until the values that are being fetched are applied.
    pub async fn wait_idle(&self, limit: Duration) {
        let applied = async {
            while self.values.borrow().is_fetching() {
                self.is_done.notified().await;
            }
        };
        // The caller looks at what is known then.
        let _ = timeout(limit, applied).await;
    }

    /// Returns whether parts are missing without which no value can be applied.
    fn is_short(&self) -> bool {
        let values = self.values.borrow();
        values.is_fetching() && !values.has_complete()
    }

    fn let_rest(&self, addr: SocketAddr, rest: Rest) {
        let mut sources = self.sources.borrow_mut();
        sources.let_rest(addr, rest, Instant::now(), &mut rand::rng());
    }

    fn rests(&self, addr: SocketAddr) -> bool {
        self.sources.borrow().rests(addr, Instant::now())
    }
}

impl State {
    /// Records that the store has the large value `deferred`, as the VM at `giver` tells.
    pub fn offer(&self, deferred: Deferred, giver: SocketAddr) {
        self.bulk.values.borrow_mut().offer(deferred);
        self.bulk.sources.borrow_mut().note_giver(giver);
        self.bulk.is_due.notify_one();
    }

    /// Records that the store has the large value `value`.
    pub fn offer_whole(&self, key: String, value: &Bytes, revision: u64) {
        let mut values = self.bulk.values.borrow_mut();
        values.keep(value);
        let manifest = values.manifest(value);
        values.offer(Deferred {
            key,
            revision,
            manifest,
        });
        self.bulk.is_due.notify_one();
    }

    /// Returns a VM to ask for parts on `lane`.
    fn part_source(&self, lane: usize) -> Option<SocketAddr> {
        let membership = self.membership.borrow();
        let zone = membership.highest_state_addrs(usize::MAX);
        let seeds = self.settings.seeds.iter().copied();
        let others = membership.state_addrs().chain(seeds);
        let others = others.filter(|addr| addr.ip() != self.settings.ip);
        let sources = self.bulk.sources.borrow();
        sources.choose(lane, &zone, others, Instant::now(), &mut rand::rng())
    }
}

/// Answers another entry VM's request for parts with those that this VM has.
#[must_use]
pub fn answer(state: &State, ids: &str) -> Reply {
    let ids = ids.split(',').take(MAX_REQUESTED);
    let ids = ids.filter_map(|id| u128::from_str_radix(id, 16).ok());
    let ids: Vec<Id> = ids.map(Id).collect();
    let mut values = state.bulk.values.borrow_mut();
    let mut allowance = state.bulk.allowance.borrow_mut();
    let answer = spread::answer(&mut values, &mut allowance, &ids, Instant::now());
    let Answer::Parts(parts) = answer else {
        return Reply::refused(Refusal::NoMemory(Rest::Busy.pause()));
    };
    match postcard::to_stdvec(&parts) {
        Ok(body) => Reply::with_status(200, None, Bytes::from(body)),
        Err(_) => Reply::refused(Refusal::Starting),
    }
}

/// Returns the list of parts that a request is for, if it is for parts.
#[must_use]
pub fn requested(head: &Request) -> Option<&str> {
    std::str::from_utf8(&head.target).ok()?.strip_prefix(PATH)
}

/// Fetches and applies large values.
pub async fn run<S: Store>(state: Rc<State>, store: S) {
    let mut fetcher = Fetcher::new(&state, store);
    loop {
        let complete = state.bulk.values.borrow().complete();
        if let Some((done, value)) = complete {
            apply::<S>(&state, done, value).await;
            fetcher.note_progress();
            state.bulk.is_done.notify_waiters();
        } else if state.bulk.values.borrow().is_fetching() {
            fetcher.fetch().await;
        } else {
            state.bulk.is_done.notify_waiters();
            fetcher.note_progress();
            fetcher.disconnect();
            state.bulk.is_due.notified().await;
        }
    }
}

/// Decodes a value beside the thread that serves requests, and applies it.
async fn apply<S: Store>(state: &State, done: Deferred, value: Bytes) {
    let era = state.position().era;
    let record = Record {
        key: done.key.clone(),
        value: Some(value.clone()),
        revision: done.revision,
    };
    let began = Instant::now();
    let decoded = spawn_blocking(move || (S::decode(&record), record)).await;
    let decode_ms = to_millis(began.elapsed());
    if state.position().era != era || !state.bulk.values.borrow_mut().finish(&done) {
        return;
    }
    state.bulk.values.borrow_mut().keep(&value);
    let applied = decoded
        .map_err(|error| error.to_string())
        .and_then(|(item, record)| {
            supervise::guard(state, "apply", || {
                apply_item(state, record, item, decode_ms);
            })
        });
    if let Err(problem) = applied {
        event::emit(&Event::KeyUnreadable {
            key: done.key,
            problem,
        });
    }
}

/// Applies the change `record`, decoded as `item` in `decode_ms`.
pub fn apply_item(state: &State, record: Record, item: Item, decode_ms: u64) {
    let bytes = record.value.as_ref().map_or(0, Bytes::len);
    let version = match &item {
        Item::Config(config) if config.version > state.version() => Some(config.version),
        _ => None,
    };
    let began = Instant::now();
    state.apply(record, item);
    if let Some(version) = version {
        event::emit(&Event::ConfigApplied {
            revision: version.0,
            bytes: bytes as u64,
            decode_ms,
            apply_ms: to_millis(began.elapsed()),
        });
    }
}
