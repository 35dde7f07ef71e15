//! A replica of the store's keys, from which other entry VMs are brought up to date.

use std::collections::{BTreeMap, HashSet, VecDeque};

use crate::store::Record;

/// Removed keys that are remembered.
const MAX_REMOVED: usize = 4_096;

/// A replica of the store's keys.
#[derive(Debug, Default)]
pub struct Replica {
    /// Keys with the revision of the last change that said something new.
    keys: BTreeMap<String, (Record, u64)>,
    /// Removed keys, the latest last.
    removed: VecDeque<Record>,
    /// Revision from which on all removed keys are remembered.
    complete_from: u64,
}

impl Replica {
    /// Takes a key; `is_heartbeat` says that its new value says nothing new.
    pub fn put(&mut self, raw: Record, is_heartbeat: bool) {
        if raw.value.is_none() {
            if self.keys.remove(&raw.key).is_some() {
                self.note_removed(raw);
            }
            return;
        }
        let known = self.keys.get(&raw.key).filter(|_| is_heartbeat);
        let changed = known.map_or(raw.revision, |(_, changed)| *changed);
        self.keys.insert(raw.key.clone(), (raw, changed));
    }

    /// Notes that all keys are known as of `revision`, and not how they came to be.
    pub fn note_listed(&mut self, revision: u64) {
        self.complete_from = revision;
        self.removed.clear();
    }

    fn note_removed(&mut self, raw: Record) {
        self.removed.push_back(raw);
        if self.removed.len() > MAX_REMOVED
            && let Some(oldest) = self.removed.pop_front()
        {
            self.complete_from = oldest.revision;
        }
    }

    /// Returns what changed after `revision`, or nothing if that is too long ago.
    #[must_use]
    pub fn changes(&self, revision: u64) -> Option<Vec<Record>> {
        if revision == 0 || revision < self.complete_from {
            return None;
        }
        let removed = self.removed.iter().filter(|raw| raw.revision > revision);
        let keys = self
            .keys
            .values()
            .filter(|(_, changed)| *changed > revision);
        let keys = keys.map(|(raw, _)| raw);
        Some(removed.chain(keys).cloned().collect())
    }

    /// Returns all keys.
    #[must_use]
    pub fn all(&self) -> Vec<Record> {
        self.keys.values().map(|(raw, _)| raw.clone()).collect()
    }

    /// Returns the keys that are not among `listed`.
    #[must_use]
    pub fn unlisted(&self, listed: &HashSet<String>) -> Vec<String> {
        let keys = self.keys.keys().filter(|key| !listed.contains(*key));
        keys.cloned().collect()
    }
}
