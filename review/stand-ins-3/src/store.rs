//! The platform's store: keys, revisions, watches and transactions, as the protocol page has them.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, Head};
use crate::json::Json;

/// Number of items on a page.
const PAGE: usize = 500;

#[derive(Debug, Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
}

#[derive(Debug, Default)]
struct Keys {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in order: the revision, the key, and the item unless it was removed.
    events: Vec<(u64, String, Option<Item>)>,
}

/// The store.
#[derive(Debug, Default)]
pub struct Store {
    keys: Mutex<Keys>,
    changed: Condvar,
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, Keys> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes `key`.
    pub fn put(&self, key: &str, value: &str) {
        let mut keys = self.lock();
        keys.revision += 1;
        let revision = keys.revision;
        keys.put(key, value.as_bytes().to_vec(), revision);
        self.changed.notify_all();
    }

    /// Removes `key`.
    pub fn remove(&self, key: &str) {
        let mut keys = self.lock();
        if keys.items.contains_key(key) {
            keys.revision += 1;
            let revision = keys.revision;
            keys.remove(key, revision);
            self.changed.notify_all();
        }
    }

    /// Serves the store at `addr`.
    pub fn listen(self: &Arc<Self>, addr: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(addr)?;
        let store = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&store);
                thread::spawn(move || store.serve(Conn::new(stream)));
            }
        });
        Ok(())
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(head)) = conn.read_head() {
            let Ok(body) = conn.read_body(&head) else {
                return;
            };
            let (status, text) = self.answer(&head, &body);
            let length = text.len();
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{text}"
            );
            if conn.write(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (u16, String) {
        let target = head.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        match (head.word(0), path) {
            ("GET", "/-/kv-key") => self.lock().item(&parameter(query, "key")),
            ("GET", "/-/kv-range") => {
                let keys = self.lock();
                keys.range(&parameter(query, "prefix"), &parameter(query, "after"))
            }
            ("GET", "/-/kv-watch") => self.watch(query),
            ("POST", "/-/kv-txn") => self.transact(body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn watch(&self, query: &str) -> (u16, String) {
        let prefix = parameter(query, "prefix");
        let after: u64 = parameter(query, "after").parse().unwrap_or_default();
        let wait: u64 = parameter(query, "wait_ms").parse().unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(wait);
        let mut keys = self.lock();
        loop {
            if after > keys.revision {
                return (410, "{}".to_owned());
            }
            let events = keys.events_after(after, &prefix);
            let remaining = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || remaining.is_zero() {
                let as_of = keys.revision;
                let events = events.join(",");
                return (200, format!(r#"{{"events":[{events}],"as_of":{as_of}}}"#));
            }
            let waited = self.changed.wait_timeout(keys, remaining);
            keys = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(txn) = Json::parse(&String::from_utf8_lossy(body)) else {
            return (400, "{}".to_owned());
        };
        let rows = |name: &str| txn.get(name).map(Json::list).unwrap_or_default();
        let key = |row: &Json| {
            row.get("key")
                .map(Json::text)
                .unwrap_or_default()
                .to_owned()
        };
        let mut keys = self.lock();
        for row in rows("expected_rev") {
            let expected = row.get("revision").map(Json::number).unwrap_or_default();
            let known = keys.items.get(&key(row)).map_or(0, |item| item.revision);
            if known as f64 != expected {
                return (412, r#"{"items":[]}"#.to_owned());
            }
        }
        keys.revision += 1;
        let revision = keys.revision;
        for row in rows("puts") {
            let value = row.get("value").map(Json::text).unwrap_or_default();
            keys.put(&key(row), decode(value), revision);
        }
        for removed in rows("remove") {
            keys.remove(removed.text(), revision);
        }
        self.changed.notify_all();
        (200, format!(r#"{{"revision":{revision}}}"#))
    }
}

impl Keys {
    fn put(&mut self, key: &str, value: Vec<u8>, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str, revision: u64) {
        self.items.remove(key);
        self.events.push((revision, key.to_owned(), None));
    }

    fn item(&self, key: &str) -> (u16, String) {
        match self.items.get(key) {
            Some(item) => (200, render(key, item)),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let all = self.items.iter();
        let all = all.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = all.map(|(key, item)| render(key, item)).collect();
        let has_more = items.len() > PAGE;
        let items = items[..items.len().min(PAGE)].join(",");
        let as_of = self.revision;
        let page = format!(r#"{{"items":[{items}],"has_more":{has_more},"as_of":{as_of}}}"#);
        (200, page)
    }

    fn events_after(&self, after: u64, prefix: &str) -> Vec<String> {
        let first = self
            .events
            .partition_point(|(revision, ..)| *revision <= after);
        let events = self.events[first..].iter();
        let events = events.filter(|(_, key, _)| key.starts_with(prefix));
        let event = |(revision, key, item): &(u64, String, Option<Item>)| match item {
            Some(item) => render(key, item),
            None => format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#),
        };
        events.map(event).collect()
    }
}

fn render(key: &str, item: &Item) -> String {
    let value = encode(&item.value);
    let (revision, created) = (item.revision, item.created);
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":0}}"#
    )
}

/// Returns the parameter `name` of a query, with its escapes decoded.
fn parameter(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs
        .find(|(known, _)| *known == name)
        .map(|(_, value)| value);
    let mut bytes = value.unwrap_or_default().bytes();
    let mut decoded = Vec::new();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let digits = [bytes.next(), bytes.next()].map(Option::unwrap_or_default);
        let digits = String::from_utf8_lossy(&digits).into_owned();
        decoded.push(u8::from_str_radix(&digits, 16).unwrap_or_default());
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or_default());
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            if digit > chunk.len() {
                text.push('=');
            } else {
                let index = bits >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[index as usize]));
            }
        }
    }
    text
}

fn decode(text: &str) -> Vec<u8> {
    let digits = text.bytes().filter_map(|byte| {
        let mut known = DIGITS.iter();
        known.position(|digit| *digit == byte)
    });
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for digit in digits {
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count & 0xFF) as u8);
        }
    }
    bytes
}
