//! Identity of the daemons on an entry VM.

use serde::{Deserialize, Serialize};

/// An incarnation of the daemons on an entry VM.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM, unique in the fleet.
    pub name: String,
    /// Incarnation number; increases each time the daemons of the VM start.
    pub incarnation: u64,
}

impl Vm {
    /// Creates the identity of incarnation `incarnation` of VM `name`.
    #[must_use]
    pub fn new(name: &str, incarnation: u64) -> Self {
        Self {
            name: name.to_owned(),
            incarnation,
        }
    }
}
