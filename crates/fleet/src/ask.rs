//! Requests for tokens of a limit, between entry VMs.

use serde::{Deserialize, Serialize};

use crate::report::ServerLimit;

/// What a limit applies to.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Subject {
    /// The workspace whose name has this hash; its limit is in the configuration.
    Workspace(u32),
    /// A backend server, with the limit that the asking VM knows.
    Server(ServerLimit),
}

/// A VM asks the owner of a limit for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Number that the answer repeats.
    pub id: u32,
    /// What the limit applies to.
    pub subject: Subject,
    /// Number of tokens.
    pub wanted: u32,
    /// Whether the VM that ranks higher did not answer.
    pub is_standby: bool,
}

/// The owner's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Number of the question.
    pub id: u32,
    /// What the owner decided.
    pub outcome: Outcome,
}

/// What the owner of a limit decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It granted this number of tokens.
    Tokens(u32),
    /// The rate is used up; a token is due after this number of milliseconds.
    WaitMs(u32),
}
