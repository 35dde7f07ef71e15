//! Extraction and removal of the key that a caller presents.
//!
//! A key may be given in the header `x-workspace-key`, as a bearer token in `authorization`, or in
//! the query parameter `workspace_key`. It is removed from all of them before the request is
//! processed further. Any other header that contains a key is removed too. A request whose target
//! still contains a key is refused, since removing it there would change the target.

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

/// Maximum number of percent-decoding rounds after which a key is still detected.
const MAX_DECODE_ROUNDS: usize = 4;

/// The key or keys that a caller presented.
#[derive(Clone, PartialEq, Eq)]
pub enum Presented {
    /// No key.
    Nothing,
    /// One key, possibly given more than once.
    Key(Vec<u8>),
    /// Different keys.
    Several,
}

/// Removes every key from the headers and target of a request and returns the presented key.
///
/// # Errors
///
/// Fails if the target contains a key outside the query parameter.
pub fn take_key(parts: &mut Parts) -> Result<Presented, Refusal> {
    let mut keys = take_headers(&mut parts.headers);
    keys.extend(take_parameter(&mut parts.uri));
    keys.sort_unstable();
    keys.dedup();
    remove_key_headers(&mut parts.headers, &keys);
    let target = parts.uri.path_and_query().map_or("", PathAndQuery::as_str);
    if contains_key(target.as_bytes(), &keys) {
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

/// Removes every header that contains a key.
fn remove_key_headers(headers: &mut HeaderMap, keys: &[Vec<u8>]) {
    let matches = |name: &HeaderName, value: &[u8]| {
        contains_key(value, keys) || contains_key(name.as_str().as_bytes(), keys)
    };
    let named: Vec<HeaderName> = headers
        .iter()
        .filter(|(name, value)| matches(name, value.as_bytes()))
        .map(|(name, _)| name.clone())
        .collect();
    for name in named {
        headers.remove(name);
    }
}

/// Returns whether `text` contains one of `keys` or any text in the format of a key, plain or
/// percent-encoded.
fn contains_key(text: &[u8], keys: &[Vec<u8>]) -> bool {
    let shown = |text: &[u8]| {
        let is_in =
            |key: &Vec<u8>| !key.is_empty() && text.windows(key.len()).any(|part| part == key);
        Token::is_contained_in(text) || keys.iter().any(is_in)
    };
    shown(text) || (text.contains(&b'%') && shown(&decode_fully(text)))
}

fn decode_fully(text: &[u8]) -> Vec<u8> {
    let mut decoded = text.to_vec();
    for _ in 0..MAX_DECODE_ROUNDS {
        if !decoded.contains(&b'%') {
            break;
        }
        decoded = decode(&decoded);
    }
    decoded
}
