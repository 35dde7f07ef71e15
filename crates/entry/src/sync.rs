//! Synchronization of the state with the platform's store.
//!
//! The entry VM that leads its zone lists all keys once and then watches for changes, with a pause
//! between two watches so that heartbeats arrive in batches. The other VMs of the zone fetch
//! snapshots from the leader. If the leader's state is not recent, the next ranks read the store too
//! ([`READERS`] in all), and the others fetch from those. A VM that cannot read the store fetches from
//! any entry VM that knows a later revision, and calls the store less and less often. Calls to the
//! store therefore grow with the number of zones, also in trouble.
//!
//! A VM that starts asks the seeds which VMs its zone has, and reads the store only if it leads the
//! zone or hears of nobody.
//!
//! When the platform restores its store from an older copy, the store names a later era. A reader then
//! lists all keys once more; the decisions about what to keep are in [`fleet::restore`].

use std::cell::Cell;
use std::cmp::Ordering;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event::Event;
use fleet::restore::Position;
use fleet::roster::REJOIN_GRACE;
use futures::future::join_all;
use rand::Rng as _;
use rand::seq::IndexedRandom as _;
use tokio::time::sleep;

use crate::snapshot::{self, STALE_MS};
use crate::state::{Reading, State};
use crate::store::{Store, StoreError};

mod changes;
mod listing;
mod watch;

use changes::{apply, apply_snapshot, enter_era, expire_missing, is_newer, keys, replace};
use listing::list;
use watch::Clients;

/// Pause between two watches. Followers add their own interval, and the sum has to stay well below
/// the two seconds within which changes take effect.
const WATCH_PAUSE: Duration = Duration::from_millis(500);

/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Number of highest ranks of a zone that read the store when the zone's leader has no recent state.
const READERS: usize = 3;

/// Longest pause between two calls of a VM among the first [`READERS`] while the store fails. The
/// sum of it and the other intervals stays within the time in which changes take effect.
const MAX_READER_PAUSE: Duration = Duration::from_millis(800);

/// Longest pause between two calls of another VM while the store fails.
const MAX_OTHER_PAUSE: Duration = Duration::from_secs(8);

/// Age of the state from which on a VM outside the first [`READERS`] reads the store itself: the
/// readers have failed.
const PATIENCE: Duration = Duration::from_millis(2_500);

/// Time after the start for which a VM waits to hear of higher ranks in its zone, while the seeds have
/// just started too: the VMs start within 300 ms of each other and repeat their question meanwhile.
const START_DELAY: Duration = Duration::from_millis(350);

/// Time after the start for which a VM waits for the first state of a leader that it hears of.
const START_LIMIT: Duration = Duration::from_secs(3);

/// Number of failures up to which the pause doubles.
const MAX_DOUBLINGS: u32 = 8;

/// Pause while other VMs are waited for.
const SHORT_PAUSE: Duration = Duration::from_millis(50);

/// Maximum number of entry VMs that are asked for a snapshot after a failed call.
const MAX_FETCHES: usize = 2;

/// Number of VMs that are asked at once whether the store served them during an assumed outage.
const WITNESSES: usize = 4;

/// Timeout of a fetch from the leader, which is in the same zone.
const LEADER_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of a fetch from an entry VM that may be in another region.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);

/// Interval between two fetches from the leader.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(400);

/// Name of the store as the source of a response.
const STORE: &str = "store";

/// Keeps the state up to date.
pub async fn run<S: Store>(state: Rc<State>, store: S) {
    let mut clients = Clients::new(store);
    let mut reader = Reader {
        state: &state,
        started: Instant::now(),
        is_listed: false,
        unreachable_since: None,
        failures: 0,
        next_call: Instant::now(),
        urgent_until: Cell::new(0),
    };
    loop {
        let pause = reader.update(&mut clients).await;
        sleep(pause).await;
    }
}

/// Result of a request for the snapshot of a VM in this zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// It was recent and is applied.
    Recent,
    /// It was not recent, or of an earlier era.
    Stale,
    /// There was no answer.
    Unreachable,
}

struct Reader<'a> {
    state: &'a State,
    started: Instant,
    /// Whether all keys are known, so that changes suffice.
    is_listed: bool,
    /// Since when the store is unreachable.
    unreachable_since: Option<Instant>,
    /// Calls to the store that failed one after the other.
    failures: u32,
    /// When the store may be called again after a failure.
    next_call: Instant,
    /// Revision up to which urgent keys were read beside a large response.
    urgent_until: Cell<u64>,
}

impl Reader<'_> {
    /// Updates the state once; returns the pause until the next update.
    async fn update<S: Store>(&mut self, clients: &mut Clients<S>) -> Duration {
        if self.follow::<S>().await {
            return FOLLOW_INTERVAL;
        }
        if self.is_waiting_for_seeds() {
            return SHORT_PAUSE;
        }
        if !self.may_call_store() {
            match self.fetch_from_zone::<S>().await {
                Outcome::Recent => return FOLLOW_INTERVAL,
                Outcome::Unreachable if self.may_replace_readers() => {}
                Outcome::Stale | Outcome::Unreachable => {
                    self.fetch_from_peers::<S>().await;
                    return self.pause_without_call();
                }
            }
        }
        match self.read_store(clients).await {
            Ok(()) => {
                self.state.metrics.note_store_call("changes", true);
                self.failures = 0;
                self.confirm_outage().await;
                WATCH_PAUSE
            }
            Err(StoreError::Compacted) => {
                self.is_listed = false;
                Duration::ZERO
            }
            Err(error) => {
                self.state.metrics.note_store_call("changes", false);
                if error == StoreError::TooLarge {
                    // Changes come in one response, a listing in pages.
                    self.is_listed = false;
                }
                self.note_failure(&error);
                self.fetch_from_peers::<S>().await;
                RETRY_DELAY
            }
        }
    }

    /// Returns whether this VM reads the store now, rather than wait for other VMs.
    fn may_call_store(&self) -> bool {
        let now = Instant::now();
        if now < self.next_call {
            return false;
        }
        match self.state.read_at() {
            None => self.may_call_at_start(now),
            Some(at) => self.is_reader(now) || now.duration_since(at) >= PATIENCE,
        }
    }

    fn may_call_at_start(&self, now: Instant) -> bool {
        let is_first = self.state.membership.borrow().higher_ranks(now) == 0;
        is_first || now.duration_since(self.started) >= START_LIMIT
    }

    /// Returns whether this VM has just started and the seeds may still tell of higher ranks.
    fn is_waiting_for_seeds(&self) -> bool {
        let settings = &self.state.settings;
        let has_seeds = settings.seeds.iter().any(|seed| seed.ip() != settings.ip);
        self.state.read_at().is_none()
            && has_seeds
            && !self.state.is_introduced.get()
            && self.started.elapsed() < START_DELAY
    }

    fn is_reader(&self, now: Instant) -> bool {
        self.state.membership.borrow().higher_ranks(now) < READERS
    }

    /// Returns whether this VM may read the store since no reader of its zone can be reached.
    fn may_replace_readers(&self) -> bool {
        self.state.read_at().is_some() && Instant::now() >= self.next_call
    }

    fn pause_without_call(&self) -> Duration {
        if self.failures > 0 {
            RETRY_DELAY
        } else {
            SHORT_PAUSE
        }
    }

    /// Applies the leader's snapshot; returns whether it is recent.
    async fn follow<S: Store>(&mut self) -> bool {
        let Some(leader) = self.state.leader() else {
            return false;
        };
        self.fetch_recent::<S>(leader).await == Outcome::Recent
    }

    /// Applies the snapshot of one of the first ranks of the zone, if it is recent.
    async fn fetch_from_zone<S: Store>(&mut self) -> Outcome {
        let addrs = self.state.membership.borrow().highest_state_addrs(READERS);
        let leader = self.state.leader();
        let mut fetched = Outcome::Unreachable;
        for addr in addrs.into_iter().filter(|addr| Some(*addr) != leader) {
            match self.fetch_recent::<S>(addr).await {
                Outcome::Recent => return Outcome::Recent,
                Outcome::Stale => fetched = Outcome::Stale,
                Outcome::Unreachable => {}
            }
        }
        fetched
    }

    /// Applies the snapshot of the VM at `addr` in this zone, if it is recent.
    async fn fetch_recent<S: Store>(&mut self, addr: SocketAddr) -> Outcome {
        let sent_at = Instant::now();
        match snapshot::fetch(self.state, addr, self.state.position(), LEADER_TIMEOUT).await {
            Ok(fetched) if fetched.snapshot.age_ms < STALE_MS => {
                if !apply_snapshot::<S>(self.state, fetched, sent_at) {
                    return Outcome::Stale;
                }
                self.is_listed = true;
                self.unreachable_since = None;
                self.failures = 0;
                Outcome::Recent
            }
            Ok(_) => Outcome::Stale,
            Err(error) => {
                event::emit(&Event::NeighbourUnreachable { addr, error });
                Outcome::Unreachable
            }
        }
    }

    async fn read_store<S: Store>(&mut self, clients: &mut Clients<S>) -> Result<(), StoreError> {
        let sent_at = Instant::now();
        if !self.is_listed {
            let listing = list(self.state, &mut clients.all).await?;
            let is_start = self.state.read_at().is_none() && listing.era.is_some();
            let has_learned = is_start && self.learn_from_peer::<S>().await;
            let order = self.state.eras().compare(listing.era);
            let era = listing.era.unwrap_or_default();
            match order {
                Ordering::Less => return Err(StoreError::EarlierEra(era)),
                Ordering::Greater => {
                    self.note_reachable();
                    let revision = listing.revision;
                    let until = Instant::now() + REJOIN_GRACE;
                    let position = Position { era, revision };
                    let listed = keys(&listing.items, &[]);
                    enter_era::<S>(self.state, listing.items, &listed, position, true, until);
                    self.state.set_revision(revision, reading(sent_at));
                }
                Ordering::Equal => {
                    self.note_reachable();
                    let order = listing.revision.cmp(&self.state.revision());
                    // Another VM's state may have come meanwhile.
                    if order == Ordering::Greater || (order == Ordering::Equal && !has_learned) {
                        let listed = keys(&listing.items, &[]);
                        replace::<S>(self.state, listing.items, &listed, listing.revision);
                        self.state.set_revision(listing.revision, reading(sent_at));
                    }
                }
            }
            self.is_listed = true;
            expire_missing::<S>(self.state);
            return Ok(());
        }
        let batch = self.watch(clients).await?;
        match self.state.eras().compare(batch.era) {
            Ordering::Less => {
                return Err(StoreError::EarlierEra(batch.era.unwrap_or_default()));
            }
            // The revision belongs to an earlier era, so the changes since are not known.
            Ordering::Greater => return Err(StoreError::Compacted),
            Ordering::Equal => {}
        }
        self.note_reachable();
        // Another VM's state may have come meanwhile.
        if batch.revision >= self.state.revision() {
            let mut events = batch.events;
            if self.urgent_until.get() > self.state.revision() {
                let replica = self.state.replica();
                events.retain(|event| !replica.knows_later(event));
            }
            apply::<S>(self.state, events);
            self.state.set_revision(batch.revision, reading(sent_at));
        }
        expire_missing::<S>(self.state);
        Ok(())
    }

    /// Takes the state of another VM when this one has just started, before its first listing is
    /// applied. If the store was restored a moment ago, the copy has keys again that were withdrawn, and
    /// lacks others; the other VMs remember. Returns whether there was one.
    async fn learn_from_peer<S: Store>(&mut self) -> bool {
        let settings = &self.state.settings;
        let mut addrs = self.state.membership.borrow().highest_state_addrs(READERS);
        addrs.extend(settings.seeds.iter().copied());
        addrs.retain(|addr| addr.ip() != settings.ip);
        for addr in addrs.into_iter().take(MAX_FETCHES) {
            let sent_at = Instant::now();
            let position = Position::default();
            let fetched = snapshot::fetch(self.state, addr, position, LEADER_TIMEOUT).await;
            // A VM of a version without eras does not tell whether it knows of a restore.
            if let Ok(fetched) = fetched
                && fetched.era.is_some()
            {
                return apply_snapshot::<S>(self.state, fetched, sent_at);
            }
        }
        false
    }

    /// Asks other VMs whether the store served them all the time, if this VM takes its own silence for an
    /// outage: it may have been cut off from all of them.
    async fn confirm_outage(&self) {
        if !self.state.assumes_outage(Instant::now()) {
            return;
        }
        let addrs: Vec<SocketAddr> = self.state.membership.borrow().state_addrs().collect();
        let asked = addrs.choose_multiple(&mut rand::rng(), WITNESSES);
        let position = self.state.position();
        let fetch =
            |addr: &SocketAddr| snapshot::fetch(self.state, *addr, position, LEADER_TIMEOUT);
        let answers = asked.map(fetch);
        // One that does not answer tells nothing, as one that had no news itself.
        for fetched in join_all(answers).await.into_iter().flatten() {
            self.state.note_witness(&fetched, Instant::now());
        }
    }

    /// Records that the store answers. Registrations can have expired only if the store was down
    /// for all VMs; if it was unreachable for this VM alone, the other VMs' snapshots brought news
    /// of it meanwhile.
    fn note_reachable(&mut self) {
        let Some(unreachable_since) = self.unreachable_since.take() else {
            return;
        };
        event::emit(&Event::StoreReachable {});
        let has_news = self
            .state
            .read_at()
            .is_some_and(|at| at > unreachable_since);
        if !has_news {
            self.state
                .note_outage_end(self.state.read_at(), Instant::now());
        }
    }

    fn note_failure(&mut self, error: &StoreError) {
        let now = Instant::now();
        let max = if self.is_reader(now) {
            MAX_READER_PAUSE
        } else {
            MAX_OTHER_PAUSE
        };
        let pause = (RETRY_DELAY * 2_u32.pow(self.failures.min(MAX_DOUBLINGS))).min(max);
        self.failures += 1;
        self.next_call = now + pause.mul_f64(rand::rng().random_range(0.5..1.0));
        if self.unreachable_since.is_none() {
            self.unreachable_since = Some(Instant::now());
            event::emit(&Event::StoreUnreachable {
                purpose: "changes".to_owned(),
                error: error.to_string(),
            });
        }
    }

    async fn fetch_from_peers<S: Store>(&mut self) {
        let mut addrs = self.state.peers_ahead();
        if self.state.revision() == 0 {
            addrs.extend(self.state.settings.seeds.iter().copied());
        }
        for addr in addrs.into_iter().take(MAX_FETCHES) {
            if fetch_from::<S>(self.state, addr, PEER_TIMEOUT).await {
                self.is_listed = true;
                return;
            }
        }
    }
}

/// Takes over the state of the VM whose state service is at `addr` if it is later than the known one and
/// arrives within `limit`; returns whether it did.
pub async fn fetch_from<S: Store>(state: &State, addr: SocketAddr, limit: Duration) -> bool {
    let sent_at = Instant::now();
    match snapshot::fetch(state, addr, state.position(), limit).await {
        Ok(fetched) if is_newer(state, &fetched) => apply_snapshot::<S>(state, fetched, sent_at),
        Ok(_) => false,
        Err(error) => {
            event::emit(&Event::NeighbourUnreachable { addr, error });
            false
        }
    }
}

/// Returns the reading of a query that was sent at `sent_at` and is answered now.
fn reading(sent_at: Instant) -> Reading {
    Reading {
        sent_at: Some(sent_at),
        answered_at: Instant::now(),
    }
}

#[cfg(test)]
mod tests;
