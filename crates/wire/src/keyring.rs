//! Records of workspace keys in messages and in the platform's store.

use serde::{Deserialize, Serialize};

/// Keyed hash of a workspace key.
pub type Hash = [u8; 32];

/// Record of a workspace key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Public ID of the key; reveals nothing about the key itself.
    pub id: String,
    /// Workspace of the key.
    pub workspace: String,
    /// Keyed hash of the key.
    pub hash: Hash,
    /// Whether the key was withdrawn; never becomes false again.
    pub withdrawn: bool,
}

/// A set of key records.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keyring {
    /// One record per key.
    pub records: Vec<Record>,
}
