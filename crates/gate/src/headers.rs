//! Headers that the gate removes and sets.

use http::header::{
    CONNECTION, EXPECT, HOST, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue};

/// Header with the request's ID.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Header with which a backend server states that it did not run a request.
pub const SHED: HeaderName = HeaderName::from_static("x-backend-shed");

/// Value of [`SHED`] for a request that was not run.
pub const SHED_NOT_RUN: &str = "not-run";

/// Header with the workspace of a request, for backend servers.
const WORKSPACE: HeaderName = HeaderName::from_static("x-workspace");

/// Header with the time until the deadline in milliseconds, for backend servers.
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");

/// `Host` value sent to backend servers if the caller's value was removed.
const PLACEHOLDER_HOST: &str = "backend";

/// Hop-by-hop headers.
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes hop-by-hop headers, including those named in `Connection`.
pub fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Prepares a request's headers for backend servers.
pub fn prepare(headers: &mut HeaderMap, request: &str, workspace: Option<&str>) {
    strip(headers);
    headers.remove(EXPECT);
    headers.remove(WORKSPACE);
    headers.remove(SHED);
    // A `Host` header that contains a key has been removed, but backend servers require one.
    headers
        .entry(HOST)
        .or_insert(HeaderValue::from_static(PLACEHOLDER_HOST));
    set(headers, REQUEST_ID, request);
    if let Some(workspace) = workspace {
        set(headers, WORKSPACE, workspace);
    }
}

/// Sets the header with the time until the deadline.
pub fn set_deadline(headers: &mut HeaderMap, remaining_ms: u64) {
    headers.insert(DEADLINE, HeaderValue::from(remaining_ms));
}

/// Sets a header, unless `value` is not a valid header value.
pub fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
