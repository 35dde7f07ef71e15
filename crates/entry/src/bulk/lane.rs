//! Requests for parts of large values, one after the other.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use event::Event;
use fleet::parts::Id;
use steer::spread::{Claims, Rest};
use tokio::time::sleep;

use super::PATH;
use super::patience::Patience;
use crate::exchange::Connection;
use crate::state::State;
use crate::transfer::{Progress, Purpose};

/// Longest time to wait for the next bytes of parts, which may come from another region.
const PART_TIMEOUT: Duration = Duration::from_millis(800);

/// Pause while no VM can be asked.
const SHORT_PAUSE: Duration = Duration::from_millis(20);

/// Error of a VM that is busy with others' requests for parts.
const BUSY: &str = "status 503";

/// Requests to one VM after the other, each for a few parts.
#[derive(Debug)]
pub struct Lane {
    index: usize,
    /// Connection to the VM that was asked last.
    connection: Option<Connection>,
}

impl Lane {
    /// Creates the lane `index`, which knows no VM yet.
    #[must_use]
    pub fn new(index: usize) -> Self {
        Self {
            index,
            connection: None,
        }
    }

    /// Closes the connection to the VM that was asked last.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Requests missing parts until a value is complete, or none is missing any more.
    pub async fn run(&mut self, state: &State, claims: &RefCell<Claims>, patience: &Patience) {
        while state.bulk.is_short() {
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
