//! The calls of the store.

use std::io::{self, Read as _};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use rouille::{Request, Response, ResponseBody};
use serde_json::{Value, json};

use super::keys::{Change, Conflict, Item, Keys};
use super::{Alias, Fault};
use crate::listener::Connections;

/// Most keys of a page; the users name about 500, and a small one makes tests turn pages.
const PAGE: usize = 3;

/// Size of an endless answer, in bytes: several times the memory of an entry VM.
const ENDLESS_BYTES: u64 = 1 << 30;

/// Header of all answers that names the store's era.
const ERA: &str = "Store-Era";

/// Answers `request`.
pub fn answer(
    keys: &Keys,
    request: &Request,
    fault: Fault,
    aliases: &[Alias],
    connections: &Connections,
) -> Response {
    match fault {
        Fault::None => serve(keys, request, aliases),
        Fault::Refuse(status) => in_era(Response::text("").with_status_code(status), keys.era()),
        Fault::Reset => {
            connections.close(*request.remote_addr());
            Response::text("")
        }
        Fault::LoseAnswers => {
            let answer = serve(keys, request, aliases);
            connections.close(*request.remote_addr());
            answer
        }
        Fault::Endless => endless(),
    }
}

/// Returns an answer with a body in chunks that is larger than any caller can take.
fn endless() -> Response {
    let bytes = io::repeat(b' ').take(ENDLESS_BYTES);
    Response {
        data: ResponseBody::from_reader(bytes),
        ..Response::text("")
    }
}

/// Adds the era in which the answer was given.
fn in_era(answer: Response, era: Option<u64>) -> Response {
    match era {
        Some(era) => answer.with_unique_header(ERA, era.to_string()),
        None => answer,
    }
}

fn serve(keys: &Keys, request: &Request, aliases: &[Alias]) -> Response {
    let parameter = |name: &str| request.get_param(name).unwrap_or_default();
    let number = |name: &str| parameter(name).parse::<u64>().unwrap_or_default();
    // A restore while one of the other calls is served may be named one answer late.
    let era = keys.era();
    let answer = match (request.method(), request.url().as_str()) {
        ("GET", "/-/kv-key") => key(keys, &parameter("key"), aliases),
        ("GET", "/-/kv-range") => {
            return range(keys, &parameter("prefix"), &parameter("after"), aliases);
        }
        ("GET", "/-/kv-watch") => {
            let wait = Duration::from_millis(number("wait_ms"));
            return watch(keys, &parameter("prefix"), number("after"), wait, aliases);
        }
        ("POST", "/-/kv-txn") => return transact(keys, &body(request), aliases),
        ("POST", "/-/kv-lease") => grant(keys, &body(request)),
        ("POST", url) if url.starts_with("/-/kv-keep/") => renew(keys, url),
        ("DELETE", url) if url.starts_with("/-/kv-lease-end/") => end(keys, url),
        _ => status(404),
    };
    in_era(answer, era)
}

fn status(status: u16) -> Response {
    Response::json(&json!({})).with_status_code(status)
}

fn body(request: &Request) -> Value {
    let mut text = String::new();
    let read = request
        .data()
        .map(|mut data| data.read_to_string(&mut text));
    match read {
        Some(Ok(_)) => serde_json::from_str(&text).unwrap_or_default(),
        _ => Value::Null,
    }
}

fn item(item: &Item, aliases: &[Alias]) -> Value {
    json!({
        "key": item.key,
        "value": STANDARD.encode(aliased(&item.value, aliases)),
        "revision": item.revision,
        "created": item.created,
        "lease": item.lease,
    })
}

/// Returns `value` with the aliases of the addresses in it.
fn aliased(value: &[u8], aliases: &[Alias]) -> Vec<u8> {
    let Ok(text) = std::str::from_utf8(value) else {
        return value.to_vec();
    };
    let replace = |text: String, alias: &Alias| {
        text.replace(&alias.addr.to_string(), &alias.alias.to_string())
    };
    aliases.iter().fold(text.to_owned(), replace).into_bytes()
}

fn key(keys: &Keys, name: &str, aliases: &[Alias]) -> Response {
    let (found, revision) = keys.get(name);
    let Some(found) = found else {
        return status(404);
    };
    let mut found = item(&found, aliases);
    found["as_of"] = json!(revision);
    Response::json(&found)
}

fn range(keys: &Keys, prefix: &str, after: &str, aliases: &[Alias]) -> Response {
    let (items, has_more, revision, era) = keys.range(prefix, after, PAGE);
    let items: Vec<Value> = items.iter().map(|found| item(found, aliases)).collect();
    let page = json!({ "items": items, "has_more": has_more, "as_of": revision });
    in_era(Response::json(&page), era)
}

fn watch(keys: &Keys, prefix: &str, after: u64, wait: Duration, aliases: &[Alias]) -> Response {
    let (watched, era) = keys.watch(prefix, after, wait);
    let Some((changes, revision)) = watched else {
        return in_era(status(410), era);
    };
    let event = |change: &Change| match change {
        Change::Put(put) => item(put, aliases),
        Change::Removed { key, revision } => {
            json!({ "key": key, "revision": revision, "removed": true })
        }
    };
    let events: Vec<Value> = changes.iter().map(event).collect();
    let batch = json!({ "events": events, "as_of": revision });
    in_era(Response::json(&batch), era)
}

fn transact(keys: &Keys, body: &Value, aliases: &[Alias]) -> Response {
    let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let name = |row: &Value| row["key"].as_str().unwrap_or_default().to_owned();
    let expected = rows("expected_rev");
    let expected = expected
        .iter()
        .map(|row| (name(row), row["revision"].as_u64().unwrap_or_default()));
    let expected: Vec<(String, u64)> = expected.collect();
    let puts = rows("puts");
    let puts = puts.iter().map(|row| {
        let value = STANDARD.decode(row["value"].as_str().unwrap_or_default());
        (
            name(row),
            value.unwrap_or_default(),
            row["lease"].as_u64().unwrap_or_default(),
        )
    });
    let puts: Vec<(String, Vec<u8>, u64)> = puts.collect();
    let removed = rows("remove");
    let removed: Vec<String> = removed
        .iter()
        .filter_map(|key| key.as_str().map(str::to_owned))
        .collect();
    let (done, era) = keys.transact(&expected, &puts, &removed);
    let answer = match done {
        Ok(revision) => Response::json(&json!({ "revision": revision })),
        Err(Conflict::Revision) => {
            let current = expected.iter().filter_map(|(key, _)| keys.get(key).0);
            let items: Vec<Value> = current.map(|found| item(&found, aliases)).collect();
            Response::json(&json!({ "items": items })).with_status_code(412)
        }
        Err(Conflict::Lease) => status(404),
    };
    in_era(answer, era)
}

fn grant(keys: &Keys, body: &Value) -> Response {
    let ttl = body["ttl_time"].as_str().unwrap_or_default();
    let Some(ttl_ms) = ttl.strip_suffix("ms").and_then(|ms| ms.parse().ok()) else {
        return status(400);
    };
    let lease = keys.grant(Duration::from_millis(ttl_ms));
    Response::json(&json!({ "lease": lease, "ttl_time": ttl }))
}

fn lease_of(url: &str) -> u64 {
    let number = url.rsplit('/').next().unwrap_or_default();
    number.parse().unwrap_or_default()
}

fn renew(keys: &Keys, url: &str) -> Response {
    match keys.renew(lease_of(url)) {
        Some(ttl) => Response::json(&json!({ "ttl_time": format!("{}ms", ttl.as_millis()) })),
        None => status(404),
    }
}

fn end(keys: &Keys, url: &str) -> Response {
    if keys.end(lease_of(url)) {
        status(200)
    } else {
        status(404)
    }
}
