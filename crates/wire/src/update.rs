//! Updates of the operators' configuration, in full or as a patch.

use serde::{Deserialize, Serialize};

use crate::view::Config;

/// A newer revision of the operators' configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The complete configuration.
    Full(Config),
    /// A patch for a revision that the receiver has.
    Patch(Patch),
}

/// Difference between two revisions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// Revision that the patch applies to.
    pub from: u64,
    /// Revision that results from the patch.
    pub to: u64,
    /// Digest of the resulting text.
    pub digest: u64,
    /// Edits in the order of the text.
    pub edits: Vec<Edit>,
}

/// One edit of a line-based patch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Edit {
    /// Copies this many lines of the old text.
    Keep(u32),
    /// Omits this many lines of the old text.
    Skip(u32),
    /// Inserts this text.
    Insert(String),
}
