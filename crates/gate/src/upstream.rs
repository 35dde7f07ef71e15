//! Connections to backend servers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use wire::Denylist;

use crate::backend::Backend;
use crate::framing::Framing;
use crate::response_head::{Inspected, Tracker};

/// Timeout for opening a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// Maximum size of a response head, in bytes.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 << 10;

/// A body that streams through the gate.
pub type Body = UnsyncBoxBody<Bytes, Box<dyn std::error::Error + Send + Sync>>;

/// A connection to a backend server. Dropping it closes it immediately, so that a request still
/// running on it is cancelled.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Body>,
    tracker: Tracker,
    task: AbortHandle,
}

/// Why a backend server gave no response.
#[derive(Debug)]
pub enum Failure {
    /// No byte of the request was sent; the request is returned.
    NotSent(Box<Request<Body>>),
    /// The request may have reached the backend server.
    Broken(hyper::Error),
}

impl Connection {
    /// Returns whether the framing of the latest response is unambiguous.
    #[must_use]
    pub fn framing(&self) -> Framing {
        self.tracker.framing()
    }

    /// Sends `request` and returns its response, whose body is still arriving.
    ///
    /// # Errors
    ///
    /// Tells whether the request can have reached the backend server.
    pub async fn send(&mut self, request: Request<Body>) -> Result<Response<Incoming>, Failure> {
        if self.sender.ready().await.is_err() {
            return Err(Failure::NotSent(Box::new(request)));
        }
        self.tracker.arm();
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => Err(match error.take_message() {
                Some(unsent) => Failure::NotSent(Box::new(unsent)),
                None => Failure::Broken(error.into_error()),
            }),
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Takes an idle connection to `backend`, unless the denylist forbids its address.
#[must_use]
pub fn reuse(backend: &Backend, denylist: &Denylist) -> Option<Connection> {
    denylist.allows(backend.addr()).then(|| backend.reuse())?
}

/// Opens a connection to `addr`, unless the denylist forbids it.
pub async fn connect(addr: SocketAddr, denylist: &Denylist) -> Option<Connection> {
    if !denylist.allows(addr) {
        return None;
    }
    let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let stream = timeout(limit, TcpStream::connect(addr)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let tracker = Tracker::default();
    let stream = Inspected::new(stream, tracker.clone());
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let (sender, connection) = handshake.ok()?;
    let task = tokio::spawn(connection).abort_handle();
    Some(Connection {
        sender,
        tracker,
        task,
    })
}
