//! Line-based patches between two versions of a text, for sending only the changes.

use similar::{DiffOp, TextDiff};

/// A step of a patch. Lines include their line ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Edit {
    /// Copies this many lines of the old text.
    Keep(usize),
    /// Omits this many lines of the old text.
    Skip(usize),
    /// Inserts this text.
    Insert(String),
}

/// Returns the patch that turns `old` into `new`.
#[must_use]
pub fn between(old: &str, new: &str) -> Vec<Edit> {
    let diff = TextDiff::from_lines(old, new);
    let inserted = |index: usize, len: usize| {
        let lines = diff.new_slices()[index..index + len].iter();
        Edit::Insert(lines.copied().collect())
    };
    let mut edits = Vec::new();
    for op in diff.ops() {
        match *op {
            DiffOp::Equal { len, .. } => edits.push(Edit::Keep(len)),
            DiffOp::Delete { old_len, .. } => edits.push(Edit::Skip(old_len)),
            DiffOp::Insert {
                new_index, new_len, ..
            } => edits.push(inserted(new_index, new_len)),
            DiffOp::Replace {
                old_len,
                new_index,
                new_len,
                ..
            } => {
                edits.push(Edit::Skip(old_len));
                edits.push(inserted(new_index, new_len));
            }
        }
    }
    edits
}

/// Applies a patch to `old`. Returns `None` if the patch does not cover exactly the lines of
/// `old`.
#[must_use]
pub fn apply(old: &str, edits: &[Edit]) -> Option<String> {
    let mut lines = old.split_inclusive('\n');
    let mut new = String::with_capacity(old.len());
    for edit in edits {
        match edit {
            Edit::Keep(count) => {
                for _ in 0..*count {
                    new.push_str(lines.next()?);
                }
            }
            Edit::Skip(count) => {
                for _ in 0..*count {
                    lines.next()?;
                }
            }
            Edit::Insert(text) => new.push_str(text),
        }
    }
    lines.next().is_none().then_some(new)
}
