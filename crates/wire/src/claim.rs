//! Claims of operations that must not repeat.

use serde::{Deserialize, Serialize};

use crate::id::Vm;

/// A gate's request to own an operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The gate.
    pub from: Vm,
    /// Name of the operation.
    pub operation: [u8; 16],
    /// True once a control daemon has passed the request on, so that none does so again.
    pub relayed: bool,
}

/// Who owns an operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// This gate, which may or may not be the one that asked.
    Owner(Vm),
    /// Nobody, and there is no room for further claims.
    Full,
    /// Nobody knows: the platform could not be asked. The claim may stand all the same.
    Unavailable,
}
