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

use crate::answer_head::{Inspected, Watch};
use crate::backend::Backend;
use crate::framing::Framing;

/// Longest time that opening a connection may take, in milliseconds.
const CONNECT_MS: u64 = 500;

/// Largest head of an answer, in bytes.
const MAX_ANSWER_HEAD_BYTES: usize = 64 << 10;

/// A body that streams through the gate.
pub type Body = UnsyncBoxBody<Bytes, Box<dyn std::error::Error + Send + Sync>>;

/// A connection to a backend server. Dropping it closes it at once, so that a request that still
/// runs on it is cancelled.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Body>,
    watch: Watch,
    task: AbortHandle,
}

/// Why a backend server gave no answer.
#[derive(Debug)]
pub enum Failure {
    /// No byte of the request left; it is handed back.
    NotSent(Box<Request<Body>>),
    /// The request may have reached the backend server.
    Broken(hyper::Error),
}

impl Connection {
    /// Returns whether the end of the latest answer can be read in one way only.
    #[must_use]
    pub fn framing(&self) -> Framing {
        self.watch.verdict()
    }

    /// Sends `request` and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// Says whether the request can have reached the backend server.
    pub async fn send(&mut self, request: Request<Body>) -> Result<Response<Incoming>, Failure> {
        if self.sender.ready().await.is_err() {
            return Err(Failure::NotSent(Box::new(request)));
        }
        self.watch.arm();
        match self.sender.try_send_request(request).await {
            Ok(answer) => Ok(answer),
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

/// Takes an idle connection to `backend`, unless it must not be reached.
#[must_use]
pub fn reuse(backend: &Backend, reach: &Denylist) -> Option<Connection> {
    reach.allows(backend.addr()).then(|| backend.reuse())?
}

/// Opens a connection to `addr`, unless it must not be reached.
pub async fn connect(addr: SocketAddr, reach: &Denylist) -> Option<Connection> {
    if !reach.allows(addr) {
        return None;
    }
    let limit = Duration::from_millis(CONNECT_MS);
    let stream = timeout(limit, TcpStream::connect(addr)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let watch = Watch::default();
    let stream = Inspected::new(stream, watch.clone());
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_ANSWER_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let (sender, connection) = handshake.ok()?;
    let task = tokio::spawn(connection).abort_handle();
    Some(Connection {
        sender,
        watch,
        task,
    })
}
