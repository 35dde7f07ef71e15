//! Keys, their history and their leases.

use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::listener::lock;

/// A key's value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the last change.
    pub revision: u64,
    /// Revision of the creation.
    pub created: u64,
    /// Lease, or 0.
    pub lease: u64,
}

/// A change of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Put(Item),
    /// The key was removed.
    Removed {
        /// The key.
        key: String,
        /// Revision of the removal.
        revision: u64,
    },
}

/// Why a change under conditions was not made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Conflict {
    /// A key has another revision.
    Revision,
    /// There is no such lease.
    Lease,
}

/// What a restore brings back.
#[derive(Debug, Clone)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    /// Revision before which the history is gone.
    history_from: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
}

#[derive(Debug)]
struct Inner {
    contents: Contents,
    /// Number of the store's era; absent if the store names none.
    era: Option<u64>,
}

/// A copy of the store, from which it can be restored.
#[derive(Debug, Clone)]
pub struct Backup {
    contents: Contents,
    taken: Instant,
}

/// The result of a watch; absent if the history is gone, or not there yet.
pub(super) type Watched = Option<(Vec<Change>, u64)>;

/// All keys.
#[derive(Debug)]
pub struct Keys {
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl Default for Keys {
    fn default() -> Self {
        Self {
            inner: Mutex::new(Inner {
                contents: Contents {
                    revision: 1,
                    items: BTreeMap::new(),
                    history: Vec::new(),
                    history_from: 1,
                    leases: BTreeMap::new(),
                },
                era: None,
            }),
            changed: Condvar::new(),
        }
    }
}

impl Change {
    fn revision(&self) -> u64 {
        match self {
            Self::Put(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }

    fn key(&self) -> &str {
        match self {
            Self::Put(item) => &item.key,
            Self::Removed { key, .. } => key,
        }
    }
}

impl std::ops::Deref for Inner {
    type Target = Contents;

    fn deref(&self) -> &Contents {
        &self.contents
    }
}

impl std::ops::DerefMut for Inner {
    fn deref_mut(&mut self) -> &mut Contents {
        &mut self.contents
    }
}

impl Contents {
    fn put(&mut self, key: &str, value: &[u8], lease: u64) {
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            key: key.to_owned(),
            value: value.to_vec(),
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Change::Put(item));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push(Change::Removed {
                key: key.to_owned(),
                revision: self.revision,
            });
        }
    }

    fn expire(&mut self, now: Instant) {
        let due = |entry: (&u64, &(Duration, Instant))| (entry.1.1 <= now).then_some(*entry.0);
        let due: Vec<u64> = self.leases.iter().filter_map(due).collect();
        for lease in due {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let own = self.items.values().filter(|item| item.lease == lease);
        let own: Vec<String> = own.map(|item| item.key.clone()).collect();
        if !own.is_empty() {
            self.revision += 1;
        }
        for key in own {
            self.remove(&key);
        }
        known
    }
}

impl Keys {
    /// Writes a key.
    pub fn put(&self, key: &str, value: impl AsRef<[u8]>) {
        let mut inner = lock(&self.inner);
        inner.revision += 1;
        inner.put(key, value.as_ref(), 0);
        self.changed.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let mut inner = lock(&self.inner);
        inner.revision += 1;
        inner.remove(key);
        self.changed.notify_all();
    }

    /// Forgets the history.
    pub fn compact(&self) {
        let mut inner = lock(&self.inner);
        inner.history.clear();
        inner.history_from = inner.revision;
    }

    /// Names `era` in all answers from now on. A store that was never told an era names none.
    pub fn set_era(&self, era: u64) {
        lock(&self.inner).era = Some(era);
    }

    /// Returns the era.
    #[must_use]
    pub fn era(&self) -> Option<u64> {
        lock(&self.inner).era
    }

    /// Returns the revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        lock(&self.inner).revision
    }

    /// Copies all keys, their history, their leases and the revision.
    #[must_use]
    pub fn back_up(&self) -> Backup {
        let mut inner = lock(&self.inner);
        let now = Instant::now();
        inner.expire(now);
        Backup {
            contents: inner.contents.clone(),
            taken: now,
        }
    }

    /// Goes back to `backup` and begins the next era. Leases have the time left that they had in it.
    pub fn restore(&self, backup: &Backup) {
        let mut inner = lock(&self.inner);
        let age = backup.taken.elapsed();
        inner.contents = backup.contents.clone();
        for (_, until) in inner.leases.values_mut() {
            *until += age;
        }
        inner.era = Some(inner.era.unwrap_or_default() + 1);
        self.changed.notify_all();
    }

    /// Returns the names of the keys that begin with `prefix`.
    #[must_use]
    pub fn names(&self, prefix: &str) -> Vec<String> {
        let inner = lock(&self.inner);
        let names = inner.items.keys().filter(|key| key.starts_with(prefix));
        names.cloned().collect()
    }

    /// Returns the value of `key`.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let (item, _) = self.get(key);
        item.map(|item| item.value)
    }

    /// Returns a key and the store's revision.
    pub(super) fn get(&self, key: &str) -> (Option<Item>, u64) {
        let mut inner = lock(&self.inner);
        inner.expire(Instant::now());
        (inner.items.get(key).cloned(), inner.revision)
    }

    /// Returns at most `most` keys with `prefix` after `after`, whether more follow, the store's
    /// revision, and its era.
    pub(super) fn range(
        &self,
        prefix: &str,
        after: &str,
        most: usize,
    ) -> (Vec<Item>, bool, u64, Option<u64>) {
        let mut inner = lock(&self.inner);
        inner.expire(Instant::now());
        let items = inner.items.values();
        let items = items.filter(|item| item.key.starts_with(prefix) && item.key.as_str() > after);
        let mut items: Vec<Item> = items.take(most + 1).cloned().collect();
        let has_more = items.len() > most;
        items.truncate(most);
        (items, has_more, inner.revision, inner.era)
    }

    /// Waits at most `wait` for changes of keys with `prefix` after `after`; returns no changes if
    /// that history is gone, or if a store with eras has no such revision. Returns the era too.
    pub(super) fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (Watched, Option<u64>) {
        let until = Instant::now() + wait;
        let mut inner = lock(&self.inner);
        loop {
            inner.expire(Instant::now());
            let is_ahead = inner.era.is_some() && after > inner.revision;
            if after < inner.history_from || is_ahead {
                return (None, inner.era);
            }
            let is_due =
                |change: &&Change| change.revision() > after && change.key().starts_with(prefix);
            let changes: Vec<Change> = inner.history.iter().filter(is_due).cloned().collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                return (Some((changes, inner.revision)), inner.era);
            }
            let waited = self.changed.wait_timeout(inner, left);
            inner = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
        }
    }

    /// Writes and removes keys if all `expected` revisions hold; returns the era too.
    pub(super) fn transact(
        &self,
        expected: &[(String, u64)],
        puts: &[(String, Vec<u8>, u64)],
        removed: &[String],
    ) -> (Result<u64, Conflict>, Option<u64>) {
        let mut inner = lock(&self.inner);
        inner.expire(Instant::now());
        let revision = |key: &str| inner.items.get(key).map_or(0, |item| item.revision);
        if expected
            .iter()
            .any(|(key, expected)| revision(key) != *expected)
        {
            return (Err(Conflict::Revision), inner.era);
        }
        let has_lease = |lease: u64| lease == 0 || inner.leases.contains_key(&lease);
        if !puts.iter().all(|(_, _, lease)| has_lease(*lease)) {
            return (Err(Conflict::Lease), inner.era);
        }
        inner.revision += 1;
        for (key, value, lease) in puts {
            inner.put(key, value, *lease);
        }
        for key in removed {
            inner.remove(key);
        }
        self.changed.notify_all();
        (Ok(inner.revision), inner.era)
    }

    pub(super) fn grant(&self, ttl: Duration) -> u64 {
        let mut inner = lock(&self.inner);
        let lease = inner.leases.keys().last().copied().unwrap_or(77_000) + 1;
        inner.leases.insert(lease, (ttl, Instant::now() + ttl));
        lease
    }

    pub(super) fn renew(&self, lease: u64) -> Option<Duration> {
        let mut inner = lock(&self.inner);
        inner.expire(Instant::now());
        let (ttl, until) = inner.leases.get_mut(&lease)?;
        *until = Instant::now() + *ttl;
        Some(*ttl)
    }

    pub(super) fn end(&self, lease: u64) -> bool {
        let ended = lock(&self.inner).end_lease(lease);
        self.changed.notify_all();
        ended
    }
}
