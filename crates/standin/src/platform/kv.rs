//! The key-value data and its sessions, without any transport.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// One key's value and its indexes.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The stored bytes.
    pub value: Arc<[u8]>,
    /// The caller's own number.
    pub flags: u64,
    /// Index of the change that created the key.
    pub create_index: u64,
    /// Index of the last change; never below `create_index`.
    pub modify_index: u64,
    /// How often the key's lock was acquired.
    pub lock_index: u64,
    /// The session that holds the key's lock.
    pub session: Option<String>,
}

/// What happens to a session's locked keys when it ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behavior {
    /// The keys stay and their locks are released.
    Release,
    /// The keys are deleted.
    Delete,
}

/// A lease: it lapses when it is not renewed within its term.
#[derive(Clone, Debug)]
pub struct Session {
    /// Name given by the creator.
    pub name: String,
    /// Time until the session lapses without a renewal; `None` for a session that never lapses.
    pub term: Option<Duration>,
    /// What happens to locked keys at the end.
    pub behavior: Behavior,
    /// Index of the change that created the session.
    pub create_index: u64,
    lapses: Option<Instant>,
}

/// A condition or lock operation of a write.
#[derive(Clone, Copy, Debug)]
pub enum Condition<'a> {
    /// Writes always.
    Always,
    /// Writes if the key's modify index is this; 0 stands for an absent key.
    Index(u64),
    /// Writes if the session can take or already holds the lock.
    Acquire(&'a str),
    /// Writes and releases the lock if the session holds it.
    Release(&'a str),
}

/// Why a write could not be judged at all.
#[derive(Debug)]
pub enum WriteError {
    /// The named session does not exist or has lapsed.
    UnknownSession,
}

/// The keys that a read or watch covers.
#[derive(Clone, Debug)]
pub enum Scope {
    /// One key.
    Key(String),
    /// All keys that start with a prefix.
    Prefix(String),
}

impl Scope {
    /// Whether the scope covers `key`.
    #[must_use]
    pub fn covers(&self, key: &str) -> bool {
        match self {
            Self::Key(own) => own == key,
            Self::Prefix(prefix) => key.starts_with(prefix.as_str()),
        }
    }
}

/// A key that a read found.
#[derive(Clone, Debug)]
pub struct Found {
    /// Name of the key.
    pub key: String,
    /// The key's value and indexes.
    pub entry: Entry,
}

/// Keys by name.
pub type Entries = BTreeMap<String, Entry>;

/// All keys and sessions.
#[derive(Debug)]
pub struct Store {
    /// Index of the last change; starts at 1 and only grows.
    index: u64,
    entries: Entries,
    /// Index at which each deleted key was deleted.
    deleted: BTreeMap<String, u64>,
    sessions: BTreeMap<String, Session>,
    session_count: u64,
    changed: Vec<String>,
}

impl Store {
    /// An empty store.
    #[must_use]
    pub fn new() -> Self {
        Self {
            index: 1,
            entries: BTreeMap::new(),
            deleted: BTreeMap::new(),
            sessions: BTreeMap::new(),
            session_count: 0,
            changed: Vec::new(),
        }
    }

    /// All keys.
    #[must_use]
    pub fn entries(&self) -> &Entries {
        &self.entries
    }

    /// The highest index of a change within `scope`; 1 if there was none.
    #[must_use]
    pub fn index_of(&self, scope: &Scope) -> u64 {
        match scope {
            Scope::Key(key) => {
                let live = self.entries.get(key).map(|entry| entry.modify_index);
                live.or_else(|| self.deleted.get(key).copied()).unwrap_or(1)
            }
            Scope::Prefix(prefix) => {
                let live = self.entries.range(prefix.clone()..);
                let live = live
                    .take_while(|(key, _)| key.starts_with(prefix.as_str()))
                    .map(|(_, entry)| entry.modify_index);
                let gone = self.deleted.range(prefix.clone()..);
                let gone = gone
                    .take_while(|(key, _)| key.starts_with(prefix.as_str()))
                    .map(|(_, index)| *index);
                live.chain(gone).max().unwrap_or(1)
            }
        }
    }

    /// Takes the names of the keys that changed since the last call.
    pub fn take_changed(&mut self) -> Vec<String> {
        std::mem::take(&mut self.changed)
    }

    /// Writes `key` if `condition` holds; says whether it did.
    ///
    /// # Errors
    ///
    /// Fails if `condition` names a session that does not exist.
    pub fn put(
        &mut self,
        key: &str,
        value: &[u8],
        flags: u64,
        condition: Condition<'_>,
    ) -> Result<bool, WriteError> {
        let old = self.entries.get(key);
        let holder = old.and_then(|entry| entry.session.as_deref());
        let mut lock_index = old.map_or(0, |entry| entry.lock_index);
        let mut session = holder.map(str::to_owned);
        match condition {
            Condition::Always => {}
            Condition::Index(index) => {
                if old.map_or(0, |entry| entry.modify_index) != index {
                    return Ok(false);
                }
            }
            Condition::Acquire(id) => {
                self.known_session(id)?;
                if holder.is_some_and(|holder| holder != id) {
                    return Ok(false);
                }
                if holder.is_none() {
                    lock_index += 1;
                }
                session = Some(id.to_owned());
            }
            Condition::Release(id) => {
                self.known_session(id)?;
                if holder != Some(id) {
                    return Ok(false);
                }
                session = None;
            }
        }
        let create_index = old.map(|entry| entry.create_index);
        let index = self.change(key);
        let entry = Entry {
            value: value.into(),
            flags,
            create_index: create_index.unwrap_or(index),
            modify_index: index,
            lock_index,
            session,
        };
        self.entries.insert(key.to_owned(), entry);
        self.deleted.remove(key);
        Ok(true)
    }

    /// Deletes the keys in `scope`, if `index` is absent or is the key's modify index.
    pub fn delete(&mut self, scope: &Scope, index: Option<u64>) -> bool {
        if let (Scope::Key(key), Some(index)) = (scope, index) {
            let own = self.entries.get(key).map_or(0, |entry| entry.modify_index);
            if own != index {
                return false;
            }
        }
        let keys: Vec<String> = self
            .entries
            .keys()
            .filter(|key| scope.covers(key))
            .cloned()
            .collect();
        for key in keys {
            self.remove(&key);
        }
        true
    }

    /// Creates a session and returns its ID.
    pub fn create_session(
        &mut self,
        name: String,
        term: Option<Duration>,
        behavior: Behavior,
        now: Instant,
    ) -> String {
        self.session_count += 1;
        self.index += 1;
        let digest = blake3::hash(&self.session_count.to_le_bytes()).to_hex();
        let id = format!(
            "{}-{}-{}-{}-{}",
            &digest[..8],
            &digest[8..12],
            &digest[12..16],
            &digest[16..20],
            &digest[20..32]
        );
        let session = Session {
            name,
            term,
            behavior,
            create_index: self.index,
            lapses: term.map(|term| now + term),
        };
        self.sessions.insert(id.clone(), session);
        id
    }

    /// Starts the session's term anew; `None` if it has ended.
    pub fn renew_session(&mut self, id: &str, now: Instant) -> Option<&Session> {
        let session = self.sessions.get_mut(id)?;
        session.lapses = session.term.map(|term| now + term);
        Some(session)
    }

    /// Ends a session and its locks.
    pub fn destroy_session(&mut self, id: &str) {
        let Some(session) = self.sessions.remove(id) else {
            return;
        };
        let held = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.session.as_deref() == Some(id));
        let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in held {
            match session.behavior {
                Behavior::Release => self.unlock(&key),
                Behavior::Delete => self.remove(&key),
            }
        }
    }

    /// Ends the sessions whose term has passed.
    pub fn expire(&mut self, now: Instant) {
        let lapsed = self
            .sessions
            .iter()
            .filter(|(_, session)| session.lapses.is_some_and(|at| at <= now));
        let lapsed: Vec<String> = lapsed.map(|(id, _)| id.clone()).collect();
        for id in lapsed {
            self.destroy_session(&id);
        }
    }

    fn known_session(&self, id: &str) -> Result<(), WriteError> {
        if self.sessions.contains_key(id) {
            Ok(())
        } else {
            Err(WriteError::UnknownSession)
        }
    }

    fn change(&mut self, key: &str) -> u64 {
        self.index += 1;
        self.changed.push(key.to_owned());
        self.index
    }

    fn remove(&mut self, key: &str) {
        let index = self.change(key);
        self.entries.remove(key);
        self.deleted.insert(key.to_owned(), index);
    }

    fn unlock(&mut self, key: &str) {
        let index = self.change(key);
        if let Some(entry) = self.entries.get_mut(key) {
            entry.session = None;
            entry.modify_index = index;
        }
    }
}

impl Default for Store {
    fn default() -> Self {
        Self::new()
    }
}
