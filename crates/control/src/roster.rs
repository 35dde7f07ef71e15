//! The list of entry VMs with digests of its parts.

use std::collections::{BTreeMap, BTreeSet};

use store::{ListedVm, VmState};
use wire::roster::{Shard, Version};
use wire::view::{Entry, MemberState};

/// Parts of the list, by hash of the name.
pub const SHARDS: usize = 64;

/// The platform's list as of one index.
#[derive(Debug, Clone)]
pub struct Roster {
    /// The platform's index of the list; only ever grows.
    index: u64,
    entries: BTreeMap<String, Entry>,
    /// Names of the entries of each zone.
    zones: BTreeMap<String, BTreeSet<String>>,
    /// Sum of the fingerprints of each part's entries.
    shards: [u64; SHARDS],
}

impl Default for Roster {
    fn default() -> Self {
        Self::new()
    }
}

impl Roster {
    /// Creates an empty list, older than any of the platform's.
    #[must_use]
    pub fn new() -> Self {
        Self {
            index: 0,
            entries: BTreeMap::new(),
            zones: BTreeMap::new(),
            shards: [0; SHARDS],
        }
    }

    /// Takes the platform's list as of `index` and returns whether it is newer.
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

    /// Returns which state of the platform's list this is.
    #[must_use]
    pub fn edition(&self) -> Version {
        let sum = |sum: u64, shard: &u64| sum.wrapping_add(*shard);
        Version {
            index: self.index,
            digest: self.shards.iter().fold(0, sum),
        }
    }

    /// Returns whether `edition` is newer than this.
    #[must_use]
    pub fn is_behind(&self, edition: Version) -> bool {
        edition.index > self.index
    }

    /// Returns the digests of the parts.
    #[must_use]
    pub fn digests(&self) -> &[u64] {
        &self.shards
    }

    /// Returns the parts whose digests differ from `digests`, in which missing ones count as
    /// zero.
    #[must_use]
    pub fn differing(&self, digests: &[u64]) -> Vec<Shard> {
        let differs =
            |number: &usize| digests.get(*number).copied().unwrap_or(0) != self.shards[*number];
        (0..SHARDS)
            .filter(differs)
            .map(|number| self.shard(number))
            .collect()
    }

    /// Takes the parts that differ from a newer list, and returns whether they give that list
    /// whole; otherwise nothing changes.
    pub fn patch(&mut self, edition: Version, shards: &[Shard]) -> bool {
        if !self.is_behind(edition) {
            return false;
        }
        let mut next = self.clone();
        next.index = edition.index;
        for shard in shards {
            next.replace_shard(shard);
        }
        let whole = next.edition() == edition;
        if whole {
            *self = next;
        }
        whole
    }

    /// Returns the entries in the order of their names.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the entries of `zone` in the order of their names.
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
        let inside = self.entries.values();
        let inside = inside.filter(|entry| shard_of(&entry.name) == number);
        Shard {
            number: u8::try_from(number).unwrap_or(u8::MAX),
            entries: inside.cloned().collect(),
        }
    }

    fn replace_shard(&mut self, shard: &Shard) {
        let number = usize::from(shard.number);
        if number >= SHARDS {
            return;
        }
        let gone = self.entries.keys().filter(|name| shard_of(name) == number);
        for name in gone.cloned().collect::<Vec<_>>() {
            self.remove(&name);
        }
        let belongs = |entry: &&Entry| shard_of(&entry.name) == number;
        for entry in shard.entries.iter().filter(belongs) {
            self.insert(entry.clone());
        }
    }

    fn insert(&mut self, entry: Entry) {
        self.remove(&entry.name);
        let shard = &mut self.shards[shard_of(&entry.name)];
        *shard = shard.wrapping_add(fingerprint(&entry));
        let inside = self.zones.entry(entry.zone.clone()).or_default();
        inside.insert(entry.name.clone());
        self.entries.insert(entry.name.clone(), entry);
    }

    fn remove(&mut self, name: &str) {
        let Some(entry) = self.entries.remove(name) else {
            return;
        };
        let shard = &mut self.shards[shard_of(name)];
        *shard = shard.wrapping_sub(fingerprint(&entry));
        if let Some(inside) = self.zones.get_mut(&entry.zone) {
            inside.remove(name);
        }
        self.zones.retain(|_, inside| !inside.is_empty());
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
