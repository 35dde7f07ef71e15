//! Handover of operations from a stopping gate to another gate.

use serde::{Deserialize, Serialize};

use crate::id::Vm;

/// All or some operations of one gate.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// Previous owner of the operations.
    pub from: Vm,
    /// The operations.
    pub operations: Vec<Operation>,
}

/// An operation that must not run again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// ID of the operation.
    pub id: [u8; 16],
    /// Fingerprint of the request.
    pub fingerprint: [u8; 16],
    /// Response of the backend server; `None` if the outcome is unknown.
    pub response: Option<Response>,
}

/// A backend server's response, kept to answer retries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<Vec<u8>>,
    /// The body, if it was stored.
    pub body: Option<Vec<u8>>,
}

/// A handover, numbered by the control daemon that received it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Numbered {
    /// Number, starting at 1.
    pub number: u64,
    /// The handover.
    pub handover: Handover,
}
