//! Snapshots of the store, served to and fetched from other entry VMs.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use event::Event;
use fleet::restore::Position;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::body::Collector;
use crate::head::{Fields, Request, Response};
use crate::response::{Refusal, Reply};
use crate::state::State;
use crate::store::Record;
use crate::transfer::{Progress, Purpose};

/// Path of the snapshots; the revision that the requester knows follows.
const PATH: &str = "/state?after=";

/// Header with the era: in a request, of the revision in its path; in a response, of the snapshot. It is a
/// header since older versions ignore unknown headers, but reject a path with a second parameter.
const ERA: &str = "Teaseldoor-Era";

/// Header of a response: time for which the sender has followed the store without a gap, in milliseconds.
const STEADY: &str = "Teaseldoor-Steady-Ms";

/// Age from which on a VM's state is stale, in milliseconds: a pause and a watch of a leader, and a slow
/// response.
pub const STALE_MS: u64 = 1_000;

/// Largest response, in bytes.
const MAX_BYTES: u64 = 8 << 20;

/// Largest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 4 << 10;

/// The store's keys as an entry VM knows them.
#[derive(Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// Store revision up to which changes are known.
    pub revision: u64,
    /// Records.
    pub items: Vec<Record>,
    /// Whether the records are all there are, not only the changed ones.
    pub is_complete: bool,
    /// Time since the sender was last up to date, in milliseconds.
    pub age_ms: u64,
    /// Time since the sender sent the query to the store that its state comes from, in
    /// milliseconds.
    pub query_age_ms: u64,
    /// Time for which unregistered backend servers are still kept, in milliseconds.
    pub rejoin_ms: u64,
}

/// A snapshot that another entry VM sent.
#[derive(Debug)]
pub struct Fetched {
    /// The snapshot.
    pub snapshot: Snapshot,
    /// Era of the store that it is of; absent if the sender names none.
    pub era: Option<u64>,
    /// Time for which the sender has followed the store without a gap, in milliseconds; absent if it does
    /// not say.
    pub steady_ms: Option<u64>,
}

/// Answers the request of another entry VM.
#[must_use]
pub fn answer(state: &State, head: &Request) -> Reply {
    let target = std::str::from_utf8(&head.target).unwrap_or_default();
    let Some(after) = target
        .strip_prefix(PATH)
        .and_then(|after| after.parse().ok())
    else {
        return Reply::refused(Refusal::NoRoute);
    };
    let Some(read_at) = state.read_at() else {
        return Reply::refused(Refusal::Starting);
    };
    let known = era_of(&head.fields);
    match postcard::to_stdvec(&snapshot(state, known, after, read_at)) {
        Ok(bytes) => {
            let mut reply = Reply::with_status(200, None, Bytes::from(bytes));
            let era = state.position().era;
            if era > 0 {
                reply.add_header(ERA, &era.to_string());
            }
            if let Some(since) = state.steady_since() {
                let steady_ms = to_millis(since.elapsed());
                reply.add_header(STEADY, &steady_ms.to_string());
            }
            reply
        }
        Err(error) => {
            let addr = state.membership.borrow().own_announcement().peer;
            let error = error.to_string();
            event::emit(&Event::NeighbourUnreachable { addr, error });
            Reply::refused(Refusal::Starting)
        }
    }
}

/// Returns the era that a head names, if any.
fn era_of(fields: &Fields) -> Option<u64> {
    number(fields, ERA)
}

fn number(fields: &Fields, name: &str) -> Option<u64> {
    fields.text(name)?.parse().ok()
}

/// Returns the changes after the revision `after` of the era `era`; versions without eras name none.
fn snapshot(state: &State, era: Option<u64>, after: u64, read_at: Instant) -> Snapshot {
    let now = Instant::now();
    let (items, is_complete) = state.replica().answer(&state.eras(), era, after);
    let rejoin = state
        .rejoin_until()
        .max(state.grace().until())
        .map(|until| until.saturating_duration_since(now));
    Snapshot {
        revision: state.revision(),
        items,
        is_complete,
        age_ms: to_millis(now.duration_since(read_at)),
        query_age_ms: to_millis(now.duration_since(state.complete_until().unwrap_or(read_at))),
        rejoin_ms: to_millis(rejoin.unwrap_or_default()),
    }
}

/// Returns `span` in whole milliseconds.
#[must_use]
pub fn to_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Requests the changes after `known` from the entry VM at `addr`, and waits at most `limit`.
///
/// # Errors
///
/// Fails with a description of the problem.
pub async fn fetch(
    state: &State,
    addr: SocketAddr,
    known: Position,
    limit: Duration,
) -> Result<Fetched, String> {
    let progress = Progress::default();
    let fetched = timeout(limit, exchange(addr, known, &progress)).await;
    let fetched = fetched.map_err(|_| "no response in time".to_owned());
    let fetched = fetched.flatten();
    let age_ms = fetched.as_ref().ok().map(|fetched| fetched.snapshot.age_ms);
    state.note_transfer(Purpose::Snapshot, &addr.to_string(), &progress, age_ms);
    fetched
}

async fn exchange(
    addr: SocketAddr,
    known: Position,
    progress: &Progress,
) -> Result<Fetched, String> {
    let text = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect(addr).await.map_err(text)?;
    let Position { era, revision } = known;
    let era = if era > 0 {
        format!("{ERA}: {era}\r\n")
    } else {
        String::new()
    };
    let head =
        format!("GET {PATH}{revision} HTTP/1.1\r\nHost: {addr}\r\n{era}Connection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).await.map_err(text)?;
    let mut buffer = BytesMut::new();
    let mut body = None;
    let (mut sent_era, mut steady_ms) = (None, None);
    loop {
        if stream.read_buf(&mut buffer).await.map_err(text)? == 0 {
            return Err("connection closed before the response was complete".to_owned());
        }
        if body.is_none() {
            let head = take_head(&mut buffer)?;
            if let Some(head) = head {
                sent_era = era_of(&head.fields);
                steady_ms = number(&head.fields, STEADY);
                let collector = collector(&head)?;
                progress.note_expected(collector.expected_len());
                body = Some(collector);
            }
        }
        if let Some(body) = &mut body {
            body.take(&mut buffer)
                .map_err(|_| "malformed or oversized body".to_owned())?;
            progress.note_received(body.len() as u64);
        }
        if let Some(body) = body.take_if(|body| body.is_complete()) {
            let snapshot = postcard::from_bytes(&body.into_body());
            let snapshot = snapshot.map_err(|error| error.to_string())?;
            return Ok(Fetched {
                snapshot,
                era: sent_era,
                steady_ms,
            });
        }
    }
}

fn take_head(buffer: &mut BytesMut) -> Result<Option<Response>, String> {
    let head = Response::take(buffer, MAX_HEAD_BYTES);
    head.map_err(|_| "malformed or oversized head".to_owned())
}

fn collector(head: &Response) -> Result<Collector, String> {
    if head.status != 200 {
        return Err(format!("status {}", head.status));
    }
    let framing = head
        .framing(false)
        .map_err(|_| "ambiguous framing".to_owned())?;
    let collector = Collector::new(framing, MAX_BYTES);
    collector.map_err(|_| "body too large".to_owned())
}
