//! Edits of a text that keep its comments and layout.

use std::fmt;
use std::net::SocketAddr;

use toml_edit::{Array, DocumentMut, Item, TableLike, TomlError, Value, value};

/// Target of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target<'a> {
    /// A zone, by name.
    Zone(&'a str),
    /// A backend server, by address.
    Backend(SocketAddr),
}

/// Error of an edit.
#[derive(Debug)]
pub enum EditError {
    /// The text is not valid TOML.
    Malformed(TomlError),
    /// The text does not contain the zone or backend server.
    Missing(String),
}

impl fmt::Display for EditError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => write!(f, "the text in force is not valid TOML: {error}"),
            Self::Missing(target) => write!(f, "the text in force has no {target}"),
        }
    }
}

impl std::error::Error for EditError {}

/// Returns `content` with the drain of `target` set to `drain`. If it already is, `content` is
/// returned unchanged.
///
/// # Errors
///
/// Fails if the text is not valid TOML or does not contain the target.
pub fn set_drain(content: &str, target: &Target<'_>, drain: bool) -> Result<String, EditError> {
    let mut document: DocumentMut = content.parse().map_err(EditError::Malformed)?;
    let found = match target {
        Target::Zone(name) => drain_zone(&mut document, name, drain),
        Target::Backend(addr) => drain_backend(&mut document, *addr, drain),
    };
    match (found, target) {
        (true, _) => Ok(document.to_string()),
        (false, Target::Zone(name)) => Err(EditError::Missing(format!("zone \"{name}\""))),
        (false, Target::Backend(addr)) => Err(EditError::Missing(format!("backend server {addr}"))),
    }
}

/// Sets the drain of a zone. Returns whether the zone was found.
fn drain_zone(document: &mut DocumentMut, name: &str, drain: bool) -> bool {
    for zone in tables(document, "zone") {
        if zone.get("name").and_then(Item::as_str) != Some(name) {
            continue;
        }
        let drained = zone.get("drain").and_then(Item::as_bool).unwrap_or(false);
        if drained != drain {
            set_field(zone, drain.then(|| value(true)));
        }
        return true;
    }
    false
}

/// Sets the drain of a backend server. Returns whether the server was found.
fn drain_backend(document: &mut DocumentMut, addr: SocketAddr, drain: bool) -> bool {
    for backend in tables(document, "backend") {
        let listed = backend.get("addrs").and_then(Item::as_array);
        if listed.is_none_or(|addrs| position(addrs, addr).is_none()) {
            continue;
        }
        let drained = backend.get("drain").and_then(Item::as_array);
        let drained = drained.cloned().unwrap_or_default();
        if position(&drained, addr).is_some() != drain {
            set_field(backend, update_drained(drained, addr, drain));
        }
        return true;
    }
    false
}

/// Adds `addr` to the drained servers or removes it; returns `None` if the list becomes empty.
fn update_drained(mut drained: Array, addr: SocketAddr, drain: bool) -> Option<Item> {
    if drain {
        drained.push(addr.to_string());
    } else if let Some(index) = position(&drained, addr) {
        drained.remove(index);
    }
    (!drained.is_empty()).then(|| value(drained))
}

fn set_field(table: &mut dyn TableLike, drain: Option<Item>) {
    match drain {
        Some(drain) => {
            table.insert("drain", drain);
        }
        None => {
            table.remove("drain");
        }
    }
}

fn position(addrs: &Array, addr: SocketAddr) -> Option<usize> {
    let parsed = |value: &Value| value.as_str().and_then(|text| text.parse().ok());
    addrs.iter().position(|value| parsed(value) == Some(addr))
}

/// Returns the tables of a section, written either as an array of tables or as an inline array.
fn tables<'d>(document: &'d mut DocumentMut, section: &str) -> Vec<&'d mut dyn TableLike> {
    match document.get_mut(section) {
        Some(Item::ArrayOfTables(tables)) => tables
            .iter_mut()
            .map(|table| table as &mut dyn TableLike)
            .collect(),
        Some(Item::Value(Value::Array(array))) => array
            .iter_mut()
            .filter_map(Value::as_inline_table_mut)
            .map(|table| table as &mut dyn TableLike)
            .collect(),
        _ => Vec::new(),
    }
}
