//! Stand-in for the store of the users' platform.
//!
//! One [`Store`] holds the keys. Entry VMs reach it through a [`Face`] each, so that it can be
//! well for some of them and away for others.

mod http;
mod keys;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use crate::listener::{Connections, Listener, lock};
use crate::server::Server;

pub use keys::{Backup, Keys};

/// The keys, and all faces.
#[derive(Debug, Clone, Default)]
pub struct Store {
    keys: Arc<Keys>,
}

/// How a face treats calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// It serves them.
    #[default]
    None,
    /// It refuses them with this status.
    Refuse(u16),
    /// It closes connections without an answer; nothing is done.
    Reset,
    /// It does what is asked and closes the connection without an answer.
    LoseAnswers,
    /// It answers with bytes that go on until the caller closes; nothing is done.
    Endless,
}

/// An address in the store's values that a face replaces by another one.
#[derive(Debug, Clone, Copy)]
pub struct Alias {
    /// The address.
    pub addr: SocketAddr,
    /// What the face answers with in its place.
    pub alias: SocketAddr,
}

/// An address at which the store is reached.
#[derive(Debug)]
pub struct Face {
    listener: Listener,
    fault: Arc<Mutex<Fault>>,
    calls: Arc<AtomicUsize>,
    _server: Server,
}

impl Store {
    /// Creates a store without keys.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the keys.
    #[must_use]
    pub fn keys(&self) -> &Keys {
        &self.keys
    }

    /// Opens another address.
    ///
    /// # Errors
    ///
    /// Fails if no address can be bound.
    pub fn face(&self) -> eyre::Result<Face> {
        self.face_with_aliases(Vec::new())
    }

    /// Opens another address, whose answers have `aliases` in place of addresses.
    ///
    /// # Errors
    ///
    /// Fails if no address can be bound.
    pub fn face_with_aliases(&self, aliases: Vec<Alias>) -> eyre::Result<Face> {
        let fault: Arc<Mutex<Fault>> = Arc::default();
        let calls: Arc<AtomicUsize> = Arc::default();
        let connections = Connections::default();
        let server = {
            let keys = Arc::clone(&self.keys);
            let fault = Arc::clone(&fault);
            let calls = Arc::clone(&calls);
            let connections = connections.clone();
            Server::start(move |request| {
                calls.fetch_add(1, Ordering::Relaxed);
                let fault = *lock(&fault);
                http::answer(&keys, request, fault, &aliases, &connections)
            })?
        };
        let listener =
            Listener::start((Ipv4Addr::LOCALHOST, 0).into(), server.addr(), connections)?;
        Ok(Face {
            listener,
            fault,
            calls,
            _server: server,
        })
    }
}

impl Face {
    /// Returns the address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// Sets how calls are treated from now on.
    pub fn set_fault(&self, fault: Fault) {
        *lock(&self.fault) = fault;
    }

    /// Lets answers pass at `rate` bytes a second, all connections together; with `None`, without limit.
    pub fn set_rate(&self, rate: Option<u32>) {
        self.listener.set_rate(rate);
    }

    /// Returns the number of calls.
    #[must_use]
    pub fn calls(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }
}
