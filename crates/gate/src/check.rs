//! Validation of a request that needs no knowledge of its caller.

use http::header::{CONTENT_LENGTH, EXPECT, HOST, UPGRADE};
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Uri, Version};

use crate::framing::Framing;
use crate::refusal::Refusal;

/// Maximum number of percent-decoding rounds applied when a path is checked.
const MAX_DECODE_ROUNDS: usize = 3;

/// Validates a request and reduces its target to path and query.
///
/// # Errors
///
/// Returns the reason if the request is refused.
pub fn validate(parts: &mut Parts, framing: Framing) -> Result<(), Refusal> {
    if framing == Framing::Ambiguous {
        return Err(Refusal::BadRequest);
    }
    if parts.version != Version::HTTP_11 {
        return Err(Refusal::HttpVersion);
    }
    if parts.method == Method::CONNECT || parts.headers.contains_key(UPGRADE) {
        return Err(Refusal::Unsupported);
    }
    host(&parts.uri, &parts.headers)?;
    expectation(&parts.headers)?;
    let target = target(&parts.uri)?;
    parts.uri = Uri::from(target);
    Ok(())
}

/// Returns the `Content-Length`, or zero if there is none.
pub fn content_length(headers: &HeaderMap) -> u64 {
    let length = headers.get(CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse().ok());
    length.unwrap_or(0)
}

/// Requires exactly one `Host` header that matches the authority of an absolute target.
fn host(uri: &Uri, headers: &HeaderMap) -> Result<(), Refusal> {
    let mut hosts = headers.get_all(HOST).iter();
    let (Some(host), None) = (hosts.next(), hosts.next()) else {
        return Err(Refusal::BadRequest);
    };
    let Some(authority) = uri.authority() else {
        return Ok(());
    };
    let same = host
        .as_bytes()
        .eq_ignore_ascii_case(authority.as_str().as_bytes());
    same.then_some(()).ok_or(Refusal::BadRequest)
}

fn expectation(headers: &HeaderMap) -> Result<(), Refusal> {
    let met = |value: &[u8]| value.eq_ignore_ascii_case(b"100-continue");
    let mut expected = headers.get_all(EXPECT).iter();
    if expected.all(|value| met(value.as_bytes())) {
        Ok(())
    } else {
        Err(Refusal::ExpectationFailed)
    }
}

/// Returns path and query. Fails if the path contains `..` segments, which a backend server could
/// resolve to another path.
fn target(uri: &Uri) -> Result<PathAndQuery, Refusal> {
    let target = uri.path_and_query().ok_or(Refusal::BadRequest)?;
    let mut path = target.path().as_bytes().to_vec();
    for _ in 0..MAX_DECODE_ROUNDS {
        if has_parent_segment(&path) {
            return Err(Refusal::BadRequest);
        }
        path = decode(&path);
    }
    Ok(target.clone())
}

fn has_parent_segment(path: &[u8]) -> bool {
    let separates = |byte: &u8| matches!(byte, b'/' | b'\\');
    let mut segments = path.split(separates);
    // Path parameters are not part of the segment name.
    let name = |segment: &'_ [u8]| segment.split(|byte| *byte == b';').next() == Some(b"..");
    segments.any(name)
}

/// Decodes percent-encoded bytes once. Other percent signs are kept.
pub fn decode(text: &[u8]) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text;
    while let Some((&first, after)) = rest.split_first() {
        let encoded = (first == b'%').then(|| after.first_chunk::<2>()).flatten();
        if let Some(byte) = encoded.copied().and_then(hex_byte) {
            decoded.push(byte);
            rest = &after[2..];
        } else {
            decoded.push(first);
            rest = after;
        }
    }
    decoded
}

fn hex_byte(digits: [u8; 2]) -> Option<u8> {
    let digit = |byte: u8| char::from(byte).to_digit(16);
    let value = digit(digits[0])? * 16 + digit(digits[1])?;
    u8::try_from(value).ok()
}
