//! Texts supplied by operators.

use std::fs;
use std::io::{self, Read};
use std::path::Path;

use eyre::WrapErr;
use text::{Problem, Text};

/// File name that denotes standard input.
const STDIN: &str = "-";

/// Prefix of the first line, which contains the revision that a text was edited from.
const REVISION_PREFIX: &str = "# teaseldoor: revision ";

/// A text without problems.
#[derive(Debug)]
pub struct Source {
    /// Text without its revision line.
    pub content: String,
    /// Revision that the text was edited from, if it has a revision line.
    pub from: Option<u64>,
    /// Parsed text.
    pub text: Text,
}

/// Reads and checks a text.
///
/// # Errors
///
/// Fails if the file cannot be read. Problems of the text are returned as the inner `Err`.
pub fn load(path: &Path) -> eyre::Result<Result<Source, Vec<Problem>>> {
    let source = read(path)?;
    Ok(parse(&source))
}

/// Checks a text and separates its revision line.
pub fn parse(source: &str) -> Result<Source, Vec<Problem>> {
    let text = text::parse(source)?;
    let (from, content) = split(source);
    Ok(Source {
        content: content.to_owned(),
        from,
        text,
    })
}

/// Prepends the revision line to a text.
pub fn with_revision(revision: u64, content: &str) -> String {
    format!("{REVISION_PREFIX}{revision}\n{content}")
}

fn split(source: &str) -> (Option<u64>, &str) {
    let (first, rest) = source.split_once('\n').unwrap_or((source, ""));
    let revision = first
        .strip_prefix(REVISION_PREFIX)
        .and_then(|r| r.trim().parse().ok());
    match revision {
        Some(revision) => (Some(revision), rest),
        None => (None, source),
    }
}

fn read(path: &Path) -> eyre::Result<String> {
    let bytes = if path == Path::new(STDIN) {
        let mut bytes = Vec::new();
        io::stdin()
            .read_to_end(&mut bytes)
            .wrap_err("cannot read standard input")?;
        bytes
    } else {
        fs::read(path).wrap_err_with(|| format!("cannot read {}", path.display()))?
    };
    String::from_utf8(bytes).wrap_err_with(|| format!("{} is not UTF-8", path.display()))
}
