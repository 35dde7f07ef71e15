//! Stand-in for the platform's key-value service and its list of VMs.
//!
//! It speaks the parts of the published Consul HTTP API that the system uses: keys with
//! compare-and-swap and locks, blocking queries, sessions, and the health list of one service.
//! It differs from Consul in these points: sessions may have a time to live below Consul's
//! minimum of 10 s and lapse at its end rather than at up to twice its length; lock delays are
//! ignored; writes of an unchanged value raise the modify index as well; a deletion with `cas=0`
//! of an absent key succeeds; nothing is kept after the stand-in stops.
//!
//! Besides the Consul API, `PUT /standin/faults` replaces the faults by those in its JSON body
//! (see [`FaultSettings`]; fields left out mean no fault), `GET /standin/faults` shows them and
//! `GET /standin/counts` shows [`Counts`].
//!
//! Sessions lapse during an outage too. Answers are lost only of writes and deletions of keys.

mod body;
mod count;
mod fault;
mod http;
mod kv;
mod query;
pub mod vm;
mod watch;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

pub use count::Counts;
pub use fault::{Faults, Loss, Outage, Settings as FaultSettings};
pub use vm::{Meta, State, Vm};

use crate::listener::{Connections, Listener};
use crate::server::Server;
use http::Handler;

/// Largest value that a key may have, in bytes.
pub const VALUE_LIMIT_BYTES: usize = 1_000_000;
/// How often lapsed sessions and outages are looked for.
const TICK_MS: u64 = 10;

/// How the platform behaves from its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Settings {
    /// Faults that are in force from the start.
    pub faults: FaultSettings,
}

/// A running stand-in. Dropping it stops it.
#[derive(Debug)]
pub struct Platform {
    /// Listens on the address given at the start. Dropped before the server behind it.
    listener: Listener,
    connections: Connections,
    handler: Arc<Handler>,
    server: Server,
    stopping: Arc<AtomicBool>,
    ticker: Option<JoinHandle<()>>,
}

impl Platform {
    /// Starts a platform that listens on `addr`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on or threads cannot be started.
    pub fn start(addr: SocketAddr, settings: Settings) -> eyre::Result<Self> {
        let connections = Connections::default();
        let faults = Faults::default();
        faults.set(settings.faults);
        let handler = Arc::new(Handler::new(faults, connections.clone()));
        let shared = Arc::clone(&handler);
        let server = Server::start(move |request| shared.answer(request))?;
        let listener = Listener::start(addr, server.addr(), connections.clone())?;
        let stopping = Arc::new(AtomicBool::new(false));
        let ticker = spawn_ticker(Arc::clone(&handler), Arc::clone(&stopping))?;
        Ok(Self {
            listener,
            connections,
            handler,
            server,
            stopping,
            ticker: Some(ticker),
        })
    }

    /// The address that callers connect to.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// The listener on [`addr`](Self::addr).
    #[must_use]
    pub fn listener(&self) -> &Listener {
        &self.listener
    }

    /// Listens on one more address, whose callers can be cut off on their own. The listener has
    /// to be kept: dropping it closes the address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub fn listen_also(&self, addr: SocketAddr) -> eyre::Result<Listener> {
        let listener = Listener::start(addr, self.server.addr(), self.connections.clone())?;
        Ok(listener)
    }

    /// The handle that sets faults.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        self.handler.faults()
    }

    /// Calls by kind since the start.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.handler.counts()
    }

    /// Adds a VM to the list or replaces its entry.
    pub fn register(&self, vm: Vm) {
        self.handler.register(vm);
    }

    /// Removes a VM from the list.
    pub fn deregister(&self, id: &str) {
        self.handler.deregister(id);
    }

    /// Stops listening and closes all connections.
    pub fn stop(self) {
        drop(self);
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.handler.stop();
        self.connections.close_all();
        if let Some(ticker) = self.ticker.take() {
            let _ = ticker.join();
        }
    }
}

fn spawn_ticker(handler: Arc<Handler>, stopping: Arc<AtomicBool>) -> eyre::Result<JoinHandle<()>> {
    let thread = thread::Builder::new()
        .name("standin-tick".to_owned())
        .spawn(move || {
            while !stopping.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(TICK_MS));
                handler.tick(Instant::now());
            }
        })?;
    Ok(thread)
}
