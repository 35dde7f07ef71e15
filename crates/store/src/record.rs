//! Records stored in the platform's key-value service.

use serde::{Deserialize, Serialize};
use wire::keyring::{Hash, Record};

use crate::read_back::Identified;

/// Key of the operators' configuration.
pub const CONFIG_KEY: &str = "teaseldoor/config";

/// Prefix of the store keys that hold the workspace key records, one store key for each first
/// hexadecimal digit of a record's hash.
pub const KEYS_PREFIX: &str = "teaseldoor/keys/";

/// Returns the store key of the records whose hash has the same first hexadecimal digit as `hash`.
#[must_use]
pub fn keys_key(hash: &Hash) -> String {
    format!("{KEYS_PREFIX}{:x}", hash[0] >> 4)
}

/// The operators' configuration with its revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Revision; one higher than the revision of the replaced record.
    pub revision: u64,
    /// Random ID of the write, by which a writer recognizes its own write.
    pub write_id: String,
    /// Author of the write.
    pub author: String,
    /// Time of the write, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Source text of the configuration.
    pub text: String,
}

impl Identified for ConfigRecord {
    fn write_id(&self) -> &str {
        &self.write_id
    }
}

/// The workspace key records of one shard.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeysRecord {
    /// One record per workspace key.
    pub records: Vec<Record>,
}
