//! Large values of the store: fetched in parts from other entry VMs, and decoded beside the thread that
//! serves requests.
//!
//! A snapshot names the parts of a large value instead of its content, so that everything else in it is known
//! at once. The parts follow in small responses, one at a time: they fill the link for some milliseconds, and
//! each of them is of use, whoever sends it and whatever breaks off. Any entry VM passes on the parts that it
//! has, so the leader's link need not carry a value once for each VM of the zone.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use event::Event;
use fleet::Item;
use fleet::parts::{Deferred, Id, Values};
use rand::Rng as _;
use rand::seq::IteratorRandom as _;
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

use fetch::Fetcher;

/// Path of the parts; their identities follow, in hexadecimal digits, separated by commas.
pub const PATH: &str = "/parts?ids=";

/// Most parts that are requested at once.
const MAX_REQUESTED: usize = 16;

/// Pause before a VM that is busy with others' requests for parts is asked again.
const BUSY_REST: Duration = Duration::from_millis(30);

/// Number of VMs that told of a value last, and of highest ranks of the zone, which are asked first.
const MAX_GIVERS: usize = 2;
const FIRST_RANKS: usize = 2;

/// Large values that this VM has or is fetching, and who is asked for them.
#[derive(Debug)]
pub struct Bulk {
    /// The values.
    pub values: RefCell<Values>,
    is_due: Notify,
    is_done: Notify,
    /// VMs that told of a value, the latest last.
    givers: RefCell<VecDeque<SocketAddr>>,
    /// VMs that are not asked until the given time.
    resting: RefCell<HashMap<SocketAddr, Instant>>,
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
            givers: RefCell::default(),
            resting: RefCell::default(),
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

    fn note_giver(&self, addr: SocketAddr) {
        let mut givers = self.givers.borrow_mut();
        givers.retain(|giver| *giver != addr);
        givers.push_back(addr);
        if givers.len() > MAX_GIVERS {
            givers.pop_front();
        }
    }

    fn let_rest(&self, addr: SocketAddr, rest: Duration) {
        let rest = rest.mul_f64(rand::rng().random_range(0.5..1.5));
        let now = Instant::now();
        let mut resting = self.resting.borrow_mut();
        resting.retain(|_, until| *until > now);
        resting.insert(addr, now + rest);
    }

    fn rests(&self, addr: SocketAddr) -> bool {
        let resting = self.resting.borrow();
        resting
            .get(&addr)
            .is_some_and(|until| *until > Instant::now())
    }
}

impl State {
    /// Records that the store has the large value `deferred`, as the VM at `giver` tells.
    pub fn offer(&self, deferred: Deferred, giver: SocketAddr) {
        self.bulk.values.borrow_mut().offer(deferred);
        self.bulk.note_giver(giver);
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

    /// Returns a VM to ask for parts: one that told of the value or ranks first in the zone, else another one
    /// of the zone, else any.
    fn part_source(&self) -> Option<SocketAddr> {
        let membership = self.membership.borrow();
        let zone = membership.highest_state_addrs(usize::MAX);
        let givers = self.bulk.givers.borrow();
        let first = givers.iter().chain(zone.iter().take(FIRST_RANKS));
        let mut rng = rand::rng();
        let is_due = |addr: &&SocketAddr| !self.bulk.rests(**addr);
        let first = first.filter(is_due).choose(&mut rng);
        let source = first.or_else(|| zone.iter().filter(is_due).choose(&mut rng));
        let seeds = self.settings.seeds.iter().copied();
        source.copied().or_else(|| {
            let others = membership.state_addrs().chain(seeds);
            let others = others.filter(|addr| addr.ip() != self.settings.ip);
            others.filter(|addr| is_due(&addr)).choose(&mut rng)
        })
    }
}

/// Answers another entry VM's request for parts with those that this VM has.
#[must_use]
pub fn answer(state: &State, ids: &str) -> Reply {
    let ids = ids.split(',').take(MAX_REQUESTED);
    let ids = ids.filter_map(|id| u128::from_str_radix(id, 16).ok());
    let ids: Vec<Id> = ids.map(Id).collect();
    let mut values = state.bulk.values.borrow_mut();
    if let Some(first) = ids.first() {
        values.note_requested(*first);
    }
    let parts = ids.iter().filter_map(|id| values.part(*id).cloned());
    let parts: Vec<Bytes> = parts.collect();
    let bytes = parts.iter().map(Bytes::len).sum();
    let mut allowance = state.bulk.allowance.borrow_mut();
    if bytes > 0 && !allowance.take(bytes, Instant::now()) {
        return Reply::refused(Refusal::NoMemory(BUSY_REST));
    }
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
