//! Backend servers with their idle connections.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::pool::Ticket;
use crate::upstream::Connection;

/// Maximum number of idle connections kept per backend server.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Maximum time that an idle connection is kept, in milliseconds.
const MAX_IDLE_MS: u64 = 4_000;

/// A backend server with this gate's idle connections to it.
#[derive(Debug)]
pub struct Backend {
    addr: SocketAddr,
    idle: Mutex<Vec<Idle>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

/// A backend server assigned to a request. Dropping it releases the capacity.
#[derive(Debug)]
pub struct Assignment {
    backend: Arc<Backend>,
    ticket: Ticket,
}

/// Backend servers by address. Their connections are kept when the configuration text changes.
#[derive(Debug, Default)]
pub struct Registry {
    backends: Mutex<HashMap<SocketAddr, Arc<Backend>>>,
}

impl Registry {
    /// Returns the backend server at `addr`, created if absent.
    #[must_use]
    pub fn backend(&self, addr: SocketAddr) -> Arc<Backend> {
        let mut backends = lock(&self.backends);
        let backend = backends
            .entry(addr)
            .or_insert_with(|| Arc::new(Backend::new(addr)));
        Arc::clone(backend)
    }

    /// Closes the idle connections to every backend server that is not in `serving`, and removes
    /// those that are not in use.
    pub fn retain(&self, serving: &HashSet<SocketAddr>) {
        lock(&self.backends).retain(|addr, backend| {
            if serving.contains(addr) {
                return true;
            }
            lock(&backend.idle).clear();
            Arc::strong_count(backend) > 1
        });
    }
}

impl Backend {
    fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            idle: Mutex::default(),
        }
    }

    /// Returns the address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Keeps a connection for reuse. Its last response must have been read to the end.
    pub fn keep(&self, connection: Connection) {
        let mut idle = lock(&self.idle);
        if idle.len() < MAX_IDLE_CONNECTIONS {
            let since = Instant::now();
            idle.push(Idle { connection, since });
        }
    }

    /// Takes the most recently used idle connection. Returns `None` and closes the others if it is
    /// too old.
    #[must_use]
    pub fn reuse(&self) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let limit = Duration::from_millis(MAX_IDLE_MS);
        let newest = idle.pop().filter(|idle| idle.since.elapsed() < limit);
        if newest.is_none() {
            idle.clear();
        }
        newest.map(|idle| idle.connection)
    }
}

impl Assignment {
    /// Creates an assignment to `backend`, where `ticket` counts the request.
    #[must_use]
    pub fn new(backend: Arc<Backend>, ticket: Ticket) -> Self {
        Self { backend, ticket }
    }

    /// Returns the ticket, which records the outcome of the request.
    #[must_use]
    pub fn ticket(&self) -> &Ticket {
        &self.ticket
    }

    /// Returns the backend server.
    #[must_use]
    pub fn backend(&self) -> &Backend {
        &self.backend
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
