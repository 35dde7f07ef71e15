//! Parameters of requests to the platform.

use std::time::{Duration, Instant};

use rouille::Request;

use super::body;
use super::count::Kind;
use super::kv::Scope;

/// Longest wait of a blocking query that names none.
const DEFAULT_WAIT_MS: u64 = 300_000;
/// A blocking query's parameters.
#[derive(Debug)]
pub struct Watch {
    /// Index that has to be exceeded.
    pub index: u64,
    /// When the query ends without a change.
    pub end: Instant,
}

/// The blocking query that `request` asks for, if any. Index 0 does not block.
pub fn watch_of(request: &Request) -> Option<Watch> {
    let index = request.get_param("index")?.parse().ok()?;
    if index == 0 {
        return None;
    }
    let wait = request
        .get_param("wait")
        .and_then(|wait| body::parse_duration(&wait));
    let wait = wait.unwrap_or(Duration::from_millis(DEFAULT_WAIT_MS));
    Some(Watch {
        index,
        end: Instant::now() + wait,
    })
}

/// The kind that a request is counted as, if it is counted.
pub fn kind_of(request: &Request, url: &str) -> Option<Kind> {
    if url.starts_with("/v1/session/") {
        return Some(Kind::Lease);
    }
    let reads = url.starts_with("/v1/kv/") || url.starts_with("/v1/health/");
    match request.method() {
        "GET" if reads && watch_of(request).is_some() => Some(Kind::Watch),
        "GET" if reads => Some(Kind::Read),
        "PUT" | "DELETE" if url.starts_with("/v1/kv/") => Some(Kind::Write),
        _ => None,
    }
}

/// The keys that a request names.
pub fn scope_of(request: &Request, key: &str) -> Scope {
    if has_parameter(request, "recurse") || has_parameter(request, "keys") {
        Scope::Prefix(key.to_owned())
    } else {
        Scope::Key(key.to_owned())
    }
}

/// Whether a request's query has a parameter, with or without a value.
pub fn has_parameter(request: &Request, name: &str) -> bool {
    let mut parameters = request.raw_query_string().split('&');
    parameters.any(|parameter| parameter.split('=').next() == Some(name))
}
