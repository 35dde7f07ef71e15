//! Large values of the store, divided into parts that entry VMs fetch from each other.
//!
//! A value is cut where its content says so, and a part is known by its hash. So two versions of a value
//! share the parts that did not change, what has arrived stays of use whoever sent it, and a transfer that
//! breaks off goes on where it ended.

use std::collections::{BTreeMap, HashMap, VecDeque};

use bytes::{Bytes, BytesMut};
use fastcdc::v2020::FastCDC;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

/// Size from which on a value is large, in bytes: 13 ms on a link of 10 Mbit/s.
pub const LARGE_BYTES: usize = 16 << 10;

/// Sizes of a part, in bytes.
const MIN_PART_BYTES: usize = 2 << 10;
const MEAN_PART_BYTES: usize = 8 << 10;
const MAX_PART_BYTES: usize = 16 << 10;

/// Number of values whose parts are kept for other VMs: those that are still fetching an earlier version
/// of a value can complete it.
const MAX_VALUES: usize = 3;

/// Number of values that are kept if parts of the earlier ones are still requested.
const MAX_REQUESTED_VALUES: usize = 6;

/// Identifies a part by its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id(pub u128);

impl Id {
    /// Returns the identity of a part with the content `part`.
    #[must_use]
    pub fn of(part: &[u8]) -> Self {
        Self(xxh3_128(part))
    }
}

/// A part of a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Its identity.
    pub id: Id,
    /// Its size, in bytes.
    pub bytes: u32,
}

/// The parts of a value, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest(Vec<Part>);

/// A large value that the store has, without its content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Deferred {
    /// The key.
    pub key: String,
    /// Revision of the key's last change.
    pub revision: u64,
    /// The parts of its value.
    pub manifest: Manifest,
}

impl Manifest {
    /// Returns the parts of `value`.
    #[must_use]
    pub fn of(value: &Bytes) -> Self {
        let part = |part: Bytes| Part {
            id: Id::of(&part),
            bytes: u32::try_from(part.len()).unwrap_or(u32::MAX),
        };
        Self(split(value).map(part).collect())
    }
}

/// Divides `value` into parts that share its memory.
fn split(value: &Bytes) -> impl Iterator<Item = Bytes> {
    let cuts = FastCDC::new(value, MIN_PART_BYTES, MEAN_PART_BYTES, MAX_PART_BYTES);
    cuts.map(|cut| value.slice(cut.offset..cut.offset + cut.length))
}

/// A value that this VM has.
#[derive(Debug)]
struct Kept {
    value: Bytes,
    manifest: Manifest,
    /// Whether another VM asked for parts of it since the latest value was added.
    is_requested: bool,
}

/// The versions of one key's value that this VM does not have yet.
#[derive(Debug)]
struct Pending {
    /// The version that is being fetched.
    target: Deferred,
    /// The latest known version, if that is another one: later than `target`, and fetched next.
    next: Option<Deferred>,
}

impl Pending {
    /// Returns the latest known version.
    fn latest(&self) -> &Deferred {
        self.next.as_ref().unwrap_or(&self.target)
    }

    /// Fetches `deferred` from now on, and the latest known version next, if that is later.
    fn retarget(&mut self, deferred: Deferred) {
        let earlier = std::mem::replace(&mut self.target, deferred);
        let latest = self.next.take().unwrap_or(earlier);
        self.next = Some(latest).filter(|latest| latest.revision > self.target.revision);
    }
}

/// Large values: those that this VM has, and those that it is fetching.
///
/// A version that is being fetched is completed, even if a later one becomes known meanwhile, unless another one
/// needs fewer bytes. So versions that follow each other faster than they can be fetched do not keep each
/// other from arriving. The latest known version stays pending until it is taken, whatever arrives before it.
#[derive(Debug, Default)]
pub struct Values {
    pending: BTreeMap<String, Pending>,
    /// Values that are complete, the latest last.
    kept: VecDeque<Kept>,
    /// Parts of the values in `kept`.
    parts: HashMap<Id, Bytes>,
    /// Parts of versions that are being fetched.
    received: HashMap<Id, Bytes>,
    /// How often parts were given to other VMs.
    given: HashMap<Id, u32>,
}

impl Values {
    /// Records that the store has the value `deferred`.
    pub fn offer(&mut self, deferred: Deferred) {
        let Some(pending) = self.pending.get(&deferred.key) else {
            let pending = Pending {
                target: deferred.clone(),
                next: None,
            };
            self.pending.insert(deferred.key, pending);
            return;
        };
        let missing = self.missing_bytes(&deferred.manifest);
        let missing_of_target = self.missing_bytes(&pending.target.manifest);
        let is_later = deferred.revision > pending.latest().revision;
        let Some(pending) = self.pending.get_mut(&deferred.key) else {
            return;
        };
        if missing < missing_of_target || (is_later && missing == missing_of_target) {
            pending.retarget(deferred);
        } else if is_later {
            pending.next = Some(deferred);
        }
    }

    /// Records that this VM has the value `value`.
    pub fn keep(&mut self, value: &Bytes) {
        let manifest = self.manifest(value);
        if self.kept.iter().any(|kept| kept.manifest == manifest) {
            return;
        }
        if self.kept.len() >= MAX_VALUES {
            self.drop_one();
        }
        for kept in &mut self.kept {
            kept.is_requested = false;
        }
        let parts = split(value).map(|part| (Id::of(&part), part));
        self.parts.extend(parts);
        self.kept.push_back(Kept {
            value: value.clone(),
            manifest,
            is_requested: false,
        });
    }

    /// Drops the earliest value of which nobody asks for parts, or the earliest one if there are too many.
    fn drop_one(&mut self) {
        let unused = self.kept.iter().position(|kept| !kept.is_requested);
        let is_full = self.kept.len() >= MAX_REQUESTED_VALUES;
        let Some(index) = unused.or(is_full.then_some(0)) else {
            return;
        };
        self.kept.remove(index);
        self.parts = HashMap::new();
        for kept in &self.kept {
            let parts = split(&kept.value).map(|part| (Id::of(&part), part));
            self.parts.extend(parts);
        }
        self.given.retain(|id, _| self.parts.contains_key(id));
    }

    /// Records that another VM asks for the part `id`.
    pub fn note_requested(&mut self, id: Id) {
        for kept in &mut self.kept {
            kept.is_requested |= kept.manifest.0.iter().any(|part| part.id == id);
        }
    }

    /// Returns whether this VM has one of the parts `ids`.
    #[must_use]
    pub fn has_any(&self, ids: &[Id]) -> bool {
        ids.iter().any(|id| self.part(*id).is_some())
    }

    /// Returns those of the parts `ids` that this VM has and gave least often, up to `max_bytes` but at least one. So
    /// VMs that ask for the same value soon have different parts to pass on.
    pub fn give(&mut self, ids: &[Id], max_bytes: usize) -> Vec<Bytes> {
        if let Some(first) = ids.first() {
            self.note_requested(*first);
        }
        let mut known: Vec<Id> = ids.to_vec();
        known.retain(|id| self.part(*id).is_some());
        known.sort_by_key(|id| self.given.get(id).copied().unwrap_or_default());
        let mut parts = Vec::new();
        let mut bytes = 0;
        for id in known {
            let Some(part) = self.part(id).cloned() else {
                continue;
            };
            bytes += part.len();
            if bytes > max_bytes && !parts.is_empty() {
                break;
            }
            *self.given.entry(id).or_default() += 1;
            parts.push(part);
        }
        parts
    }

    /// Returns the parts of `value`.
    #[must_use]
    pub fn manifest(&self, value: &Bytes) -> Manifest {
        let is_same = |kept: &Bytes| kept.as_ptr() == value.as_ptr() && kept.len() == value.len();
        let kept = self.kept.iter().find(|kept| is_same(&kept.value));
        kept.map_or_else(|| Manifest::of(value), |kept| kept.manifest.clone())
    }

    /// Drops the versions of `key` that are being fetched: a later value of it is known, or none.
    pub fn forget(&mut self, key: &str) {
        self.pending.remove(key);
        self.drop_unneeded();
    }

    /// Drops all versions that are being fetched.
    pub fn forget_all(&mut self) {
        self.pending.clear();
        self.drop_unneeded();
    }

    /// Drops the versions of keys that are being fetched for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.pending.retain(|key, _| is_kept(key));
        self.drop_unneeded();
    }

    fn drop_unneeded(&mut self) {
        if self.pending.is_empty() {
            self.received = HashMap::new();
        }
    }

    /// Returns whether a value is being fetched.
    #[must_use]
    pub fn is_fetching(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns whether a version of the value of `key` is being fetched.
    #[must_use]
    pub fn is_pending(&self, key: &str) -> bool {
        self.pending.contains_key(key)
    }

    /// Returns the latest known version of each value that is being fetched.
    pub fn deferred(&self) -> impl Iterator<Item = &Deferred> {
        self.pending.values().map(Pending::latest)
    }

    /// Returns the part `id`, if this VM has it.
    #[must_use]
    pub fn part(&self, id: Id) -> Option<&Bytes> {
        self.parts.get(&id).or_else(|| self.received.get(&id))
    }

    /// Returns the key of the value that is fetched first.
    #[must_use]
    pub fn first_key(&self) -> Option<&str> {
        self.pending.keys().next().map(String::as_str)
    }

    /// Returns the parts that are missing of the version that is fetched first.
    #[must_use]
    pub fn missing(&self) -> Vec<Part> {
        let Some(pending) = self.pending.values().next() else {
            return Vec::new();
        };
        let parts = pending.target.manifest.0.iter();
        let missing = parts.filter(|part| self.part(part.id).is_none());
        missing.copied().collect()
    }

    fn missing_bytes(&self, manifest: &Manifest) -> u64 {
        let missing = manifest.0.iter();
        let missing = missing.filter(|part| self.part(part.id).is_none());
        missing.map(|part| u64::from(part.bytes)).sum()
    }

    /// Adds a part that was received; one that no version needs is ignored. Returns whether it was needed.
    pub fn receive(&mut self, part: Bytes) -> bool {
        let id = Id::of(&part);
        let is_needed = |pending: &Pending| {
            let of = |deferred: &Deferred| deferred.manifest.0.iter().any(|part| part.id == id);
            of(&pending.target) || pending.next.as_ref().is_some_and(of)
        };
        if self.part(id).is_some() || !self.pending.values().any(is_needed) {
            return false;
        }
        self.received.insert(id, part);
        true
    }

    /// Goes on to the later version of the value that is fetched first, since nobody has the parts of the
    /// present one any more. Returns whether there is a later one.
    pub fn skip(&mut self) -> bool {
        let pending = self.pending.values_mut().next();
        let Some(pending) = pending else { return false };
        match pending.next.take() {
            Some(next) => {
                pending.target = next;
                true
            }
            None => false,
        }
    }

    /// Returns whether all parts of a version that is being fetched are known.
    #[must_use]
    pub fn has_complete(&self) -> bool {
        let mut targets = self.pending.values().map(|pending| &pending.target);
        targets.any(|target| self.missing_bytes(&target.manifest) == 0)
    }

    /// Returns a version whose parts are all known, with its content. It stays pending until
    /// [`Values::finish`].
    #[must_use]
    pub fn complete(&self) -> Option<(Deferred, Bytes)> {
        let is_complete = |pending: &&Pending| self.missing_bytes(&pending.target.manifest) == 0;
        let target = &self.pending.values().find(is_complete)?.target;
        let kept = self.kept.iter();
        let mut kept = kept.filter(|kept| kept.manifest == target.manifest);
        if let Some(kept) = kept.next() {
            return Some((target.clone(), kept.value.clone()));
        }
        let mut value = BytesMut::new();
        for part in &target.manifest.0 {
            value.extend_from_slice(self.part(part.id)?);
        }
        Some((target.clone(), value.freeze()))
    }

    /// Records that the content of `done` has been taken; its later version is fetched next, if there is one.
    /// Returns false if `done` is no longer wanted.
    pub fn finish(&mut self, done: &Deferred) -> bool {
        let Some(pending) = self.pending.get_mut(&done.key) else {
            return false;
        };
        if pending.target != *done {
            return false;
        }
        match pending.next.take() {
            Some(next) => pending.target = next,
            None => {
                self.pending.remove(&done.key);
            }
        }
        self.drop_unneeded();
        true
    }
}

#[cfg(test)]
mod tests;
