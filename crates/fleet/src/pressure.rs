//! Load reports of backend servers, as entry VMs send them to each other.
//!
//! A report has to fit into a few bytes a second of each VM, so an entry is of fixed size, in units that are
//! just fine enough for the choice between two servers.

use serde::{Deserialize, Serialize};

use crate::report::Scope;

/// Maximum size of a report without its entries, in bytes: kind, scope and number of entries.
pub const HEADER_BYTES: usize = 4;

/// Size of an entry, in bytes.
pub const ENTRY_BYTES: usize = 7;

/// Load of backend servers as heard by the VMs of a scope.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Whose news it contains: the sender's, to the leader of its zone; its zone's, to other leaders; the
    /// fleet's, to the VMs of the zone.
    pub scope: Scope,
    /// One entry for each server that is reported.
    pub entries: Vec<Entry>,
}

/// Load of one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Hash of the server's name.
    #[serde(with = "fixed_size")]
    pub server: u32,
    /// Requests per slot, running and waiting, in sixteenths.
    pub per_slot: u8,
    /// How long work takes on its machine compared with the usual time, in tenths.
    pub slowdown: u8,
    /// Time since the response that said so, in units of 10 ms.
    pub age: u8,
}

impl LoadReport {
    /// Returns the name of its kind for metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self.scope {
            Scope::Vm => "vm-load",
            Scope::Zone => "zone-load",
            Scope::Fleet => "fleet-load",
        }
    }
}

/// Four bytes for a hash. The default encoding of variable size takes five for most hashes.
mod fixed_size {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    #[allow(clippy::trivially_copy_pass_by_ref)] // the signature that serde calls
    pub(super) fn serialize<S: Serializer>(value: &u32, serializer: S) -> Result<S::Ok, S::Error> {
        value.to_le_bytes().serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
        <[u8; 4]>::deserialize(deserializer).map(u32::from_le_bytes)
    }
}
