//! The key that a caller presents, and its removal.
//!
//! A key may stand in the header `x-workspace-key`, as a bearer token in `authorization`, or in
//! the query parameter `workspace_key`. It is removed from all of them before anything else sees
//! the request. Any other header that shows a key is removed too, and a request whose target
//! still shows one is refused, since it could not be passed on unchanged.

use http::header::{AUTHORIZATION, HeaderName};
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{HeaderMap, Uri};
use key::Token;

use crate::check::decode;
use crate::refusal::Refusal;

/// Header in which a caller presents its key.
const KEY_HEADER: HeaderName = HeaderName::from_static("x-workspace-key");

/// Query parameter in which a caller may present its key.
const KEY_PARAMETER: &[u8] = b"workspace_key";

/// Scheme of the `authorization` header that carries a key.
const BEARER: &str = "bearer ";

/// Most rounds of percent-decoding after which a key is still recognized.
const MAX_DECODINGS: usize = 4;

/// What a caller presented.
#[derive(Clone, PartialEq, Eq)]
pub enum Presented {
    /// No key.
    Nothing,
    /// One key, possibly in several places.
    Key(Vec<u8>),
    /// Different keys.
    Several,
}

/// Removes every key from a request's headers and target and returns what was presented.
///
/// # Errors
///
/// Fails if the target shows a key in another place than the parameter.
pub fn take(parts: &mut Parts) -> Result<Presented, Refusal> {
    let mut keys = take_headers(&mut parts.headers);
    keys.extend(take_parameter(&mut parts.uri));
    keys.sort_unstable();
    keys.dedup();
    scrub(&mut parts.headers, &keys);
    let target = parts.uri.path_and_query().map_or("", PathAndQuery::as_str);
    if shows_key(target.as_bytes(), &keys) {
        return Err(Refusal::KeyMisplaced);
    }
    Ok(match keys.len() {
        0 => Presented::Nothing,
        1 => Presented::Key(keys.swap_remove(0)),
        _ => Presented::Several,
    })
}

fn take_headers(headers: &mut HeaderMap) -> Vec<Vec<u8>> {
    let named = headers.get_all(KEY_HEADER).iter();
    let mut keys: Vec<Vec<u8>> = named
        .map(|value| value.as_bytes().trim_ascii().to_vec())
        .collect();
    keys.extend(headers.get_all(AUTHORIZATION).iter().filter_map(|value| {
        let text = value.as_bytes();
        let scheme = text.get(..BEARER.len())?;
        let bearer = scheme.eq_ignore_ascii_case(BEARER.as_bytes());
        bearer.then(|| text[BEARER.len()..].trim_ascii().to_vec())
    }));
    headers.remove(KEY_HEADER);
    headers.remove(AUTHORIZATION);
    keys
}

fn take_parameter(uri: &mut Uri) -> Vec<Vec<u8>> {
    let Some(query) = uri.query() else {
        return Vec::new();
    };
    let name = |pair: &str| pair.split('=').next().unwrap_or_default().to_owned();
    let is_key = |pair: &&str| decode_fully(name(pair).as_bytes()) == KEY_PARAMETER;
    let (keys, rest): (Vec<&str>, Vec<&str>) = query.split('&').partition(is_key);
    if keys.is_empty() {
        return Vec::new();
    }
    let value = |pair: &str| {
        let value = pair.split_once('=').map_or("", |(_, value)| value);
        decode_fully(value.as_bytes())
    };
    let keys = keys.into_iter().map(value).collect();
    let target = if rest.is_empty() {
        uri.path().to_owned()
    } else {
        format!("{}?{}", uri.path(), rest.join("&"))
    };
    let target = target.parse::<PathAndQuery>();
    *uri = target.map_or_else(|_| Uri::default(), Uri::from);
    keys
}

/// Removes every header that shows a key.
fn scrub(headers: &mut HeaderMap, keys: &[Vec<u8>]) {
    let shows = |name: &HeaderName, value: &[u8]| {
        shows_key(value, keys) || shows_key(name.as_str().as_bytes(), keys)
    };
    let named: Vec<HeaderName> = headers
        .iter()
        .filter(|(name, value)| shows(name, value.as_bytes()))
        .map(|(name, _)| name.clone())
        .collect();
    for name in named {
        headers.remove(name);
    }
}

/// Returns whether `text` shows one of `keys`, or anything of a key's form, even if
/// percent-encoded.
fn shows_key(text: &[u8], keys: &[Vec<u8>]) -> bool {
    let shown = |text: &[u8]| {
        let is_in =
            |key: &Vec<u8>| !key.is_empty() && text.windows(key.len()).any(|part| part == key);
        Token::is_contained_in(text) || keys.iter().any(is_in)
    };
    shown(text) || (text.contains(&b'%') && shown(&decode_fully(text)))
}

fn decode_fully(text: &[u8]) -> Vec<u8> {
    let mut decoded = text.to_vec();
    for _ in 0..MAX_DECODINGS {
        if !decoded.contains(&b'%') {
            break;
        }
        decoded = decode(&decoded);
    }
    decoded
}
