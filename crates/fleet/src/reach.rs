//! Questions on which services' backend servers another entry VM reaches.

use serde::{Deserialize, Serialize};

/// A VM that reaches no backend server of some services asks another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// Hashes of the services' names.
    pub services: Vec<u32>,
}

/// The answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Hash of the name of the VM that answers.
    pub vm: u64,
    /// The services of the question, and whether this VM reaches a backend server of each.
    pub services: Vec<(u32, bool)>,
}
