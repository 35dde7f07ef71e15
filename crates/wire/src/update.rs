//! Newer revisions of the operators' text, whole or as a difference.

use serde::{Deserialize, Serialize};

use crate::view::Config;

/// A newer revision of the operators' text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// All of it.
    Full(Config),
    /// What changed since a revision that the receiver has.
    Patch(Patch),
}

/// The difference between two revisions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// Revision that it starts from.
    pub from: u64,
    /// Revision that it leads to.
    pub to: u64,
    /// Digest of the text that it leads to.
    pub digest: u64,
    /// The steps.
    pub edits: Vec<Edit>,
}

/// A step from an old text to a new one, in lines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Edit {
    /// Take this many lines of the old text.
    Keep(u32),
    /// Leave this many lines of the old text out.
    Skip(u32),
    /// Take this text.
    Insert(String),
}
