//! A set of workspace keys that can be merged.

use std::collections::HashMap;

use wire::keyring::{Hash, Keyring, Record};

/// Number of shards of a key set. The first hexadecimal digit of the hash selects the shard.
pub const SHARDS: usize = 16;

/// Result of the check of a presented key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The key is valid for a workspace.
    Valid {
        /// Name of the workspace.
        workspace: String,
    },
    /// The key was withdrawn.
    Withdrawn,
    /// No record has the hash of the key.
    Unknown,
}

/// Records by hash. Merging is commutative, associative and idempotent: a withdrawn record stays
/// withdrawn regardless of records merged later.
#[derive(Debug, Clone, Default)]
pub struct KeySet {
    records: HashMap<Hash, Record>,
    /// Sum of the fingerprints of all records, which does not depend on their order.
    digest: u64,
    /// Sum of the fingerprints of the records in each shard.
    shards: [u64; SHARDS],
}

impl KeySet {
    /// Creates an empty key set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges `keyring` and returns whether the set changed.
    pub fn merge(&mut self, keyring: &Keyring) -> bool {
        let before = self.digest;
        for record in &keyring.records {
            self.merge_record(record);
        }
        self.digest != before
    }

    fn merge_record(&mut self, record: &Record) {
        let known = self.records.get(&record.hash);
        if known.is_some_and(|known| known.withdrawn || !record.withdrawn) {
            return;
        }
        let before = known.map_or(0, fingerprint);
        let change = fingerprint(record).wrapping_sub(before);
        let shard = &mut self.shards[shard_of(&record.hash)];
        *shard = shard.wrapping_add(change);
        self.digest = self.digest.wrapping_add(change);
        self.records.insert(record.hash, record.clone());
    }

    /// Checks the key with the hash `hash`. The hash is keyed, so the duration of the lookup reveals
    /// nothing about other keys.
    #[must_use]
    pub fn check(&self, hash: &Hash) -> Verdict {
        match self.records.get(hash) {
            None => Verdict::Unknown,
            Some(record) if record.withdrawn => Verdict::Withdrawn,
            Some(record) => Verdict::Valid {
                workspace: record.workspace.clone(),
            },
        }
    }

    /// Returns the digest; equal sets have equal digests.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the digests of the shards.
    #[must_use]
    pub fn shards(&self) -> &[u64; SHARDS] {
        &self.shards
    }

    /// Returns the records of the shards whose digests differ from those in `shards`; missing digests
    /// count as zero.
    #[must_use]
    pub fn differing(&self, shards: &[u64]) -> Keyring {
        let differs = |record: &&Record| {
            let shard = shard_of(&record.hash);
            shards.get(shard).copied().unwrap_or(0) != self.shards[shard]
        };
        Keyring {
            records: self.records.values().filter(differs).cloned().collect(),
        }
    }

    /// Returns the records that are missing from a set with the shard digests `shards`, where `known`
    /// contains the records of that set in the differing shards.
    #[must_use]
    pub fn missing_from(&self, shards: &[u64], known: &Keyring) -> Keyring {
        let mut other = Self::new();
        other.merge(known);
        let mut missing = self.differing(shards);
        missing.records.retain(|record| {
            let known = other.records.get(&record.hash);
            known.is_none_or(|known| record.withdrawn && !known.withdrawn)
        });
        missing
    }

    /// Returns the withdrawn records.
    #[must_use]
    pub fn withdrawals(&self) -> Keyring {
        let withdrawn = self.records.values().filter(|record| record.withdrawn);
        Keyring {
            records: withdrawn.cloned().collect(),
        }
    }

    /// Returns all records.
    #[must_use]
    pub fn keyring(&self) -> Keyring {
        Keyring {
            records: self.records.values().cloned().collect(),
        }
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of withdrawn records.
    #[must_use]
    pub fn withdrawn(&self) -> usize {
        self.records
            .values()
            .filter(|record| record.withdrawn)
            .count()
    }
}

fn shard_of(hash: &Hash) -> usize {
    usize::from(hash[0] >> 4)
}

fn fingerprint(record: &Record) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&record.hash);
    hasher.update(&[u8::from(record.withdrawn)]);
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(prefix)
}
