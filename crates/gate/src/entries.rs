//! Answers to callers that ask which entry VM to use.

use std::net::{IpAddr, SocketAddr};

use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use text::Text;
use wire::view::{Entry, MemberState};

use crate::refusal::full;
use crate::snapshot::Snapshot;
use crate::upstream::Body;

/// Path on which look-ups are answered.
pub const PATH: &str = "/.well-known/teaseldoor/entry";

#[derive(Debug, PartialEq, Eq, Serialize)]
struct Answer<'a> {
    ttl_ms: u64,
    entries: Vec<Choice<'a>>,
}

#[derive(Debug, PartialEq, Eq, Serialize)]
struct Choice<'a> {
    addr: SocketAddr,
    zone: &'a str,
}

/// Answers a look-up for the caller at `client`, nearest entry VMs first. The VM `leaving` is not
/// in the answer.
pub fn answer(
    snapshot: &Snapshot,
    own_zone: &str,
    leaving: Option<&str>,
    client: IpAddr,
) -> Response<Body> {
    let Some(compiled) = &snapshot.compiled else {
        let mut response = Response::new(full(Vec::new()));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return response;
    };
    let text = &compiled.text;
    let zone = text.nearest_zone(client).unwrap_or(own_zone);
    let answer = Answer {
        ttl_ms: text.steering.lookup_ttl_ms,
        entries: choices(text, &snapshot.entries, zone, leaving),
    };
    let json = serde_json::to_vec(&answer).unwrap_or_default();
    let mut response = Response::new(full(json));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn choices<'a>(
    text: &Text,
    entries: &'a [Entry],
    zone: &str,
    leaving: Option<&str>,
) -> Vec<Choice<'a>> {
    let drained = |entry: &Entry| text.zone(&entry.zone).is_some_and(|zone| zone.drain);
    let stays =
        |entry: &Entry| entry.state == MemberState::Live && leaving != Some(entry.name.as_str());
    let usable = |entry: &&Entry| stays(entry) && !drained(entry);
    let mut live: Vec<&Entry> = entries.iter().filter(usable).collect();
    live.sort_by_key(|entry| text.distance(zone, &entry.zone));
    live.into_iter()
        .map(|entry| Choice {
            addr: entry.gate,
            zone: &entry.zone,
        })
        .collect()
}
