//! Stand-in of the platform's store: keys, ranges, watches and unconditional writes.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::base64;
use crate::http::{self, Message};

/// A change of a key; a key without a value was removed.
#[derive(Debug, Clone)]
struct Change {
    key: String,
    value: Option<String>,
    revision: u64,
}

/// Keys with their latest change, and all changes.
#[derive(Debug, Default)]
struct Keys {
    revision: u64,
    latest: BTreeMap<String, Change>,
    changes: Vec<Change>,
}

/// A store that is reached at an address.
#[derive(Debug, Clone)]
pub struct Store {
    /// Where it listens.
    pub addr: SocketAddr,
    keys: Arc<(Mutex<Keys>, Condvar)>,
}

impl Store {
    /// Starts a store without keys on a free port.
    pub fn start() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("address of the store");
        let store = Self {
            addr: listener.local_addr().expect("address of the store"),
            keys: Arc::default(),
        };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes `value` under `key`.
    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(base64::encode(value.as_bytes())));
    }

    /// Removes `key`.
    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<String>) {
        let (keys, changed) = &*self.keys;
        let mut keys = keys.lock().expect("keys");
        keys.revision += 1;
        let change = Change {
            key: key.to_owned(),
            value,
            revision: keys.revision,
        };
        keys.latest.insert(key.to_owned(), change.clone());
        keys.changes.push(change);
        changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = http::read(&mut stream, &mut buffer) {
            let (status, body) = self.answer(&request);
            let fields = "Content-Type: application/json\r\nStore-Era: 1\r\n";
            if http::respond(&mut stream, status, fields, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let path = request.target().split('?').next().unwrap_or_default();
        match (request.method(), path) {
            ("GET", "/-/kv-range") => ("200 OK", self.range(request)),
            ("GET", "/-/kv-watch") => ("200 OK", self.watch(request)),
            ("GET", "/-/kv-key") => self.key(request),
            ("POST", "/-/kv-txn") => self.write(request),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(&self, request: &Message) -> String {
        let prefix = request.parameter("prefix").unwrap_or_default();
        let after = request.parameter("after").unwrap_or_default();
        let keys = self.keys.0.lock().expect("keys");
        let matching = keys.latest.values();
        let matching = matching.filter(|change| change.key.starts_with(&prefix));
        let matching = matching.filter(|change| change.key > after && change.value.is_some());
        let items: Vec<String> = matching.map(item).collect();
        let (items, revision) = (items.join(","), keys.revision);
        format!(r#"{{"items":[{items}],"has_more":false,"as_of":{revision}}}"#)
    }

    fn watch(&self, request: &Message) -> String {
        let number = |name: &str| -> u64 {
            let value = request.parameter(name);
            value.and_then(|value| value.parse().ok()).unwrap_or(0)
        };
        let prefix = request.parameter("prefix").unwrap_or_default();
        let after = number("after");
        let until = Instant::now() + Duration::from_millis(number("wait_ms"));
        let (keys, changed) = &*self.keys;
        let mut keys = keys.lock().expect("keys");
        loop {
            let events = keys.changes.iter().filter(|change| change.revision > after);
            let events = events.filter(|change| change.key.starts_with(&prefix));
            let events: Vec<String> = events.map(item).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), keys.revision);
                return format!(r#"{{"events":[{events}],"as_of":{revision}}}"#);
            }
            keys = changed.wait_timeout(keys, left).expect("keys").0;
        }
    }

    fn key(&self, request: &Message) -> (&'static str, String) {
        let key = request.parameter("key").unwrap_or_default();
        let keys = self.keys.0.lock().expect("keys");
        let known = keys
            .latest
            .get(&key)
            .filter(|change| change.value.is_some());
        match known {
            Some(change) => {
                let (fields, revision) = (item(change), keys.revision);
                let fields = fields.trim_end_matches('}');
                ("200 OK", format!(r#"{fields},"as_of":{revision}}}"#))
            }
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    /// Carries out a transaction without conditions that writes one key: the only one that entry VMs send.
    fn write(&self, request: &Message) -> (&'static str, String) {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let (Some(key), Some(value)) = (text_of(&body, "key"), text_of(&body, "value")) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        if !body.contains(r#""expected_rev":[]"#)
            || key.starts_with("op/")
            || key.starts_with("servers/")
        {
            return ("403 Forbidden", "{}".to_owned());
        }
        self.change(&key, Some(value));
        let revision = self.keys.0.lock().expect("keys").revision;
        ("200 OK", format!(r#"{{"revision":{revision}}}"#))
    }
}

fn item(change: &Change) -> String {
    let Change { key, revision, .. } = change;
    match &change.value {
        Some(value) => format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease":0}}"#
        ),
        None => format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#),
    }
}

/// Returns the text of the field `name` of a JSON object without escapes.
fn text_of(json: &str, name: &str) -> Option<String> {
    let (_, rest) = json.split_once(&format!(r#""{name}":""#))?;
    let (value, _) = rest.split_once('"')?;
    Some(value.to_owned())
}
