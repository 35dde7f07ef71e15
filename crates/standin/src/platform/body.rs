//! JSON bodies of the platform's answers and requests.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

use super::kv::{self, Behavior, Found};
use super::vm::{Meta, Vm};

/// A key as it is read.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Pair {
    lock_index: u64,
    key: String,
    flags: u64,
    value: String,
    create_index: u64,
    modify_index: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    session: Option<String>,
}

impl From<&Found> for Pair {
    fn from(found: &Found) -> Self {
        let entry = &found.entry;
        Self {
            lock_index: entry.lock_index,
            key: found.key.clone(),
            flags: entry.flags,
            value: STANDARD.encode(&entry.value),
            create_index: entry.create_index,
            modify_index: entry.modify_index,
            session: entry.session.clone(),
        }
    }
}

/// A request to create a session.
#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "PascalCase")]
pub struct SessionRequest {
    /// Name of the session.
    pub name: String,
    /// Term such as `2s` or `500ms`; empty for none.
    #[serde(rename = "TTL")]
    pub ttl: String,
    /// `release` or `delete`; empty for `release`.
    pub behavior: String,
}

impl SessionRequest {
    /// The session's behavior, if it is a known one.
    pub fn behavior(&self) -> Option<Behavior> {
        match self.behavior.as_str() {
            "" | "release" => Some(Behavior::Release),
            "delete" => Some(Behavior::Delete),
            _ => None,
        }
    }
}

/// The answer to the creation of a session.
#[derive(Debug, Serialize)]
pub struct SessionCreated {
    /// ID of the session.
    #[serde(rename = "ID")]
    pub id: String,
}

/// A session as it is shown after a renewal.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Session {
    #[serde(rename = "ID")]
    id: String,
    name: String,
    #[serde(rename = "TTL")]
    ttl: String,
    behavior: &'static str,
    create_index: u64,
}

impl Session {
    /// The JSON form of a session.
    pub fn new(id: &str, session: &kv::Session) -> Self {
        let ttl = session.term.map(|term| format!("{}ms", term.as_millis()));
        let behavior = match session.behavior {
            Behavior::Release => "release",
            Behavior::Delete => "delete",
        };
        Self {
            id: id.to_owned(),
            name: session.name.clone(),
            ttl: ttl.unwrap_or_default(),
            behavior,
            create_index: session.create_index,
        }
    }
}

/// A VM as it is listed.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Health {
    node: Node,
    service: Service,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct Node {
    #[serde(rename = "Node")]
    name: String,
    address: String,
    meta: NodeMeta,
}

#[derive(Debug, Serialize)]
struct NodeMeta {
    zone: String,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct Service {
    #[serde(rename = "ID")]
    id: String,
    #[serde(rename = "Service")]
    name: String,
    address: String,
    port: u16,
    meta: Meta,
}

impl From<&Vm> for Health {
    fn from(vm: &Vm) -> Self {
        let zone = vm.meta.zone.clone();
        let node = Node {
            name: vm.id.clone(),
            address: vm.address.clone(),
            meta: NodeMeta { zone },
        };
        let service = Service {
            id: vm.id.clone(),
            name: vm.name.clone(),
            address: vm.address.clone(),
            port: vm.port,
            meta: vm.meta.clone(),
        };
        Self { node, service }
    }
}

/// Reads a duration such as `500ms`, `2s` or `5m`.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.find(|letter: char| !letter.is_ascii_digit())?;
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().ok()?;
    match unit {
        "ms" => Some(Duration::from_millis(number)),
        "s" => Some(Duration::from_secs(number)),
        "m" => Some(Duration::from_secs(number.checked_mul(60)?)),
        _ => None,
    }
}
