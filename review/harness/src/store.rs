//! Stand-in for the platform's store: listings, watches and writes without conditions.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::base64;
use crate::http::{Head, Reader};
use crate::record::Record;

/// Header that names how often the store was restored from an older copy, here never.
const ERA: &str = "Store-Era: 0";

/// Items in a page of a listing.
const PAGE: usize = 500;

#[derive(Debug, Clone)]
struct Item {
    key: String,
    /// Absent if the key was removed.
    value: Option<Vec<u8>>,
    revision: u64,
    created: u64,
}

impl Item {
    fn render(&self) -> String {
        let (key, revision) = (&self.key, self.revision);
        match &self.value {
            Some(value) => format!(
                r#"{{"key":"{key}","value":"{}","revision":{revision},"created":{},"lease":0}}"#,
                base64::encode(value),
                self.created
            ),
            None => format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#),
        }
    }
}

#[derive(Debug, Default)]
struct Data {
    items: BTreeMap<String, Item>,
    events: Vec<Item>,
    revision: u64,
}

/// The store.
#[derive(Debug, Clone)]
pub struct Store {
    pub addr: SocketAddr,
    data: Arc<(Mutex<Data>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn start(ip: Ipv4Addr, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self {
            addr: listener.local_addr()?,
            data: Arc::default(),
            record: record.clone(),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a key, as the operator or a backend server does.
    pub fn put(&self, key: &str, value: impl Into<Vec<u8>>) {
        self.change(key, Some(value.into()));
    }

    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<Vec<u8>>) -> u64 {
        let mut data = self.data.0.lock().unwrap_or_else(PoisonError::into_inner);
        data.revision += 1;
        let revision = data.revision;
        let created = data.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            key: key.to_owned(),
            value,
            revision,
            created,
        };
        if item.value.is_some() {
            data.items.insert(key.to_owned(), item.clone());
        } else {
            data.items.remove(key);
        }
        data.events.push(item);
        self.data.1.notify_all();
        revision
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(head) = reader.head() {
            let Ok(body) = reader.body(head.length()) else {
                return;
            };
            // The time that a call takes at the store.
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&head, &body);
            let length = body.len();
            let text = format!(
                "HTTP/1.1 {status} X\r\n{ERA}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
            );
            if reader.stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (u16, String) {
        let target = head.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let value = pairs.find(|(key, _)| *key == name).map(|(_, value)| value);
            value.unwrap_or_default().replace("%2F", "/")
        };
        match (head.word(0), path) {
            ("GET", "/-/kv-range") => self.list(&parameter("prefix"), &parameter("after")),
            ("GET", "/-/kv-watch") => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait_ms = parameter("wait_ms").parse().unwrap_or(0);
                self.watch(&parameter("prefix"), after, Duration::from_millis(wait_ms))
            }
            ("POST", "/-/kv-txn") => self.write(&String::from_utf8_lossy(body)),
            _ => (404, "{}".to_owned()),
        }
    }

    fn list(&self, prefix: &str, after: &str) -> (u16, String) {
        let data = self.data.0.lock().unwrap_or_else(PoisonError::into_inner);
        let found = data.items.values();
        let mut found = found.filter(|item| item.key.starts_with(prefix) && *item.key > *after);
        let page: Vec<String> = found.by_ref().take(PAGE).map(Item::render).collect();
        let has_more = found.next().is_some();
        let (items, revision) = (page.join(","), data.revision);
        (
            200,
            format!(r#"{{"items":[{items}],"has_more":{has_more},"as_of":{revision}}}"#),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut data = self.data.0.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            let events = data.events.iter();
            let events =
                events.filter(|item| item.revision > after && item.key.starts_with(prefix));
            let events: Vec<String> = events.map(Item::render).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), data.revision);
                return (
                    200,
                    format!(r#"{{"events":[{events}],"as_of":{revision}}}"#),
                );
            }
            let waited = self.data.1.wait_timeout(data, left);
            data = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Applies a transaction. The entry VMs send no conditions, leases or removals.
    fn write(&self, body: &str) -> (u16, String) {
        let mut revision = 0;
        for put in body.split(r#"{"key":""#).skip(1) {
            let Some((key, rest)) = put.split_once('"') else {
                continue;
            };
            let value = rest
                .split_once(r#""value":""#)
                .and_then(|(_, value)| value.split_once('"'));
            let value = value
                .map(|(value, _)| base64::decode(value))
                .unwrap_or_default();
            revision = self.change(key, Some(value));
            self.record.note(format!("store: an entry VM wrote {key}"));
        }
        (200, format!(r#"{{"revision":{revision}}}"#))
    }
}
