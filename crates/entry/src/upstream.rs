//! Sends a request to a backend server.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use socket2::SockRef;
use steer::idle::Limit;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::WriteHalf;
use tokio::time::{timeout, timeout_at};

use crate::body::Collector;
use crate::head::{self, Fields};
use crate::memory::Reservation;
use crate::names::Names;
use crate::servers::{Backend, LoadGuard};

/// Connect timeout. Waiting for a second retransmission of the first packet would take longer than
/// most callers wait.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Largest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Largest body of a response, in bytes.
const MAX_BODY_BYTES: u64 = 32 << 20;

/// Time for which an idle connection is kept if the server does not give one.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(500);

/// Longest time for which an idle connection is kept, whatever the server names.
const MAX_IDLE_TIME: Duration = Duration::from_mins(10);

/// Time within which a connection that the server has forgotten is reset: a round trip to another
/// region. A server that closes the connection of a request that it runs takes longer.
const RESET_TIME: Duration = Duration::from_millis(50);

/// Bytes reserved for each read.
const READ_BYTES: usize = 8 << 10;

/// Time after which unacknowledged bytes mark a connection as dead.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// A request as it is sent to a backend server.
#[derive(Debug)]
pub struct Outgoing {
    /// Head, with the empty line that ends it.
    pub head: Bytes,
    /// Body.
    pub body: Bytes,
    /// The caller's identifier of the attempt.
    pub attempt: Bytes,
    /// Whether the method is HEAD.
    pub is_head: bool,
}

/// A complete response.
#[derive(Debug)]
pub struct Response {
    /// Head.
    pub head: head::Response,
    /// Body, in segments.
    pub body: Vec<Bytes>,
    /// Memory reserved for the body.
    pub memory: Reservation,
}

/// Outcome of an attempt.
#[derive(Debug)]
pub enum Outcome {
    /// The server answered.
    Answered(Response),
    /// No byte of the request was sent.
    Unreachable(String),
    /// The request may have run, and there is no usable response.
    ConnectionLost(String),
    /// There was no response by the deadline.
    TimedOut,
    /// The server responded, but there was no memory for the response.
    NoMemory,
}

/// An idle connection.
#[derive(Debug)]
pub struct Idle {
    stream: TcpStream,
    since: Instant,
    until: Instant,
}

/// Limits on the reuse of connections.
#[derive(Debug)]
pub struct Reuse<'a> {
    /// How long they may have been idle.
    pub limit: &'a Cell<Limit>,
    /// Maximum number of idle connections to one server.
    pub max_idle: usize,
}

/// Sends `request` to the server of `load_guard` and waits for the response until `deadline`.
/// Dropping the future resets the connection, which signals to the server that nobody waits.
pub async fn send(
    load_guard: &LoadGuard,
    request: &Outgoing,
    names: &Names,
    reuse: &Reuse<'_>,
    memory: Reservation,
    deadline: Instant,
) -> Outcome {
    let server = load_guard.server();
    let idle = take_idle(server, reuse.limit);
    let idle_for = idle.as_ref().map(|idle| idle.since.elapsed());
    let connected = match idle {
        Some(idle) => Ok(idle.stream),
        None => connect(server.addr, deadline).await,
    };
    let stream = match connected {
        Ok(stream) => stream,
        Err(error) => return Outcome::Unreachable(error.to_string()),
    };
    load_guard.note_sent();
    let started = Instant::now();
    let exchange = exchange(stream, request, names, memory);
    match timeout_at(deadline.into(), exchange).await {
        Err(_) => Outcome::TimedOut,
        Ok(Err(failure)) if failure.lacks_memory => Outcome::NoMemory,
        Ok(Err(failure)) => {
            let is_immediate = !failure.has_received && started.elapsed() < RESET_TIME;
            if let Some(idle_for) = idle_for.filter(|_| is_immediate) {
                let now = Instant::now();
                let mut limit = reuse.limit.get();
                limit.note_reset(idle_for, now);
                reuse.limit.set(limit);
            }
            Outcome::ConnectionLost(failure.problem)
        }
        Ok(Ok(exchanged)) => {
            if let Some(stream) = exchanged.stream {
                keep_idle(
                    server,
                    stream,
                    &exchanged.response.head.fields,
                    reuse.max_idle,
                );
            }
            Outcome::Answered(exchanged.response)
        }
    }
}

/// Sends `request` to the entry VM at `addr` on a new connection, and waits for the response until
/// `deadline`.
pub async fn send_once(
    addr: SocketAddr,
    request: &Outgoing,
    names: &Names,
    memory: Reservation,
    deadline: Instant,
) -> Outcome {
    let stream = match connect(addr, deadline).await {
        Ok(stream) => stream,
        Err(error) => return Outcome::Unreachable(error.to_string()),
    };
    let exchange = exchange(stream, request, names, memory);
    match timeout_at(deadline.into(), exchange).await {
        Err(_) => Outcome::TimedOut,
        Ok(Err(failure)) if failure.lacks_memory => Outcome::NoMemory,
        Ok(Err(failure)) => Outcome::ConnectionLost(failure.problem),
        Ok(Ok(exchanged)) => Outcome::Answered(exchanged.response),
    }
}

async fn connect(addr: SocketAddr, deadline: Instant) -> io::Result<TcpStream> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    let connecting = TcpStream::connect(addr);
    let stream = timeout(CONNECT_TIMEOUT.min(remaining), connecting).await??;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    Ok(stream)
}

/// Takes the latest idle connection that is usable: nothing arrived on it, and it was not idle too
/// long.
fn take_idle(server: &Backend, limit: &Cell<Limit>) -> Option<Idle> {
    let now = Instant::now();
    let mut idle = server.idle.borrow_mut();
    while let Some(connection) = idle.pop() {
        let mut byte = [0];
        let read = connection.stream.try_read(&mut byte);
        let is_quiet = read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
        let age = now.duration_since(connection.since);
        if is_quiet && now < connection.until && limit.get().allows(age, now) {
            return Some(connection);
        }
    }
    None
}

fn keep_idle(server: &Backend, stream: TcpStream, fields: &Fields, max_idle: usize) {
    let given = fields.text("keep-alive").and_then(timeout_of);
    let span = given.map_or(DEFAULT_IDLE_TIME, |given| {
        given.min(MAX_IDLE_TIME).mul_f64(0.7)
    });
    let since = Instant::now();
    let until = since + span;
    let mut idle = server.idle.borrow_mut();
    if idle.len() < max_idle && server.takes_work() {
        idle.push(Idle {
            stream,
            since,
            until,
        });
    }
}

/// Returns the timeout of a `Keep-Alive` header.
fn timeout_of(value: &str) -> Option<Duration> {
    let mut parts = value.split(',');
    let seconds = parts.find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// The writing half of a connection with a request that may not have arrived whole. Unless the exchange is
/// complete when it is dropped, the connection ends with a reset: what the kernel still holds, as during a
/// partition, must not arrive once nobody waits for it.
struct Pending<'a> {
    writer: WriteHalf<'a>,
    is_complete: bool,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if !self.is_complete {
            let socket = SockRef::from(self.writer.as_ref());
            // If it fails, the connection is closed in order.
            let _ = socket.set_linger(Some(Duration::ZERO));
        }
    }
}

/// A response, and the connection if it can be reused.
struct Exchange {
    response: Response,
    stream: Option<TcpStream>,
}

/// Why there is no usable response.
struct Failure {
    problem: String,
    /// Whether a byte of a response had arrived.
    has_received: bool,
    /// Whether the response was given up for lack of memory.
    lacks_memory: bool,
}

async fn exchange(
    mut stream: TcpStream,
    request: &Outgoing,
    names: &Names,
    memory: Reservation,
) -> Result<Exchange, Failure> {
    let (mut reader, writer) = stream.split();
    let mut pending = Pending {
        writer,
        is_complete: false,
    };
    let mut rest = request.head.clone().chain(request.body.clone());
    let mut receiver = Receiver::new(request, names, memory);
    let mut is_writing = true;
    let response = loop {
        tokio::select! {
            biased;
            result = receiver.receive(&mut reader) => match result {
                Ok(response) => break response,
                Err(problem) => {
                    return Err(Failure {
                        problem,
                        has_received: receiver.has_received,
                        lacks_memory: receiver.lacks_memory,
                    });
                }
            },
            written = pending.writer.write_buf(&mut rest), if is_writing => {
                // A server may answer although it stopped reading the body, so a failed write alone
                // is no failure of the attempt.
                is_writing = written.is_ok() && rest.has_remaining();
                if let Err(error) = written {
                    receiver.note_write_error(error);
                }
            }
        }
    };
    let is_complete = !rest.has_remaining() && receiver.is_clean && receiver.buffer.is_empty();
    // If a response without an attempt came once more, it would be taken for that of the next request.
    let is_named = response.head.fields.get(names.attempt).is_some();
    let is_reusable = is_complete && is_named && response.head.is_keep_alive();
    pending.is_complete = !rest.has_remaining();
    drop(pending);
    Ok(Exchange {
        response,
        stream: is_reusable.then_some(stream),
    })
}

/// Reads responses until the one to the request.
struct Receiver<'a> {
    request: &'a Outgoing,
    names: &'a Names,
    buffer: BytesMut,
    /// Memory for the response.
    memory: Reservation,
    /// The head that was read, with its body so far.
    incomplete: Option<(head::Response, Collector)>,
    /// Whether no response to another request has arrived.
    is_clean: bool,
    /// Whether any byte has arrived.
    has_received: bool,
    /// Whether the response was given up for lack of memory.
    lacks_memory: bool,
    /// Since when the response waits for memory.
    waits_since: Option<Instant>,
    /// Error with which the connection ended although the server had not ended it in order.
    broken: Option<io::Error>,
}

impl<'a> Receiver<'a> {
    fn new(request: &'a Outgoing, names: &'a Names, memory: Reservation) -> Self {
        Self {
            request,
            names,
            buffer: BytesMut::new(),
            memory,
            incomplete: None,
            is_clean: true,
            has_received: false,
            lacks_memory: false,
            waits_since: None,
            broken: None,
        }
    }

    /// Records that the request could not be written. The kernel reports the error of a connection only
    /// once: the reader then sees it end as if in order. A broken pipe tells that the server did end its
    /// side in order before.
    fn note_write_error(&mut self, error: io::Error) {
        if error.kind() != io::ErrorKind::BrokenPipe {
            self.broken = Some(error);
        }
    }

    /// Reads until the response to the request is complete. The future may be dropped and the
    /// method called again.
    async fn receive(
        &mut self,
        reader: &mut (impl AsyncReadExt + Unpin),
    ) -> Result<Response, String> {
        loop {
            if let Some(response) = self.advance()? {
                return Ok(response);
            }
            self.wait_for_memory().await?;
            self.buffer.reserve(READ_BYTES);
            let read = reader.read_buf(&mut self.buffer).await;
            if read.map_err(|error| error.to_string())? == 0 {
                return self.finish();
            }
            self.has_received = true;
        }
    }

    /// Waits until there is memory for more bytes: for the whole body if its length is known, since
    /// responses that each wait for the rest of their memory would stop each other. The server is not read
    /// meanwhile, so it stops sending.
    async fn wait_for_memory(&mut self) -> Result<(), String> {
        let collected = self.incomplete.as_ref();
        let body = collected.map_or(0, |(_, collector)| collector.expected_len());
        let wanted = body + (self.buffer.len() + READ_BYTES) as u64;
        let waits_since = &mut self.waits_since;
        if self.memory.wait_for_response(wanted, waits_since).await {
            return Ok(());
        }
        self.lacks_memory = true;
        Err("no memory for the response".to_owned())
    }

    /// Parses the buffered bytes.
    fn advance(&mut self) -> Result<Option<Response>, String> {
        loop {
            if self.incomplete.is_none() && !self.take_head()? {
                return Ok(None);
            }
            let Some((_, collector)) = &mut self.incomplete else {
                return Ok(None);
            };
            let taken = collector.take(&mut self.buffer);
            taken.map_err(|problem| format!("invalid body: {problem:?}"))?;
            if !collector.is_complete() {
                return Ok(None);
            }
            let Some((head, collector)) = self.incomplete.take() else {
                return Ok(None);
            };
            if self.is_own(&head)? {
                return Ok(Some(self.response(head, collector)));
            }
            self.is_clean = false;
        }
    }

    /// Takes the next head that is not an interim response; returns whether one was complete.
    fn take_head(&mut self) -> Result<bool, String> {
        loop {
            let head = head::Response::take(&mut self.buffer, MAX_HEAD_BYTES);
            let Some(head) = head.map_err(|problem| format!("invalid head: {problem:?}"))? else {
                return Ok(false);
            };
            if head.status == 101 || head.status < 100 {
                return Err(format!("invalid status {}", head.status));
            }
            if head.status < 200 {
                continue;
            }
            let framing = head.framing(self.request.is_head);
            let framing = framing.map_err(|_| "ambiguous framing".to_owned())?;
            let collector = Collector::new(framing, MAX_BODY_BYTES);
            let collector = collector.map_err(|_| "body too large".to_owned())?;
            self.incomplete = Some((head, collector.segmented()));
            return Ok(true);
        }
    }

    /// Returns whether a response belongs to the request. A response to another request is skipped;
    /// a success without an attempt identifier is rejected.
    fn is_own(&self, head: &head::Response) -> Result<bool, String> {
        match head.fields.get(self.names.attempt) {
            Some(attempt) => Ok(attempt == &self.request.attempt[..]),
            None if (200..300).contains(&head.status) => {
                Err("success without an attempt identifier".to_owned())
            }
            None => Ok(true),
        }
    }

    /// Completes the response when the connection ends.
    fn finish(&mut self) -> Result<Response, String> {
        if let Some(error) = &self.broken {
            return Err(error.to_string());
        }
        let closed = || "connection closed before the response was complete".to_owned();
        let (mut head, collector) = self.incomplete.take().ok_or_else(closed)?;
        if !collector.ends_with_connection() || !self.is_own(&head)? {
            return Err(closed());
        }
        head.is_http10 = true;
        Ok(self.response(head, collector))
    }

    fn response(&mut self, head: head::Response, collector: Collector) -> Response {
        self.memory.shrink_to(collector.len() as u64);
        Response {
            head,
            body: collector.into_segments(),
            memory: self.memory.take(),
        }
    }
}

#[cfg(test)]
mod tests;
