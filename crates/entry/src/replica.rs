//! A replica of the store's keys, used to update other entry VMs.

use std::collections::{BTreeMap, HashSet, VecDeque};

use fleet::restore::{Eras, Extent, MISSING};

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
    /// Revision at which the present era was listed first; 0 if the store names no era.
    era_from: u64,
}

impl Replica {
    /// Records a key's change; `is_heartbeat` tells that the new value has no news beyond a
    /// heartbeat.
    pub fn put(&mut self, record: Record, is_heartbeat: bool) {
        if record.value.is_none() {
            // After a restore, other VMs may have a registration of the copy that this VM did not apply.
            if self.keys.remove(&record.key).is_some() || self.era_from > 0 {
                self.note_removed(record);
            }
            return;
        }
        let known = self.keys.get(&record.key);
        // The first heartbeat in an era is news: other VMs may know the copy's value, or keep the missing
        // key only for a time.
        let known = known.filter(|(known, _)| is_heartbeat && known.revision > self.era_from);
        let changed = known.map_or(record.revision, |(_, changed)| *changed);
        self.keys.insert(record.key.clone(), (record, changed));
    }

    /// Records that all keys are known as of `revision`, but not the removals before it.
    pub fn note_listed(&mut self, revision: u64) {
        self.complete_from = revision;
        self.removed.clear();
    }

    /// Begins a later era, in which the store had the keys `listed` at `revision`. The records known so far
    /// count as changed by then, since their own revisions belong to an earlier era.
    pub fn begin_era(&mut self, listed: &HashSet<String>, revision: u64) {
        for (key, (record, changed)) in &mut self.keys {
            record.revision = if listed.contains(key) {
                record.revision.min(revision)
            } else {
                MISSING
            };
            *changed = revision.min(*changed);
        }
        self.era_from = revision;
        self.note_listed(revision);
    }

    /// Records that `key`, whose removal at `revision` is put off, is missing in the store.
    pub fn note_missing(&mut self, key: &str, revision: u64) {
        if let Some((record, changed)) = self.keys.get_mut(key) {
            record.revision = MISSING;
            *changed = revision;
        }
    }

    /// Returns whether a later change of the same key is known than `change`.
    #[must_use]
    pub fn knows_later(&self, change: &Record) -> bool {
        let known = self.keys.get(&change.key).map(|(record, _)| record);
        let removed = self.removed.iter().rev();
        let removed = removed.filter(|removed| removed.key == change.key);
        let mut later = known.into_iter().chain(removed);
        later.any(|record| record.revision > change.revision)
    }

    /// Returns the names of all keys.
    #[must_use]
    pub fn names(&self) -> HashSet<String> {
        self.keys.keys().cloned().collect()
    }

    /// Returns what a VM gets that knows the changes up to `revision` of `era`, and whether those are
    /// all keys.
    #[must_use]
    pub fn answer(&self, eras: &Eras, era: Option<u64>, revision: u64) -> (Vec<Record>, bool) {
        let changes = match eras.extent(era, revision) {
            Extent::Changes => self.changes(revision),
            Extent::All => None,
            Extent::Nothing => Some(Vec::new()),
        };
        let is_complete = changes.is_none();
        (changes.unwrap_or_else(|| self.all()), is_complete)
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
