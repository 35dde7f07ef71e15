//! The list of entry VMs as it crosses the wire.

use serde::{Deserialize, Serialize};

use crate::view::Entry;

/// Which state of the platform's list a daemon has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The platform's index of the list; zero before the first.
    pub index: u64,
    /// Digest of the list.
    pub digest: u64,
}

/// A part of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// Number of the part.
    pub number: u8,
    /// Entries of the part.
    pub entries: Vec<Entry>,
}
