//! The list of entry VMs with digests of its shards.

use std::collections::{BTreeMap, BTreeSet};

use store::{ListedVm, VmState};
use wire::roster::{Shard, Version};
use wire::view::{Entry, MemberState};

/// Number of shards of the list; a VM belongs to a shard by the hash of its name.
pub const SHARDS: usize = 64;

/// A version of the platform's list of entry VMs.
#[derive(Debug, Clone)]
pub struct Roster {
    /// The platform's index of the list; never decreases.
    index: u64,
    entries: BTreeMap<String, Entry>,
    /// Names of the VMs of each zone.
    zones: BTreeMap<String, BTreeSet<String>>,
    /// Sum of the fingerprints of each shard's entries.
    shards: [u64; SHARDS],
}

impl Default for Roster {
    fn default() -> Self {
        Self::new()
    }
}

impl Roster {
    /// Creates an empty list, older than any version of the platform's.
    #[must_use]
    pub fn new() -> Self {
        Self {
            index: 0,
            entries: BTreeMap::new(),
            zones: BTreeMap::new(),
            shards: [0; SHARDS],
        }
    }

    /// Replaces the list by the platform's list as of `index` if that is newer, and returns whether
    /// it was.
    pub fn replace(&mut self, vms: &[ListedVm], index: u64) -> bool {
        if index <= self.index {
            return false;
        }
        *self = Self::new();
        self.index = index;
        for vm in vms {
            self.insert(entry(vm));
        }
        true
    }

    /// Returns the version of the list.
    #[must_use]
    pub fn version(&self) -> Version {
        let sum = |sum: u64, shard: &u64| sum.wrapping_add(*shard);
        Version {
            index: self.index,
            digest: self.shards.iter().fold(0, sum),
        }
    }

    /// Returns whether `version` is newer than this list.
    #[must_use]
    pub fn is_behind(&self, version: Version) -> bool {
        version.index > self.index
    }

    /// Returns the digests of the shards.
    #[must_use]
    pub fn digests(&self) -> &[u64] {
        &self.shards
    }

    /// Returns the shards whose digests differ from `digests`; a missing digest counts as zero.
    #[must_use]
    pub fn differing(&self, digests: &[u64]) -> Vec<Shard> {
        let differs =
            |number: &usize| digests.get(*number).copied().unwrap_or(0) != self.shards[*number];
        (0..SHARDS)
            .filter(differs)
            .map(|number| self.shard(number))
            .collect()
    }

    /// Replaces `shards`, which differ from those of the newer list `version`. Returns whether the
    /// result is that list; if not, nothing changes.
    pub fn patch(&mut self, version: Version, shards: &[Shard]) -> bool {
        if !self.is_behind(version) {
            return false;
        }
        let mut next = self.clone();
        next.index = version.index;
        for shard in shards {
            next.replace_shard(shard);
        }
        let complete = next.version() == version;
        if complete {
            *self = next;
        }
        complete
    }

    /// Returns the entries, sorted by name.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the entries of `zone`, sorted by name.
    pub fn entries_in(&self, zone: &str) -> impl Iterator<Item = &Entry> {
        let names = self.zones.get(zone).into_iter().flatten();
        names.filter_map(|name| self.entries.get(name))
    }

    /// Returns the names of the zones.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.zones.keys().map(String::as_str)
    }

    /// Returns the entry of `name`.
    #[must_use]
    pub fn entry(&self, name: &str) -> Option<&Entry> {
        self.entries.get(name)
    }

    /// Returns whether the list is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn shard(&self, number: usize) -> Shard {
        let entries = self.entries.values();
        let entries = entries.filter(|entry| shard_of(&entry.name) == number);
        Shard {
            number: u8::try_from(number).unwrap_or(u8::MAX),
            entries: entries.cloned().collect(),
        }
    }

    fn replace_shard(&mut self, shard: &Shard) {
        let number = usize::from(shard.number);
        if number >= SHARDS {
            return;
        }
        let removed = self.entries.keys().filter(|name| shard_of(name) == number);
        for name in removed.cloned().collect::<Vec<_>>() {
            self.remove(&name);
        }
        let in_shard = |entry: &&Entry| shard_of(&entry.name) == number;
        for entry in shard.entries.iter().filter(in_shard) {
            self.insert(entry.clone());
        }
    }

    fn insert(&mut self, entry: Entry) {
        self.remove(&entry.name);
        let shard = &mut self.shards[shard_of(&entry.name)];
        *shard = shard.wrapping_add(fingerprint(&entry));
        let names = self.zones.entry(entry.zone.clone()).or_default();
        names.insert(entry.name.clone());
        self.entries.insert(entry.name.clone(), entry);
    }

    fn remove(&mut self, name: &str) {
        let Some(entry) = self.entries.remove(name) else {
            return;
        };
        let shard = &mut self.shards[shard_of(name)];
        *shard = shard.wrapping_sub(fingerprint(&entry));
        if let Some(names) = self.zones.get_mut(&entry.zone) {
            names.remove(name);
        }
        self.zones.retain(|_, names| !names.is_empty());
    }
}

fn entry(vm: &ListedVm) -> Entry {
    Entry {
        name: vm.name.clone(),
        zone: vm.zone.clone(),
        gate: vm.gate,
        peer: vm.peer,
        state: match vm.state {
            VmState::Live => MemberState::Live,
            VmState::Leaving => MemberState::Leaving,
        },
    }
}

fn shard_of(name: &str) -> usize {
    usize::from(blake3::hash(name.as_bytes()).as_bytes()[0]) % SHARDS
}

fn fingerprint(entry: &Entry) -> u64 {
    let Entry {
        name,
        zone,
        gate,
        peer,
        state,
    } = entry;
    let text = format!("{name}\n{zone}\n{gate}\n{peer}\n{state:?}");
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(text.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(first)
}
