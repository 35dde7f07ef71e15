//! Operations that a gate hands to another before it stops.

use serde::{Deserialize, Serialize};

use crate::id::Vm;

/// Operations of one gate, or a part of them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The gate that owned them.
    pub from: Vm,
    /// The operations.
    pub operations: Vec<Operation>,
}

/// An operation that will not run again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// Its name.
    pub id: [u8; 16],
    /// What its request asked for.
    pub fingerprint: [u8; 16],
    /// The backend server's answer; absent if its outcome is unknown.
    pub response: Option<Response>,
}

/// A backend server's answer, kept for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// Status.
    pub status: u16,
    /// Type of the body.
    pub content_type: Option<Vec<u8>>,
    /// The body, if it was kept.
    pub body: Option<Vec<u8>>,
}

/// A handover with its number at the receiving control daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Numbered {
    /// Number, from 1.
    pub number: u64,
    /// The handover.
    pub handover: Handover,
}
