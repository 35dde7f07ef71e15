//! State for entry VMs that cannot read the store themselves.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use event::Event;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::body::Collector;
use crate::head::{Answer, Request};
use crate::response::{Refusal, Reply};
use crate::state::State;
use crate::store::Record;

/// Path of the state service; the revision that the caller knows follows.
const PATH: &str = "/state?after=";

/// Largest answer, in bytes.
const MAX_BYTES: u64 = 8 << 20;

/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 4 << 10;

/// The store's keys as an entry VM knows them.
#[derive(Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// Store revision up to which changes are known.
    pub revision: u64,
    /// Keys.
    pub items: Vec<Record>,
    /// Whether the keys are all there are, and not only those that changed.
    pub is_complete: bool,
    /// Time since the sender was last up to date, in milliseconds.
    pub age_ms: u64,
    /// Time since the sender asked the store what it knows, in milliseconds.
    pub query_age_ms: u64,
    /// Time for which missing backend servers are still kept, in milliseconds.
    pub rejoin_ms: u64,
}

/// Answers a neighbour.
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
    match postcard::to_stdvec(&snapshot(state, after, read_at)) {
        Ok(bytes) => Reply::own(200, None, Bytes::from(bytes)),
        Err(error) => {
            let addr = state.board.borrow().own_announcement().peer;
            let error = error.to_string();
            event::emit(&Event::NeighbourUnreachable { addr, error });
            Reply::refused(Refusal::Starting)
        }
    }
}

fn snapshot(state: &State, after: u64, read_at: Instant) -> Snapshot {
    let now = Instant::now();
    let changes = state.replica().changes(after);
    let is_whole = changes.is_none();
    let rejoin = state
        .rejoin_until()
        .map(|until| until.saturating_duration_since(now));
    Snapshot {
        revision: state.revision(),
        items: changes.unwrap_or_else(|| state.replica().all()),
        is_complete: is_whole,
        age_ms: whole_ms(now.duration_since(read_at)),
        query_age_ms: whole_ms(now.duration_since(state.complete_at().unwrap_or(read_at))),
        rejoin_ms: whole_ms(rejoin.unwrap_or_default()),
    }
}

fn whole_ms(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Asks the neighbour at `addr` for what changed after `revision`, for at most `limit`.
///
/// # Errors
///
/// Says what failed.
pub async fn fetch(addr: SocketAddr, revision: u64, limit: Duration) -> Result<Snapshot, String> {
    let fetched = timeout(limit, exchange(addr, revision)).await;
    fetched.map_err(|_| "no answer in time".to_owned())?
}

async fn exchange(addr: SocketAddr, revision: u64) -> Result<Snapshot, String> {
    let text = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect(addr).await.map_err(text)?;
    let target = format!("{PATH}{revision}");
    let head = format!("GET {target} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).await.map_err(text)?;
    let mut buffer = BytesMut::new();
    let mut body = None;
    loop {
        if stream.read_buf(&mut buffer).await.map_err(text)? == 0 {
            return Err("answer cut short".to_owned());
        }
        if body.is_none() {
            body = collector(&mut buffer)?;
        }
        if let Some(body) = &mut body {
            body.take(&mut buffer)
                .map_err(|_| "unusable body".to_owned())?;
        }
        if let Some(body) = body.take_if(|body| body.is_whole()) {
            let snapshot = postcard::from_bytes(&body.into_body());
            return snapshot.map_err(|error| error.to_string());
        }
    }
}

fn collector(buffer: &mut BytesMut) -> Result<Option<Collector>, String> {
    let head = Answer::take(buffer, MAX_HEAD_BYTES);
    let Some(head) = head.map_err(|_| "unusable head".to_owned())? else {
        return Ok(None);
    };
    if head.status != 200 {
        return Err(format!("status {}", head.status));
    }
    let framing = head
        .framing(false)
        .map_err(|_| "ambiguous framing".to_owned())?;
    let collector = Collector::new(framing, MAX_BYTES);
    collector.map(Some).map_err(|_| "too large".to_owned())
}
