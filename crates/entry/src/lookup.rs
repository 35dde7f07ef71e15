//! Lookups of entry VMs, readiness checks and the metrics page.

use std::net::SocketAddr;

use bytes::Bytes;

use crate::head::Request;
use crate::response::{Refusal, Reply};
use crate::state::State;

/// Time for which callers may cache the response to a lookup, in milliseconds.
const TTL_MS: u64 = 1_500;

/// Answers a lookup with the entry VMs that callers in a zone should use.
#[must_use]
pub fn answer(state: &State, head: &Request) -> Reply {
    let target = std::str::from_utf8(&head.target).unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    if path != state.names.lookup_path {
        return Reply::refused(Refusal::NoRoute);
    }
    let zone = parameter(query, state.names.lookup_zone).unwrap_or(&state.settings.zone);
    let region = parameter(query, state.names.lookup_region).unwrap_or(state.region_of(zone));
    let addrs = addresses(state, zone, region);
    if addrs.is_empty() {
        return Reply::refused(Refusal::Starting);
    }
    let ttl_ms = state
        .bounds()
        .lookup_ttl
        .as_millis()
        .min(u128::from(TTL_MS));
    let ttl_ms = u64::try_from(ttl_ms).unwrap_or(TTL_MS);
    let body = (state.names.render_lookup)(&addrs, ttl_ms);
    Reply::with_status(200, Some("application/json"), Bytes::from(body))
}

/// Answers a readiness check: whether callers may be sent to this VM.
#[must_use]
pub fn readiness(state: &State, head: &Request) -> Reply {
    let target = std::str::from_utf8(&head.target).unwrap_or_default();
    if target.split('?').next() != Some(state.names.ready_path) {
        return Reply::refused(Refusal::NoRoute);
    }
    if !state.is_ready() {
        return Reply::refused(Refusal::Starting);
    }
    Reply::with_status(200, None, Bytes::new())
}

/// Answers with the metrics.
#[must_use]
pub fn metrics(state: &State, head: &Request) -> Reply {
    if &head.target[..] != b"/metrics" {
        return Reply::refused(Refusal::NoRoute);
    }
    state.set_gauges();
    Reply::with_status(
        200,
        Some("text/plain; version=0.0.4"),
        Bytes::from(state.metrics.render()),
    )
}

/// Returns the addresses of the ready entry VMs in `zone`; if there are none, those in `region`; if
/// there are none, all.
fn addresses(state: &State, zone: &str, region: &str) -> Vec<SocketAddr> {
    let mut ready = state.ready_peers();
    if let Some(own) = state.settings.listen.callers.filter(|_| state.is_ready()) {
        ready.push((state.settings.zone.clone(), own));
    }
    let in_zone = |entry: &&(String, SocketAddr)| entry.0 == zone;
    let in_region = |entry: &&(String, SocketAddr)| state.region_of(&entry.0) == region;
    let mut chosen: Vec<SocketAddr> = ready.iter().filter(in_zone).map(|entry| entry.1).collect();
    if chosen.is_empty() {
        chosen = ready
            .iter()
            .filter(in_region)
            .map(|entry| entry.1)
            .collect();
    }
    if chosen.is_empty() {
        chosen = ready.iter().map(|entry| entry.1).collect();
    }
    chosen
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}
