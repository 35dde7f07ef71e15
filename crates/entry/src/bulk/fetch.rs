//! Fetching of large values from other entry VMs, and from the store if nobody passes them on.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use event::Event;
use fleet::parts::Id;
use futures::future::join_all;
use rand::Rng as _;
use steer::spread::{Claims, LANES, Rest};
use tokio::time::sleep;

use super::PATH;
use crate::exchange::Connection;
use crate::state::State;
use crate::store::Store;
use crate::transfer::{Progress, Purpose};

/// Longest time to wait for the next bytes of parts, which may come from another region.
const PART_TIMEOUT: Duration = Duration::from_millis(800);

/// Number of requests without a needed part after which a later version is fetched instead.
const MAX_BARREN: u32 = 12;

/// Time without a needed part after which the store is asked for the whole value, and the longest pause
/// between two such calls.
const STORE_AFTER: Duration = Duration::from_millis(1_500);
const MAX_STORE_PAUSE: Duration = Duration::from_secs(8);

/// Pause while no VM can be asked.
const SHORT_PAUSE: Duration = Duration::from_millis(20);

/// Error of a VM that is busy with others' requests for parts.
const BUSY: &str = "status 503";

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
            lane.connection = None;
        }
    }
}

/// Returns whether parts are missing that are needed before anything can be applied.
fn is_short(state: &State) -> bool {
    let values = state.bulk.values.borrow();
    values.is_fetching() && !values.has_complete()
}

async fn wait_for_parts(state: &State) {
    while is_short(state) {
        state.bulk.is_due.notified().await;
    }
}

/// How long parts have been missing.
#[derive(Debug, Default)]
struct Patience {
    /// Requests since one brought a needed part.
    barren: Cell<u32>,
    /// When the store is asked for the whole value.
    next_call: Cell<Option<Instant>>,
    /// Calls to the store since a part arrived.
    calls: Cell<u32>,
}

impl Patience {
    fn note_progress(&self) {
        self.barren.set(0);
        self.calls.set(0);
        self.next_call.set(None);
    }

    /// Records that another VM has what is missing, so the store need not send it.
    fn note_busy(&self) {
        self.next_call.set(None);
    }

    fn note_barren(&self, state: &State) {
        self.barren.set(self.barren.get() + 1);
        if self.barren.get() >= MAX_BARREN && state.bulk.values.borrow_mut().skip() {
            self.note_progress();
        }
    }

    /// Returns whether the store is to be asked now.
    fn is_over(&self) -> bool {
        let now = Instant::now();
        let next_call = self.next_call.get().unwrap_or(now + STORE_AFTER);
        self.next_call.set(Some(next_call));
        now >= next_call
    }

    fn note_call(&self) {
        let pause = STORE_AFTER * 2_u32.pow(self.calls.get().min(4));
        let pause = pause.min(MAX_STORE_PAUSE);
        self.calls.set(self.calls.get() + 1);
        let pause = pause.mul_f64(rand::rng().random_range(0.5..1.0));
        self.next_call.set(Some(Instant::now() + pause));
    }
}

/// Requests to one VM after the other.
#[derive(Debug)]
struct Lane {
    index: usize,
    /// Connection to the VM that was asked last.
    connection: Option<Connection>,
}

impl Lane {
    fn new(index: usize) -> Self {
        Self {
            index,
            connection: None,
        }
    }

    async fn run(&mut self, state: &State, claims: &RefCell<Claims>, patience: &Patience) {
        while is_short(state) {
            self.fetch(state, claims, patience).await;
        }
    }

    /// Requests a few of the missing parts.
    async fn fetch(&mut self, state: &State, claims: &RefCell<Claims>, patience: &Patience) {
        let Some(source) = self.source(state) else {
            sleep(SHORT_PAUSE).await;
            return;
        };
        let missing = state.bulk.values.borrow().missing();
        let mut rng = rand::rng();
        let ids = claims.borrow_mut().choose(self.index, &missing, &mut rng);
        match self.request(state, source, &ids).await {
            Ok(0) => {
                state.bulk.let_rest(source, Rest::Empty);
                patience.note_barren(state);
            }
            Ok(_) => {
                patience.note_progress();
                state.bulk.is_due.notify_one();
            }
            Err(rest) => {
                state.bulk.let_rest(source, rest);
                if rest == Rest::Busy {
                    patience.note_busy();
                }
            }
        }
    }

    /// Returns the VM to ask: the one that answered last, if it need not rest, else another one.
    fn source(&self, state: &State) -> Option<SocketAddr> {
        let last = self.connection.as_ref().map(Connection::addr);
        let last = last.filter(|addr| !state.bulk.rests(*addr));
        last.or_else(|| state.part_source(self.index))
    }

    /// Requests the parts `ids` from the VM at `source`; returns how many needed ones came.
    ///
    /// # Errors
    ///
    /// Fails with the reason for which the VM is not to be asked for a while.
    async fn request(
        &mut self,
        state: &State,
        source: SocketAddr,
        ids: &[Id],
    ) -> Result<usize, Rest> {
        let ids: Vec<String> = ids.iter().map(|id| format!("{:x}", id.0)).collect();
        let target = format!("{PATH}{}", ids.join(","));
        let progress = Progress::default();
        let answered = self.exchange(source, &target, &progress).await;
        let age_ms = answered.is_ok().then_some(0);
        state.note_transfer(Purpose::Parts, &source.to_string(), &progress, age_ms);
        let parts = match answered {
            Ok(parts) => parts,
            Err(error) if error == BUSY => return Err(Rest::Busy),
            Err(error) => {
                event::emit(&Event::NeighbourUnreachable {
                    addr: source,
                    error,
                });
                return Err(Rest::Failed);
            }
        };
        let mut values = state.bulk.values.borrow_mut();
        let needed = parts
            .into_iter()
            .filter(|part| values.receive(part.clone()));
        Ok(needed.count())
    }

    async fn exchange(
        &mut self,
        source: SocketAddr,
        target: &str,
        progress: &Progress,
    ) -> Result<Vec<Bytes>, String> {
        let kept = self.connection.take();
        let kept = kept.filter(|connection| connection.addr() == source);
        let mut connection = match kept {
            Some(connection) => connection,
            None => Connection::open(source, PART_TIMEOUT).await?,
        };
        let (_, body) = connection.get(target, "", progress).await?;
        self.connection = Some(connection);
        postcard::from_bytes(&body).map_err(|error| error.to_string())
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
        sleep(SHORT_PAUSE).await;
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
