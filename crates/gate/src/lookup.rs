//! Lookup responses: which entry VMs a caller should use.

use std::net::{IpAddr, SocketAddr};

use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use text::Text;
use wire::view::{Entry, MemberState};

use crate::refusal::full_body;
use crate::snapshot::Snapshot;
use crate::upstream::Body;

/// Request path of lookups.
pub const PATH: &str = "/.well-known/teaseldoor/entry";

#[derive(Debug, PartialEq, Eq, Serialize)]
struct Entries<'a> {
    ttl_ms: u64,
    entries: Vec<Candidate<'a>>,
}

#[derive(Debug, PartialEq, Eq, Serialize)]
struct Candidate<'a> {
    addr: SocketAddr,
    zone: &'a str,
}

/// Builds the lookup response for the caller at `client`, with the nearest entry VMs first. The VM
/// `leaving` is omitted.
pub fn response(
    snapshot: &Snapshot,
    own_zone: &str,
    leaving: Option<&str>,
    client: IpAddr,
) -> Response<Body> {
    let Some(compiled) = &snapshot.compiled else {
        let mut response = Response::new(full_body(Vec::new()));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return response;
    };
    let text = &compiled.text;
    let zone = text.nearest_zone(client).unwrap_or(own_zone);
    let body = Entries {
        ttl_ms: text.steering.lookup_ttl_ms,
        entries: candidates(text, &snapshot.entries, zone, leaving),
    };
    let json = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = Response::new(full_body(json));
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

fn candidates<'a>(
    text: &Text,
    entries: &'a [Entry],
    zone: &str,
    leaving: Option<&str>,
) -> Vec<Candidate<'a>> {
    let drained = |entry: &Entry| text.zone(&entry.zone).is_some_and(|zone| zone.drain);
    let stays =
        |entry: &Entry| entry.state == MemberState::Live && leaving != Some(entry.name.as_str());
    let usable = |entry: &&Entry| stays(entry) && !drained(entry);
    let mut live: Vec<&Entry> = entries.iter().filter(usable).collect();
    live.sort_by_key(|entry| text.distance(zone, &entry.zone));
    live.into_iter()
        .map(|entry| Candidate {
            addr: entry.gate,
            zone: &entry.zone,
        })
        .collect()
}
