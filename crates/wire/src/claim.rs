//! Claims of operations that must run at most once.

use serde::{Deserialize, Serialize};

use crate::id::Vm;

/// A gate's request for the ownership of an operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The requesting gate.
    pub from: Vm,
    /// ID of the operation.
    pub operation: [u8; 16],
    /// Whether a control daemon has forwarded the request, so that it is not forwarded again.
    pub relayed: bool,
}

/// Owner of an operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The owner, which may be another gate than the requesting one.
    Owner(Vm),
    /// The operation has no owner and there is no capacity for further claims.
    Full,
    /// The owner is unknown because the platform is unreachable. The claim may have taken effect
    /// nevertheless.
    Unavailable,
}
