//! Sending a request to a backend server.

use std::cell::Cell;
use std::io;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use steer::idle::Limit;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at};

use crate::body::Collector;
use crate::head::{self, Fields};
use crate::names::Names;
use crate::servers::{Live, Ticket};

/// Longest time to wait for a connection; twice a retransmitted first packet would take longer
/// than most callers wait.
const CONNECT: Duration = Duration::from_millis(600);

/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Largest body of an answer, in bytes.
const MAX_BODY_BYTES: u64 = 32 << 20;

/// Time that an idle connection is kept if the server names none.
const IDLE: Duration = Duration::from_millis(500);

/// Time within which a forgotten connection is reset, a way to another region and back. A server
/// that breaks off a request that it runs takes longer.
const AT_ONCE: Duration = Duration::from_millis(50);

/// Bytes reserved for each read.
const READ_BYTES: usize = 8 << 10;

/// Time after which unacknowledged bytes mark a connection as dead.
const UNACKNOWLEDGED: Duration = Duration::from_secs(3);

/// A request as it goes to a backend server.
#[derive(Debug)]
pub struct Outgoing {
    /// Head, with its empty line.
    pub head: Bytes,
    /// Body.
    pub body: Bytes,
    /// The caller's number of the attempt.
    pub attempt: Bytes,
    /// Whether the method is HEAD.
    pub is_head: bool,
}

/// An answer that arrived whole.
#[derive(Debug)]
pub struct Answered {
    /// Head.
    pub head: head::Answer,
    /// Body.
    pub body: Bytes,
}

/// What became of a request.
#[derive(Debug)]
pub enum Outcome {
    /// It was answered.
    Answered(Answered),
    /// No byte of it left.
    Unreached(String),
    /// It may have run, and there is no usable answer.
    Broken(String),
    /// There is no answer yet at the deadline.
    TimedOut,
}

/// A connection that waits for its next request.
#[derive(Debug)]
pub struct Idle {
    stream: TcpStream,
    since: Instant,
    until: Instant,
}

/// How connections are used again.
#[derive(Debug)]
pub struct Reuse<'a> {
    /// How long they may have been idle.
    pub limit: &'a Cell<Limit>,
    /// Most idle connections to one server.
    pub most: usize,
}

/// Sends `request` to the server of `ticket` and waits for the answer until `deadline`. Dropping the future
/// closes the connection, which tells the server that nobody waits.
pub async fn send(
    ticket: &Ticket,
    request: &Outgoing,
    names: &Names,
    reuse: &Reuse<'_>,
    deadline: Instant,
) -> Outcome {
    let server = ticket.server();
    let idle = take_idle(server, reuse.limit);
    let idle_for = idle.as_ref().map(|idle| idle.since.elapsed());
    let connected = match idle {
        Some(idle) => Ok(idle.stream),
        None => connect(server, deadline).await,
    };
    let stream = match connected {
        Ok(stream) => stream,
        Err(error) => return Outcome::Unreached(error.to_string()),
    };
    ticket.note_sent();
    let begin = Instant::now();
    let exchange = exchange(stream, request, names);
    match timeout_at(deadline.into(), exchange).await {
        Err(_) => Outcome::TimedOut,
        Ok(Err(broken)) => {
            let is_at_once = !broken.has_begun && begin.elapsed() < AT_ONCE;
            if let Some(idle_for) = idle_for.filter(|_| is_at_once) {
                let now = Instant::now();
                let mut limit = reuse.limit.get();
                limit.note_reset(idle_for, now);
                reuse.limit.set(limit);
            }
            Outcome::Broken(broken.problem)
        }
        Ok(Ok(done)) => {
            if let Some(stream) = done.stream {
                keep(server, stream, &done.answered.head.fields, reuse.most);
            }
            Outcome::Answered(done.answered)
        }
    }
}

async fn connect(server: &Live, deadline: Instant) -> io::Result<TcpStream> {
    let left = deadline.saturating_duration_since(Instant::now());
    let connecting = TcpStream::connect(server.addr);
    let stream = timeout(CONNECT.min(left), connecting).await??;
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    Ok(stream)
}

/// Takes the latest idle connection on which nothing has arrived since.
fn take_idle(server: &Live, limit: &Cell<Limit>) -> Option<Idle> {
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

fn keep(server: &Live, stream: TcpStream, fields: &Fields, most: usize) {
    let told = fields.text("keep-alive").and_then(timeout_of);
    let span = told.map_or(IDLE, |told| told.mul_f64(0.7));
    let since = Instant::now();
    let until = since + span;
    let mut idle = server.idle.borrow_mut();
    if idle.len() < most && server.ready.get() {
        idle.push(Idle {
            stream,
            since,
            until,
        });
    }
}

/// Returns the time of a `Keep-Alive` header.
fn timeout_of(value: &str) -> Option<Duration> {
    let mut parts = value.split(',');
    let seconds = parts.find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// An answer, and the connection if it can be used again.
struct Done {
    answered: Answered,
    stream: Option<TcpStream>,
}

/// Why there is no usable answer.
struct Broken {
    problem: String,
    /// Whether a byte of an answer had arrived.
    has_begun: bool,
}

async fn exchange(
    mut stream: TcpStream,
    request: &Outgoing,
    names: &Names,
) -> Result<Done, Broken> {
    let (mut reader, mut writer) = stream.split();
    let mut rest = request.head.clone().chain(request.body.clone());
    let mut receiver = Receiver::new(request, names);
    let mut writing = true;
    let answered = loop {
        tokio::select! {
            biased;
            answer = receiver.receive(&mut reader) => match answer {
                Ok(answered) => break answered,
                Err(problem) => {
                    let has_begun = receiver.has_begun;
                    return Err(Broken { problem, has_begun });
                }
            },
            written = writer.write_buf(&mut rest), if writing => {
                // A server may answer although it takes no more of the body, so a failed write
                // alone decides nothing.
                writing = written.is_ok() && rest.has_remaining();
            }
        }
    };
    let is_whole = !rest.has_remaining() && receiver.is_clean && receiver.buffer.is_empty();
    let is_kept = is_whole && answered.head.is_kept();
    Ok(Done {
        answered,
        stream: is_kept.then_some(stream),
    })
}

/// Reads answers until the one to the request.
struct Receiver<'a> {
    request: &'a Outgoing,
    names: &'a Names,
    buffer: BytesMut,
    /// The head that was read, with its body so far.
    partial: Option<(head::Answer, Collector)>,
    /// Whether only the answer to the request has arrived.
    is_clean: bool,
    /// Whether any byte has arrived.
    has_begun: bool,
}

impl<'a> Receiver<'a> {
    fn new(request: &'a Outgoing, names: &'a Names) -> Self {
        Self {
            request,
            names,
            buffer: BytesMut::new(),
            partial: None,
            is_clean: true,
            has_begun: false,
        }
    }

    /// Reads until the request's answer is whole. It may be dropped and called again.
    async fn receive(
        &mut self,
        reader: &mut (impl AsyncReadExt + Unpin),
    ) -> Result<Answered, String> {
        loop {
            if let Some(answered) = self.advance()? {
                return Ok(answered);
            }
            self.buffer.reserve(READ_BYTES);
            let read = reader.read_buf(&mut self.buffer).await;
            if read.map_err(|error| error.to_string())? == 0 {
                return self.finish();
            }
            self.has_begun = true;
        }
    }

    /// Goes on with what is in the buffer.
    fn advance(&mut self) -> Result<Option<Answered>, String> {
        loop {
            if self.partial.is_none() && !self.begin()? {
                return Ok(None);
            }
            let Some((_, collector)) = &mut self.partial else {
                return Ok(None);
            };
            let taken = collector.take(&mut self.buffer);
            taken.map_err(|problem| format!("unusable body: {problem:?}"))?;
            if !collector.is_whole() {
                return Ok(None);
            }
            let Some((head, collector)) = self.partial.take() else {
                return Ok(None);
            };
            if self.is_own(&head)? {
                let body = collector.into_body();
                return Ok(Some(Answered { head, body }));
            }
            self.is_clean = false;
        }
    }

    /// Takes the next head that is not an interim one; returns whether there is one.
    fn begin(&mut self) -> Result<bool, String> {
        loop {
            let head = head::Answer::take(&mut self.buffer, MAX_HEAD_BYTES);
            let Some(head) = head.map_err(|problem| format!("unusable head: {problem:?}"))? else {
                return Ok(false);
            };
            if head.status == 101 || head.status < 100 {
                return Err(format!("unusable status {}", head.status));
            }
            if head.status < 200 {
                continue;
            }
            let framing = head.framing(self.request.is_head);
            let framing = framing.map_err(|_| "ambiguous framing".to_owned())?;
            let collector = Collector::new(framing, MAX_BODY_BYTES);
            let collector = collector.map_err(|_| "body too large".to_owned())?;
            self.partial = Some((head, collector));
            return Ok(true);
        }
    }

    /// Returns whether an answer belongs to the request. One that belongs to another request is
    /// passed over; a success that names none is not trusted.
    fn is_own(&self, head: &head::Answer) -> Result<bool, String> {
        match head.fields.get(self.names.attempt) {
            Some(attempt) => Ok(attempt == &self.request.attempt[..]),
            None if (200..300).contains(&head.status) => {
                Err("a success that names no attempt".to_owned())
            }
            None => Ok(true),
        }
    }

    /// Ends the answer with the connection.
    fn finish(&mut self) -> Result<Answered, String> {
        let closed = || "closed without a whole answer".to_owned();
        let (mut head, collector) = self.partial.take().ok_or_else(closed)?;
        if !collector.ends_with_connection() || !self.is_own(&head)? {
            return Err(closed());
        }
        head.is_old = true;
        let body = collector.into_body();
        Ok(Answered { head, body })
    }
}
