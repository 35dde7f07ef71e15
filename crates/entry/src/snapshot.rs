//! Snapshots of the store, served to and fetched from other entry VMs.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use event::Event;
use fleet::parts::{Deferred, LARGE_BYTES};
use fleet::restore::{Extent, Position};
use serde::{Deserialize, Serialize};

use crate::bulk;
use crate::exchange::Connection;
use crate::head::{Fields, Request};
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

/// Header of a request: its sender takes the names of a large value's parts for the value. Header of a response:
/// large values follow the snapshot in this form.
const PARTS: &str = "Teaseldoor-Parts";

/// Age from which on a VM's state is stale, in milliseconds: a pause and a watch of a leader, and a slow
/// response.
pub const STALE_MS: u64 = 1_000;

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
    /// Large values that the snapshot leaves out.
    pub deferred: Vec<Deferred>,
    /// Who sent it.
    pub from: SocketAddr,
    /// Era of the store that it is of; absent if the sender names none.
    pub era: Option<u64>,
    /// Time for which the sender has followed the store without a gap, in milliseconds; absent if it does
    /// not say.
    pub steady_ms: Option<u64>,
}

/// Answers the request of another entry VM.
#[must_use]
pub fn answer(state: &State, head: &Request) -> Reply {
    if let Some(ids) = bulk::requested(head) {
        return bulk::answer(state, ids);
    }
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
    let takes_parts = head.fields.get(PARTS).is_some();
    let mut snapshot = snapshot(state, known, after, read_at);
    // Earlier versions take values whole, so they have to ask a VM that has them.
    if !takes_parts && state.bulk.values.borrow().is_fetching() {
        return Reply::refused(Refusal::Starting);
    }
    let deferred = takes_parts.then(|| defer(state, &mut snapshot, known, after));
    let encoded = postcard::to_stdvec(&snapshot).and_then(|bytes| match &deferred {
        Some(deferred) => postcard::to_extend(deferred, bytes),
        None => Ok(bytes),
    });
    match encoded {
        Ok(bytes) => {
            let mut reply = Reply::with_status(200, None, Bytes::from(bytes));
            if takes_parts {
                reply.add_header(PARTS, "1");
            }
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

/// Takes large values out of a snapshot, and returns their parts, with those of values that are still being
/// fetched.
fn defer(state: &State, snapshot: &mut Snapshot, era: Option<u64>, after: u64) -> Vec<Deferred> {
    let values = state.bulk.values.borrow();
    if state.eras().extent(era, after) == Extent::Nothing {
        return Vec::new();
    }
    let is_complete = snapshot.is_complete;
    let pending = values.deferred();
    let pending = pending.filter(|pending| is_complete || pending.revision > after);
    let mut deferred: Vec<Deferred> = pending.cloned().collect();
    let is_large = |record: &Record| {
        let bytes = record.value.as_ref().map_or(0, Bytes::len);
        bytes >= LARGE_BYTES || values.is_pending(&record.key)
    };
    for record in snapshot.items.extract_if(.., |record| is_large(record)) {
        let is_outdated = values
            .deferred()
            .any(|pending| pending.key == record.key && pending.revision >= record.revision);
        let Some(value) = record.value.as_ref().filter(|_| !is_outdated) else {
            continue;
        };
        deferred.retain(|pending| pending.key != record.key);
        deferred.push(Deferred {
            manifest: values.manifest(value),
            key: record.key,
            revision: record.revision,
        });
    }
    deferred
}

/// Returns `span` in whole milliseconds.
#[must_use]
pub fn to_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Requests the changes after `known` from the entry VM at `addr`; each step may take up to `limit`.
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
    let fetched = exchange(addr, known, limit, &progress).await;
    let age_ms = fetched.as_ref().ok().map(|fetched| fetched.snapshot.age_ms);
    state.note_transfer(Purpose::Snapshot, &addr.to_string(), &progress, age_ms);
    fetched
}

async fn exchange(
    addr: SocketAddr,
    known: Position,
    limit: Duration,
    progress: &Progress,
) -> Result<Fetched, String> {
    let mut connection = Connection::open(addr, limit).await?;
    let Position { era, revision } = known;
    let era = if era > 0 {
        format!("{ERA}: {era}\r\n")
    } else {
        String::new()
    };
    let fields = format!("{era}{PARTS}: 1\r\nConnection: close\r\n");
    let target = format!("{PATH}{revision}");
    let (head, body) = connection.get(&target, &fields, progress).await?;
    let text = |error: postcard::Error| error.to_string();
    let (snapshot, rest) = postcard::take_from_bytes(&body).map_err(text)?;
    let deferred = match head.fields.get(PARTS) {
        Some(_) => postcard::from_bytes(rest).map_err(text)?,
        None => Vec::new(),
    };
    Ok(Fetched {
        snapshot,
        deferred,
        from: addr,
        era: era_of(&head.fields),
        steady_ms: number(&head.fields, STEADY),
    })
}

#[cfg(test)]
mod tests;
