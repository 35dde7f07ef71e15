//! Problems in a configuration text and their positions.

use std::collections::HashSet;
use std::fmt;

use serde::Serialize;

/// A problem in a configuration text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Line number, starting at 1.
    pub line: usize,
    /// Column in characters, starting at 1.
    pub column: usize,
    /// Description of the problem.
    pub message: String,
    /// Suggestion for a fix.
    pub hint: Option<String>,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.message)?;
        match &self.hint {
            Some(hint) => write!(f, " ({hint})"),
            None => Ok(()),
        }
    }
}

/// A problem whose position is a byte offset.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Finding {
    offset: usize,
    message: String,
    hint: String,
}

/// Collects problems while a text is read and checked.
#[derive(Debug, Default)]
pub(crate) struct Findings {
    list: Vec<Finding>,
}

impl Findings {
    /// Adds a problem at a byte offset of the source.
    pub(crate) fn push(
        &mut self,
        offset: usize,
        message: impl Into<String>,
        hint: impl Into<String>,
    ) {
        self.list.push(Finding {
            offset,
            message: message.into(),
            hint: hint.into(),
        });
    }

    /// Returns whether no problem was found.
    pub(crate) fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Adds the problems of `later`, except at offsets that already have a problem: a value that
    /// could not be read makes later checks report follow-up problems.
    pub(crate) fn merge(&mut self, later: Self) {
        let reported: HashSet<usize> = self.list.iter().map(|finding| finding.offset).collect();
        let added = later
            .list
            .into_iter()
            .filter(|finding| !reported.contains(&finding.offset));
        self.list.extend(added);
    }

    /// Converts byte offsets to lines and columns, sorted by position.
    pub(crate) fn into_problems(mut self, source: &str) -> Vec<Problem> {
        self.list.sort_unstable();
        self.list.dedup();
        let mut cursor = Cursor::new(source);
        self.list
            .into_iter()
            .map(|finding| cursor.problem(finding))
            .collect()
    }
}

/// Converts ascending byte offsets to lines and columns in one pass over the source.
struct Cursor<'s> {
    source: &'s str,
    offset: usize,
    line: usize,
    column: usize,
}

impl<'s> Cursor<'s> {
    fn new(source: &'s str) -> Self {
        Self {
            source,
            offset: 0,
            line: 1,
            column: 1,
        }
    }

    fn problem(&mut self, finding: Finding) -> Problem {
        self.advance(finding.offset);
        Problem {
            line: self.line,
            column: self.column,
            message: finding.message,
            hint: Some(finding.hint).filter(|hint| !hint.is_empty()),
        }
    }

    fn advance(&mut self, offset: usize) {
        let end = self.source.floor_char_boundary(offset);
        for character in self.source[self.offset..end.max(self.offset)].chars() {
            if character == '\n' {
                self.line += 1;
                self.column = 1;
            } else {
                self.column += 1;
            }
        }
        self.offset = end.max(self.offset);
    }
}
