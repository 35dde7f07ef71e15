//! Messages about the platform's list of entry VMs.

use serde::{Deserialize, Serialize};

use crate::view::Entry;

/// Version of the platform's list that a daemon holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Index of the list in the platform's store; zero before the first list was read.
    pub index: u64,
    /// Digest of the list.
    pub digest: u64,
}

/// A shard of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// Number of the shard.
    pub number: u8,
    /// Entries of the shard.
    pub entries: Vec<Entry>,
}
