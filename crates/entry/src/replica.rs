//! A replica of the store's keys, used to update other entry VMs.

use std::collections::{BTreeMap, HashSet, VecDeque};

use crate::store::Record;

/// Maximum number of removed keys that are kept.
const MAX_REMOVED: usize = 4_096;

/// A replica of the store's keys.
#[derive(Debug, Default)]
pub struct Replica {
    /// Records by key, with the revision of the last change that had news beyond a heartbeat.
    keys: BTreeMap<String, (Record, u64)>,
    /// Removed keys, the latest last.
    removed: VecDeque<Record>,
    /// Revision from which on all removed keys are kept.
    complete_from: u64,
}

impl Replica {
    /// Records a key's change; `is_heartbeat` tells that the new value has no news beyond a
    /// heartbeat.
    pub fn put(&mut self, record: Record, is_heartbeat: bool) {
        if record.value.is_none() {
            if self.keys.remove(&record.key).is_some() {
                self.note_removed(record);
            }
            return;
        }
        let known = self.keys.get(&record.key).filter(|_| is_heartbeat);
        let changed = known.map_or(record.revision, |(_, changed)| *changed);
        self.keys.insert(record.key.clone(), (record, changed));
    }

    /// Records that all keys are known as of `revision`, but not the removals before it.
    pub fn note_listed(&mut self, revision: u64) {
        self.complete_from = revision;
        self.removed.clear();
    }

    fn note_removed(&mut self, record: Record) {
        self.removed.push_back(record);
        if self.removed.len() > MAX_REMOVED
            && let Some(oldest) = self.removed.pop_front()
        {
            self.complete_from = oldest.revision;
        }
    }

    /// Returns the changes after `revision`, or `None` if removals since then are no longer kept.
    #[must_use]
    pub fn changes(&self, revision: u64) -> Option<Vec<Record>> {
        if revision == 0 || revision < self.complete_from {
            return None;
        }
        let removed = self
            .removed
            .iter()
            .filter(|record| record.revision > revision);
        let keys = self
            .keys
            .values()
            .filter(|(_, changed)| *changed > revision);
        let keys = keys.map(|(record, _)| record);
        Some(removed.chain(keys).cloned().collect())
    }

    /// Returns all keys.
    #[must_use]
    pub fn all(&self) -> Vec<Record> {
        self.keys
            .values()
            .map(|(record, _)| record.clone())
            .collect()
    }

    /// Returns the keys that are not in `listed`.
    #[must_use]
    pub fn unlisted(&self, listed: &HashSet<String>) -> Vec<String> {
        let keys = self.keys.keys().filter(|key| !listed.contains(*key));
        keys.cloned().collect()
    }
}
