//! Fetching of large values from other entry VMs, and from the store if nobody passes them on.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use event::Event;
use fleet::parts::Part;
use rand::Rng as _;
use steer::spread::{Rest, choose_parts};
use tokio::time::sleep;

use super::PATH;
use crate::exchange::Connection;
use crate::state::State;
use crate::store::Store;
use crate::transfer::{Progress, Purpose};

/// Longest time to wait for the next bytes of parts, which may come from another region.
const PART_TIMEOUT: Duration = Duration::from_millis(800);

/// Number of requests without a needed part after which a later version is fetched instead.
const MAX_BARREN: u32 = 4;

/// Time without a needed part after which the store is asked for the whole value, and the longest pause
/// between two such calls.
const STORE_AFTER: Duration = Duration::from_millis(1_500);
const MAX_STORE_PAUSE: Duration = Duration::from_secs(8);

/// Pause while no VM can be asked.
const SHORT_PAUSE: Duration = Duration::from_millis(20);

/// Error of a VM that is busy with others' requests for parts.
const BUSY: &str = "status 503";

/// Fetches the values that are missing.
#[derive(Debug)]
pub struct Fetcher<'a, S> {
    state: &'a State,
    store: S,
    /// Connection to the VM that was asked last.
    connection: Option<Connection>,
    /// Requests since one brought a needed part.
    barren: u32,
    /// When the store is asked for the whole value.
    next_call: Option<Instant>,
    /// Calls to the store since a part arrived.
    calls: u32,
}

impl<'a, S: Store> Fetcher<'a, S> {
    /// Creates a fetcher that knows no VM yet.
    #[must_use]
    pub fn new(state: &'a State, store: S) -> Self {
        Self {
            state,
            store,
            connection: None,
            barren: 0,
            next_call: None,
            calls: 0,
        }
    }

    /// Requests a few of the missing parts.
    pub async fn fetch(&mut self) {
        let now = Instant::now();
        if now >= *self.next_call.get_or_insert(now + STORE_AFTER) {
            self.ask_store().await;
            return;
        }
        let missing = self.state.bulk.values.borrow().missing();
        let source = self.source();
        let (Some(source), false) = (source, missing.is_empty()) else {
            sleep(SHORT_PAUSE).await;
            return;
        };
        let parts = choose_parts(&missing, &mut rand::rng());
        match self.request(source, &parts).await {
            Ok(0) => {
                self.state.bulk.let_rest(source, Rest::Empty);
                self.note_barren();
            }
            Ok(_) => self.note_progress(),
            Err(rest) => {
                self.state.bulk.let_rest(source, rest);
                if rest == Rest::Busy {
                    // It has what is missing, so the store need not send it.
                    self.next_call = None;
                }
            }
        }
    }

    /// Returns the VM to ask: the one that answered last, if it need not rest, else another one.
    fn source(&self) -> Option<SocketAddr> {
        let last = self.connection.as_ref().map(Connection::addr);
        let last = last.filter(|addr| !self.state.bulk.rests(*addr));
        last.or_else(|| self.state.part_source())
    }

    /// Requests `parts` from the VM at `source`; returns how many needed ones came.
    ///
    /// # Errors
    ///
    /// Fails with the reason for which the VM is not to be asked for a while.
    async fn request(&mut self, source: SocketAddr, parts: &[Part]) -> Result<usize, Rest> {
        let ids: Vec<String> = parts
            .iter()
            .map(|part| format!("{:x}", part.id.0))
            .collect();
        let target = format!("{PATH}{}", ids.join(","));
        let progress = Progress::default();
        let answered = self.exchange(source, &target, &progress).await;
        let age_ms = answered.is_ok().then_some(0);
        self.state
            .note_transfer(Purpose::Parts, &source.to_string(), &progress, age_ms);
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
        let mut values = self.state.bulk.values.borrow_mut();
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

    /// Records that what was missing is there.
    pub fn note_progress(&mut self) {
        self.barren = 0;
        self.calls = 0;
        self.next_call = None;
    }

    /// Closes the connection to the VM that was asked last.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    fn note_barren(&mut self) {
        self.barren += 1;
        if self.barren >= MAX_BARREN && self.state.bulk.values.borrow_mut().skip() {
            self.note_progress();
        }
    }

    /// Asks the store for the whole value that nobody passes on.
    async fn ask_store(&mut self) {
        let key = self
            .state
            .bulk
            .values
            .borrow()
            .first_key()
            .map(str::to_owned);
        let Some(key) = key else { return };
        let pause = STORE_AFTER * 2_u32.pow(self.calls.min(4));
        let pause = pause.min(MAX_STORE_PAUSE);
        self.calls += 1;
        self.next_call = Some(Instant::now() + pause.mul_f64(rand::rng().random_range(0.5..1.0)));
        let progress = Progress::default();
        let page = self.store.get(&key, &progress).await;
        let age_ms = page.is_ok().then_some(0);
        self.state
            .note_transfer(Purpose::Key, "store", &progress, age_ms);
        self.state.metrics.note_store_call("key", page.is_ok());
        let Ok(page) = page else { return };
        let is_known_era = self.state.eras().compare(page.era).is_eq();
        for record in page.items.into_iter().filter(|_| is_known_era) {
            // It may have come from another VM meanwhile.
            let is_wanted = self.state.bulk.values.borrow().is_pending(&record.key);
            if let Some(value) = record.value.as_ref().filter(|_| is_wanted) {
                self.state.offer_whole(record.key, value, record.revision);
            }
        }
    }
}
