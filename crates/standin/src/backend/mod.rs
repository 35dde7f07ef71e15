//! Stand-in for a backend server with a limited number of request slots.
//!
//! A request that finds no free slot is refused with status 503 and the header
//! [`SHED_HEADER`], and has not run. Any other request runs for the service time and is answered
//! with a description of itself. Every run is recorded.
//!
//! `GET /health` answers a [`Health`]; `GET /bytes/<n>` answers with n bytes; `GET /cut/<n>`
//! announces n bytes (in chunks above 32 KiB) and closes the connection after half of them.
//! Control calls take no slot: `POST /standin/cancel/<request-id>` ends running requests,
//! `PUT /standin/control` takes a [`Control`], `GET /standin/counts` shows [`Counts`] and
//! `GET /standin/saw/<text>` answers what [`Backend::saw`] does.
//!
//! A run whose caller closes its connection, or only its sending half, ends early.

mod control;
mod health;
mod http;
mod load;
mod record;
mod transfer;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::eyre;

pub use control::Control;
pub use health::{Health, State};
pub use record::{Counts, Header, Outcome, Run};

use crate::listener::{Connections, Listener};
use crate::server::Server;
use http::Handler;

/// Header of a refusal; its value is [`SHED_NOT_RUN`].
pub const SHED_HEADER: &str = "x-backend-shed";
/// Value of [`SHED_HEADER`]: the request has not run.
pub const SHED_NOT_RUN: &str = "not-run";
/// Request header that crashes the backend server if its value is `1`.
pub const CRASH_HEADER: &str = "x-standin-crash";
/// Request header with the time that the request may run, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Request header with the ID that a request can be cancelled by.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Request header with the operation key that repeats of a request share.
pub const OPERATION_HEADER: &str = "idempotency-key";

/// How a backend server behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name that answers carry.
    pub name: String,
    /// Service that the backend server runs.
    pub service: String,
    /// Requests that may run at once, at least 1.
    pub slots: usize,
    /// Time that a request runs when the backend server is warm.
    pub service_time: Duration,
    /// Time from the start until the backend server is warm.
    pub cold_start: Duration,
    /// Factor on the service time at the start; it falls evenly to 1 over the cold start.
    pub cold_factor: f64,
    /// Whether a request ends at the deadline that it carries.
    pub honours_deadlines: bool,
    /// Age of the answers of the health endpoint.
    pub health_lag: Duration,
    /// A body that contains this crashes the backend server.
    pub crash_marker: Option<String>,
    /// Most runs and most refused requests that are kept; older ones are dropped but stay
    /// counted.
    pub runs_kept: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "backend".to_owned(),
            service: "service".to_owned(),
            slots: 4,
            service_time: Duration::from_millis(10),
            cold_start: Duration::ZERO,
            cold_factor: 3.0,
            honours_deadlines: true,
            health_lag: Duration::ZERO,
            crash_marker: None,
            runs_kept: 100_000,
        }
    }
}

/// A backend server that runs or has crashed. Dropping it stops it.
#[derive(Debug)]
pub struct Backend {
    addr: SocketAddr,
    handler: Arc<Handler>,
    _server: Server,
}

impl Backend {
    /// Starts a backend server on `addr`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Fails if there is no slot, the address cannot be listened on or threads cannot be
    /// started.
    pub fn start(addr: SocketAddr, settings: Settings) -> eyre::Result<Self> {
        if settings.slots == 0 {
            return Err(eyre!("a backend server needs at least one slot"));
        }
        let connections = Connections::default();
        let handler = Arc::new(Handler::new(settings, connections.clone()));
        let shared = Arc::clone(&handler);
        let server = Server::start(move |request| shared.answer(request))?;
        let listener = Listener::start(addr, server.addr(), connections)?;
        let addr = listener.addr();
        handler.attach(listener);
        Ok(Self {
            addr,
            handler,
            _server: server,
        })
    }

    /// The address that callers connect to.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Whether the backend server has crashed and not been restarted.
    #[must_use]
    pub fn is_crashed(&self) -> bool {
        self.handler.is_crashed()
    }

    /// Changes several settings at once.
    pub fn control(&self, control: Control) {
        self.handler.control(control);
    }

    /// Crashes the backend server: all connections break, requests in flight end and new
    /// connections are refused.
    pub fn crash(&self) {
        self.handler.crash();
    }

    /// Starts the backend server again, cold and on the same address. Records are kept.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub fn restart(&self) -> eyre::Result<()> {
        self.handler.restart()
    }

    /// Starts or ends draining. A draining backend server finishes requests in flight and
    /// refuses new ones.
    pub fn set_draining(&self, draining: bool) {
        self.handler.load().set_draining(draining);
    }

    /// Starts or ends shedding. A shedding backend server refuses all new requests.
    pub fn set_shedding(&self, shedding: bool) {
        self.handler.load().set_shedding(shedding);
    }

    /// Makes the health endpoint answer with `health` whatever the truth is.
    pub fn set_false_health(&self, health: Option<Health>) {
        self.handler.board().set_false_health(health);
    }

    /// Makes the health endpoint's answers older.
    pub fn set_health_lag(&self, lag: Duration) {
        self.handler.board().set_lag(lag);
    }

    /// Changes the time that a request runs.
    pub fn set_service_time(&self, service_time: Duration) {
        self.handler.load().set_service_time(service_time);
    }

    /// The true health.
    #[must_use]
    pub fn health(&self) -> Health {
        self.handler.load().health(Instant::now())
    }

    /// The recorded runs, oldest first.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.handler.record().runs()
    }

    /// Whether any request so far, refused ones included, had `text` in its target, its headers
    /// or its body, as far as kept: [`Counts::bodies_cut`] and [`Counts::dropped`] are 0 if all
    /// was kept.
    #[must_use]
    pub fn saw(&self, text: &str) -> bool {
        self.handler.record().saw(text)
    }

    /// Counts of requests since the start.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.handler.record().counts()
    }

    /// Stops listening and closes all connections.
    pub fn stop(self) {
        drop(self);
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.handler.crash();
    }
}
