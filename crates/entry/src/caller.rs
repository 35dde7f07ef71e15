//! Connections of callers.
//!
//! Requests that a caller sends ahead are worked on together and answered in their order. The
//! connection is read all the while, so a caller that leaves is noticed and its requests end.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use fleet::config::Limits;
use futures::StreamExt;
use futures::future::LocalBoxFuture;
use futures::stream::FuturesOrdered;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::WriteHalf;
use tokio::time::{sleep_until, timeout};

use crate::body::{Collector, Unusable};
use crate::head::{Framing, Malformed, Request};
use crate::memory::{Held, Room};
use crate::response::{Refusal, Reply};
use crate::state::State;
use crate::{lookup, request_log, serve, snapshot};

/// Most requests of one connection that are worked on together.
const MAX_AHEAD: usize = 16;

/// Most bytes that are read ahead while requests are worked on.
const MAX_READ_AHEAD: usize = 256 << 10;

/// Bytes reserved for each read.
const READ_BYTES: usize = 4 << 10;

/// Time after which a caller may come again whose body there was no memory for.
const MEMORY_RETRY: Duration = Duration::from_millis(400);

/// Longest time that a caller may take nothing of an answer.
const WRITE: Duration = Duration::from_secs(10);

/// Longest time that a connection is read on after its last answer, so that the answer is not
/// lost to a reset.
const LINGER: Duration = Duration::from_secs(1);

/// What a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Callers' requests.
    Requests,
    /// Look-ups of entry VMs.
    Lookups,
    /// Readiness checks.
    Ready,
    /// Other entry VMs' requests for state.
    State,
    /// Metrics.
    Metrics,
}

/// A request that has arrived whole.
#[derive(Debug)]
pub struct Incoming {
    /// Head.
    pub head: Request,
    /// Body.
    pub body: Bytes,
    /// When its head was whole.
    pub since: Instant,
    /// Memory that its body holds.
    _hold: Held,
}

/// Serves a connection until either side ends it.
pub async fn serve(state: Rc<State>, mut stream: TcpStream, role: Role) {
    if stream.set_nodelay(true).is_err() {
        state.metrics.note_socket_error();
    }
    let (mut reader, mut writer) = stream.split();
    let mut inbound = Inbound::new(state.limits(), state.room.clone());
    let mut replies: FuturesOrdered<LocalBoxFuture<'static, Reply>> = FuturesOrdered::new();
    let mut is_last = false;
    loop {
        while !is_last && replies.len() < MAX_AHEAD {
            match inbound.next() {
                Next::Partial => break,
                Next::Request(incoming) => {
                    is_last = !incoming.head.is_kept();
                    replies.push_back(Box::pin(answer(Rc::clone(&state), role, incoming)));
                }
                Next::Refused(refusal) => {
                    is_last = true;
                    inbound.note_refused(&state, &refusal);
                    replies.push_back(Box::pin(std::future::ready(Reply::refused(refusal))));
                }
            }
        }
        let is_asked = replies.is_empty() && inbound.wants_continue();
        if is_asked && !write(&mut writer, Bytes::from_static(CONTINUE), Bytes::new()).await {
            return;
        }
        let is_idle = replies.is_empty();
        let limit = inbound.limit(is_idle);
        tokio::select! {
            biased;
            Some(mut reply) = replies.next(), if !is_idle => {
                reply.closes |= (is_last && replies.is_empty()) || state.is_leaving();
                let closes = reply.closes;
                let (head, body) = reply.into_parts();
                if !write(&mut writer, head, body).await {
                    return;
                }
                if closes {
                    break;
                }
                inbound.note_answer();
            }
            read = inbound.read(&mut reader), if inbound.has_room() => {
                if read == 0 {
                    return;
                }
            }
            () = sleep_until(limit.into()), if is_idle => {
                if !inbound.is_within() {
                    break;
                }
                inbound.note_refused(&state, &Refusal::RequestTooSlow);
                let (head, body) = Reply::refused(Refusal::RequestTooSlow).into_parts();
                write(&mut writer, head, body).await;
                break;
            }
            () = state.closing(), if is_idle && !inbound.is_within() => break,
        }
    }
    linger(stream).await;
}

/// Interim answer that asks for a body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

async fn answer(state: Rc<State>, role: Role, incoming: Incoming) -> Reply {
    match role {
        Role::Requests => serve::answer(&state, incoming).await,
        Role::Lookups => lookup::answer(&state, &incoming.head),
        Role::Ready => lookup::readiness(&state, &incoming.head),
        Role::State => snapshot::answer(&state, &incoming.head),
        Role::Metrics => lookup::metrics(&state, &incoming.head),
    }
}

/// Writes an answer; returns false if the caller does not take it.
async fn write(writer: &mut WriteHalf<'_>, head: Bytes, body: Bytes) -> bool {
    let mut bytes = head.chain(body);
    let written = timeout(WRITE, writer.write_all_buf(&mut bytes)).await;
    matches!(written, Ok(Ok(())))
}

/// Ends a connection without a reset that could overtake the last answer.
async fn linger(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut rest = BytesMut::with_capacity(READ_BYTES);
    let drain = async {
        while matches!(stream.read_buf(&mut rest).await, Ok(1..)) {
            rest.clear();
        }
    };
    // A caller that keeps the connection open is left to the reset.
    let _ = timeout(LINGER, drain).await;
}

/// Requests as they arrive on a connection.
struct Inbound {
    limits: Limits,
    room: Room,
    buffer: BytesMut,
    /// A head whose body is still arriving.
    partial: Option<Partial>,
    /// A head whose body cannot be taken.
    unusable: Option<Request>,
    /// When the current request began, or the connection became idle.
    since: Instant,
    is_asked: bool,
}

/// A request whose body is still arriving.
struct Partial {
    head: Request,
    collector: Collector,
    since: Instant,
    hold: Held,
}

/// What has arrived.
enum Next {
    Partial,
    Request(Incoming),
    Refused(Refusal),
}

impl Inbound {
    fn new(limits: Limits, room: Room) -> Self {
        Self {
            limits,
            room,
            buffer: BytesMut::new(),
            partial: None,
            unusable: None,
            since: Instant::now(),
            is_asked: false,
        }
    }

    /// Reads more bytes; returns 0 once the caller has left.
    async fn read(&mut self, reader: &mut (impl AsyncReadExt + Unpin)) -> usize {
        self.buffer.reserve(READ_BYTES);
        let was_empty = self.buffer.is_empty() && self.partial.is_none();
        // A failed connection is one that the caller has left.
        let read = reader.read_buf(&mut self.buffer).await.unwrap_or(0);
        if was_empty {
            self.since = Instant::now();
        }
        read
    }

    /// Lets the idle time begin anew.
    fn note_answer(&mut self) {
        if !self.is_within() {
            self.since = Instant::now();
        }
    }

    fn has_room(&self) -> bool {
        self.buffer.len() < MAX_READ_AHEAD
    }

    /// Returns whether a part of a request has arrived.
    fn is_within(&self) -> bool {
        self.partial.is_some() || !self.buffer.is_empty()
    }

    /// Returns until when to wait for more, if nothing else is worked on.
    fn limit(&self, is_idle: bool) -> Instant {
        let span = match &self.partial {
            Some(_) => self.limits.idle_timeout,
            None if self.buffer.is_empty() || !is_idle => self.limits.idle_timeout,
            None => self.limits.head_timeout,
        };
        self.since + span
    }

    /// Returns whether the caller waits for a word before it sends a body; true once.
    fn wants_continue(&mut self) -> bool {
        let Some(partial) = &self.partial else {
            return false;
        };
        let fields = &partial.head.fields;
        let waits = fields.has_token("expect", "100-continue") && partial.collector.len() == 0;
        waits && !std::mem::replace(&mut self.is_asked, true)
    }

    /// Logs that the request that is arriving is refused.
    fn note_refused(&self, state: &State, refusal: &Refusal) {
        let head = self.partial.as_ref().map(|partial| &partial.head);
        let head = head.or(self.unusable.as_ref());
        request_log::note_refused(state, head, self.since, refusal);
    }

    /// Takes the next whole request.
    fn next(&mut self) -> Next {
        match self.advance() {
            Ok(Some(incoming)) => Next::Request(incoming),
            Ok(None) => Next::Partial,
            Err(refusal) => Next::Refused(refusal),
        }
    }

    fn advance(&mut self) -> Result<Option<Incoming>, Refusal> {
        if self.partial.is_none() && !self.begin()? {
            return Ok(None);
        }
        let Some(partial) = &mut self.partial else {
            return Ok(None);
        };
        partial.collector.take(&mut self.buffer)?;
        if !partial.hold.grow_to(partial.collector.len() as u64) {
            return Err(Refusal::NoMemory(MEMORY_RETRY));
        }
        let whole = self.partial.take_if(|partial| partial.collector.is_whole());
        let Some(partial) = whole else {
            return Ok(None);
        };
        self.since = Instant::now();
        self.is_asked = false;
        Ok(Some(Incoming {
            head: partial.head,
            body: partial.collector.into_body(),
            since: partial.since,
            _hold: partial.hold,
        }))
    }

    /// Takes the next head; returns whether there is one.
    fn begin(&mut self) -> Result<bool, Refusal> {
        while self.buffer.starts_with(b"\r\n") {
            self.buffer.advance(2);
        }
        if self.buffer.is_empty() {
            return Ok(false);
        }
        let Some(head) = Request::take(&mut self.buffer, self.limits.max_head_bytes)? else {
            return Ok(false);
        };
        match self.prepare(&head) {
            Ok((collector, hold)) => {
                self.partial = Some(Partial {
                    head,
                    collector,
                    since: Instant::now(),
                    hold,
                });
                Ok(true)
            }
            Err(refusal) => {
                self.unusable = Some(head);
                Err(refusal)
            }
        }
    }

    /// Prepares for the body that follows `head`.
    fn prepare(&self, head: &Request) -> Result<(Collector, Held), Refusal> {
        let framing = head.framing()?;
        if head.is_old && framing == Framing::Chunked {
            return Err(Refusal::Malformed);
        }
        let collector = Collector::new(framing, self.limits.max_body_bytes)?;
        let mut hold = self.room.hold();
        if let Framing::Length(length) = framing
            && !hold.grow_to(length)
        {
            return Err(Refusal::NoMemory(MEMORY_RETRY));
        }
        Ok((collector, hold))
    }
}

impl From<Malformed> for Refusal {
    fn from(malformed: Malformed) -> Self {
        match malformed {
            Malformed::Syntax => Self::Malformed,
            Malformed::TooLarge => Self::HeadTooLarge,
        }
    }
}

impl From<Unusable> for Refusal {
    fn from(unusable: Unusable) -> Self {
        match unusable {
            Unusable::Malformed => Self::Malformed,
            Unusable::TooLarge => Self::BodyTooLarge,
        }
    }
}
