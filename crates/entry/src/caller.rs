//! Connections of callers.
//!
//! Pipelined requests are processed concurrently and answered in order. The connection is read all
//! the time, so that a disconnect is noticed and cancels the caller's requests.

use std::collections::VecDeque;
use std::io::IoSlice;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use futures::StreamExt;
use futures::future::LocalBoxFuture;
use futures::stream::FuturesOrdered;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::WriteHalf;
use tokio::time::{sleep_until, timeout};

use crate::body::SEGMENT_BYTES;
use crate::dispatch::Origin;
use crate::memory::{Reservation, Writing};
use crate::response::{Refusal, Reply};
use crate::state::{InFlight, State};
use crate::{lookup, serve, snapshot};

mod inbound;

pub use inbound::Incoming;
use inbound::{Inbound, Next};

/// Maximum number of requests of one connection that are processed concurrently.
const MAX_PIPELINED: usize = 16;

/// Bytes that the VM which relays a request may add to its head.
const RELAY_HEAD_BYTES: usize = 1 << 10;

/// Bytes reserved for each read.
const READ_BYTES: usize = 4 << 10;

/// Time after which a caller may retry a request whose body or response does not fit into memory.
pub const MEMORY_RETRY: Duration = Duration::from_millis(400);

/// Time after which the connection of a caller that takes no bytes of its response is closed.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes of a response that the kernel may buffer for a caller. It bounds the throughput to this size for each
/// round trip. A larger buffer, as the kernel chooses by itself, would hold memory that the process does not
/// count, and would hide for longer than [`STALL_TIMEOUT`] that a slow caller reads.
const SEND_BUFFER_BYTES: usize = 256 << 10;

/// Number of parts of a response that are written at once.
const MAX_PARTS: usize = 16;

/// Maximum time for which a connection is read after its last response. Closing it with unread
/// bytes would send a reset, which can destroy the response before the caller reads it.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// What a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Callers' requests.
    Requests,
    /// Callers' requests that another entry VM passes on.
    Relayed,
    /// Lookups of entry VMs.
    Lookups,
    /// Readiness checks.
    Ready,
    /// Requests of other entry VMs for a snapshot of the store.
    State,
    /// Metrics.
    Metrics,
}

impl Role {
    /// Returns whether its requests are callers' requests, which a shutdown waits for.
    fn carries_requests(self) -> bool {
        matches!(self, Self::Requests | Self::Relayed)
    }

    /// Counts a request as in flight if a shutdown waits for it.
    fn begin_request(self, state: &Rc<State>) -> Option<InFlight> {
        self.carries_requests().then(|| state.begin_request())
    }
}

/// Serves a connection until either side closes it.
pub async fn serve(state: Rc<State>, mut stream: TcpStream, role: Role) {
    if stream.set_nodelay(true).is_err() {
        state.metrics.note_socket_error();
    }
    // Other VMs may be in another region, where this buffer would limit the throughput.
    if role == Role::Requests
        && SockRef::from(&stream)
            .set_send_buffer_size(SEND_BUFFER_BYTES)
            .is_err()
    {
        state.metrics.note_socket_error();
    }
    let (mut reader, mut writer) = stream.split();
    let mut limits = state.limits();
    if role == Role::Relayed {
        limits.max_head_bytes = limits.max_head_bytes.saturating_add(RELAY_HEAD_BYTES);
    }
    let mut inbound = Inbound::new(limits, state.body_memory.clone());
    let mut replies = Replies::default();
    let mut is_last = false;
    // Counts a request as in flight that has arrived in part.
    let mut arriving = None;
    loop {
        while !is_last && replies.len() < MAX_PIPELINED {
            match inbound.next() {
                Next::Incomplete => break,
                Next::Request(incoming) => {
                    is_last = !incoming.head.is_keep_alive();
                    let counted = arriving.take();
                    let in_flight = counted.or_else(|| role.begin_request(&state));
                    let answer = answer(Rc::clone(&state), role, incoming);
                    replies.push(Box::pin(async { (answer.await, in_flight) }));
                }
                Next::Refused(refusal) => {
                    is_last = true;
                    inbound.log_refused(&state, &refusal);
                    let in_flight = role.begin_request(&state);
                    let reply = (refused(role, refusal), in_flight);
                    replies.push(Box::pin(std::future::ready(reply)));
                }
            }
        }
        if is_last || !inbound.has_incomplete() {
            arriving = None;
        } else if arriving.is_none() {
            arriving = role.begin_request(&state);
        }
        let is_continue_due = replies.is_empty() && inbound.wants_continue();
        if is_continue_due {
            let interim = VecDeque::from([Bytes::from_static(CONTINUE)]);
            if !write(&state, &mut writer, interim, None).await {
                return;
            }
        }
        let is_idle = replies.is_empty();
        let expires_at = inbound.expires_at(is_idle);
        tokio::select! {
            biased;
            Some((mut reply, in_flight)) = replies.next(), if !is_idle => {
                // The caller takes requests behind a response that closes for not read.
                is_last |= reply.closes || state.is_leaving();
                reply.closes = is_last && replies.is_empty();
                let closes = reply.closes;
                let (parts, memory) = reply.into_parts();
                let writing = write(&state, &mut writer, parts, memory);
                if !replies.receive_during(writing).await {
                    return;
                }
                drop(in_flight);
                if closes {
                    break;
                }
                inbound.note_response();
            }
            read = inbound.read(&mut reader), if inbound.can_read_ahead() => {
                if read == 0 {
                    return;
                }
            }
            () = sleep_until(expires_at.into()), if is_idle => {
                if !inbound.has_incomplete() {
                    break;
                }
                inbound.log_refused(&state, &Refusal::RequestTooSlow);
                let (parts, _) = Reply::refused(Refusal::RequestTooSlow).into_parts();
                write(&state, &mut writer, parts, None).await;
                break;
            }
            () = state.wait_closing(), if is_idle && !inbound.has_incomplete() => break,
        }
    }
    // The process has to live until the caller has read the last response.
    let _unread = role.carries_requests().then(|| state.begin_linger());
    linger(stream).await;
}

/// A response, with the guard that counts its request as in flight.
type Counted = (Reply, Option<InFlight>);

/// Responses to the requests of a connection, in the order of the requests.
#[derive(Default)]
struct Replies {
    pending: FuturesOrdered<LocalBoxFuture<'static, Counted>>,
    /// Responses that came while another one was written.
    ready: VecDeque<Counted>,
}

impl Replies {
    fn push(&mut self, reply: LocalBoxFuture<'static, Counted>) {
        self.pending.push_back(reply);
    }

    fn len(&self) -> usize {
        self.pending.len() + self.ready.len()
    }

    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    async fn next(&mut self) -> Option<Counted> {
        match self.ready.pop_front() {
            Some(reply) => Some(reply),
            None => self.pending.next().await,
        }
    }

    /// Waits for `writing`, and receives responses meanwhile: a caller that reads slowly must not keep what
    /// its other requests hold, such as places at a backend server.
    async fn receive_during(&mut self, writing: impl Future<Output = bool>) -> bool {
        tokio::pin!(writing);
        loop {
            tokio::select! {
                biased;
                written = &mut writing => return written,
                Some(reply) = self.pending.next() => self.ready.push_back(reply),
            }
        }
    }
}

/// Interim response that asks the caller to send the body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

async fn answer(state: Rc<State>, role: Role, incoming: Incoming) -> Reply {
    match role {
        Role::Requests => serve::answer(&state, incoming, Origin::Caller).await,
        Role::Relayed => serve::answer(&state, incoming, Origin::Vm).await,
        Role::Lookups => lookup::answer(&state, &incoming.head),
        Role::Ready => lookup::readiness(&state, &incoming.head),
        Role::State => snapshot::answer(&state, &incoming.head),
        Role::Metrics => lookup::metrics(&state, &incoming.head),
    }
}

fn refused(role: Role, refusal: Refusal) -> Reply {
    match role {
        Role::Relayed => Reply::refused_relay(refusal),
        _ => Reply::refused(refusal),
    }
}

/// Writes a response and frees its memory as it is written; returns false if the caller has disconnected
/// or was closed because it did not read.
async fn write(
    state: &State,
    writer: &mut WriteHalf<'_>,
    mut parts: VecDeque<Bytes>,
    mut memory: Option<Reservation>,
) -> bool {
    // Closing a caller whose response holds no memory of the pool would free nothing.
    let writing = memory
        .as_ref()
        .map(|_| state.body_memory.writing(Instant::now()));
    loop {
        parts.retain(|part| !part.is_empty());
        if parts.is_empty() {
            return true;
        }
        let slices: Vec<IoSlice<'_>> = parts
            .iter()
            .take(MAX_PARTS)
            .map(|part| IoSlice::new(part))
            .collect();
        let written = tokio::select! {
            biased;
            () = close_requested(writing.as_ref()) => {
                state.metrics.note_closed_caller("memory");
                reset(state, writer);
                return false;
            }
            written = timeout(STALL_TIMEOUT, writer.write_vectored(&slices)) => written,
        };
        let written = match written {
            Ok(Ok(written @ 1..)) => written,
            Ok(_) => return false,
            Err(_) => {
                state.metrics.note_closed_caller("stalled");
                reset(state, writer);
                return false;
            }
        };
        if let Some(writing) = &writing {
            writing.note_progress(Instant::now());
        }
        advance(&mut parts, written);
        if let Some(memory) = &mut memory {
            // A part keeps all of its memory until it is written completely.
            let rest: usize = parts.iter().map(Bytes::len).sum();
            memory.shrink_to((rest + SEGMENT_BYTES) as u64);
        }
    }
}

/// Waits until the caller of a response is to be closed to free memory.
async fn close_requested(writing: Option<&Writing>) {
    match writing {
        Some(writing) => writing.close_requested().await,
        None => std::future::pending().await,
    }
}

/// Removes the first `length` bytes of `parts`.
fn advance(parts: &mut VecDeque<Bytes>, mut length: usize) {
    while let Some(first) = parts.front_mut() {
        if length < first.len() {
            first.advance(length);
            return;
        }
        length -= first.len();
        parts.pop_front();
    }
}

/// Lets the connection end with a reset, which frees what the kernel buffers for the caller.
fn reset(state: &State, writer: &WriteHalf<'_>) {
    let socket = SockRef::from(writer.as_ref());
    if socket.set_linger(Some(Duration::ZERO)).is_err() {
        state.metrics.note_socket_error();
    }
}

/// Closes a connection without a reset that could overtake the last response.
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
    // A caller that keeps the connection open after this time gets the reset.
    let _ = timeout(LINGER_TIME, drain).await;
}
