//! State for entry VMs that cannot read the store themselves.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::answer::{Refusal, Reply};
use crate::body::Collector;
use crate::head::{Answer, Request};
use crate::state::State;
use crate::store::Raw;

/// Path of the state service.
const PATH: &str = "/state";

/// Longest time that a neighbour may take.
const CALL: Duration = Duration::from_millis(800);

/// Largest answer, in bytes.
const MAX_BYTES: u64 = 8 << 20;

/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 4 << 10;

/// The store's keys as an entry VM knows them.
#[derive(Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// Store revision up to which changes are known.
    pub revision: u64,
    /// Keys that an entry VM uses.
    pub items: Vec<Raw>,
}

/// Answers a neighbour.
#[must_use]
pub fn answer(state: &State, head: &Request) -> Reply {
    if &head.target[..] != PATH.as_bytes() {
        return Reply::refused(Refusal::NoRoute);
    }
    let snapshot = Snapshot {
        revision: state.revision(),
        items: state.raw(),
    };
    match postcard::to_stdvec(&snapshot) {
        Ok(bytes) if snapshot.revision > 0 => Reply::own(200, None, Bytes::from(bytes)),
        Ok(_) | Err(_) => Reply::refused(Refusal::Starting),
    }
}

/// Asks the neighbour at `addr` for its state.
///
/// # Errors
///
/// Says what failed.
pub async fn fetch(addr: SocketAddr) -> Result<Snapshot, String> {
    let fetched = timeout(CALL, exchange(addr)).await;
    fetched.map_err(|_| "no answer in time".to_owned())?
}

async fn exchange(addr: SocketAddr) -> Result<Snapshot, String> {
    let text = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect(addr).await.map_err(text)?;
    let request = format!("GET {PATH} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.map_err(text)?;
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
            body.take(&mut buffer).map_err(|_| "unusable body".to_owned())?;
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
    let framing = head.framing(false).map_err(|_| "ambiguous framing".to_owned())?;
    let collector = Collector::new(framing, MAX_BYTES);
    collector.map(Some).map_err(|_| "too large".to_owned())
}
