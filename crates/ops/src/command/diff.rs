//! `diff`: shows how a text would change traffic.

use std::fmt;
use std::path::Path;

use eyre::eyre;
use serde::Serialize;
use similar::TextDiff;
use text::{Change, Text};

use crate::cli::DiffArgs;
use crate::command::check;
use crate::config::Config;
use crate::exit::Exit;
use crate::output::Output;
use crate::platform::{Current, Platform};
use crate::source::{self, Source};

/// File name that denotes the text in force.
const CURRENT: &str = "current";

/// Number of context lines around a changed line.
const CONTEXT_LINES: usize = 2;

/// Changes from one text to another.
#[derive(Debug, Serialize)]
pub struct Changes {
    /// Changes for traffic.
    pub changes: Vec<Change>,
    /// Changed lines, as a unified diff; absent unless requested.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lines: Option<String>,
}

impl fmt::Display for Changes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.changes.is_empty() {
            writeln!(f, "no changes for traffic")?;
        }
        for change in &self.changes {
            writeln!(f, "{change}")?;
        }
        match &self.lines {
            Some(lines) => write!(f, "\n{lines}"),
            None => Ok(()),
        }
    }
}

/// Shows the changes of the text in `args`.
pub fn run(args: &DiffArgs, config: &Config, output: Output) -> eyre::Result<Exit> {
    let new = match source::load(&args.file)? {
        Ok(new) => new,
        Err(problems) => return check::report_invalid(&args.file, problems, output),
    };
    let old = if args.against == Path::new(CURRENT) {
        in_force(&Platform::new(config)?.current()?)?
    } else {
        match source::load(&args.against)? {
            Ok(old) => old,
            Err(problems) => return check::report_invalid(&args.against, problems, output),
        }
    };
    output.report(&Changes {
        changes: text::diff(&old.text, &new.text),
        lines: args.lines.then(|| lines(&old.content, &new.content)),
    })?;
    Ok(Exit::Done)
}

/// Parses the text in force; empty before the first text.
pub fn in_force(current: &Current) -> eyre::Result<Source> {
    if current.record.is_none() {
        return Ok(Source {
            content: String::new(),
            from: None,
            text: Text::default(),
        });
    }
    let revision = current.revision();
    source::parse(current.content()).map_err(|problems| {
        let first = problems.first().map(ToString::to_string);
        let first = first.unwrap_or_default();
        eyre!("revision {revision} is invalid for this version of teaseldoor: {first}")
    })
}

/// Compares two texts line by line.
fn lines(old: &str, new: &str) -> String {
    TextDiff::from_lines(old, new)
        .unified_diff()
        .context_radius(CONTEXT_LINES)
        .to_string()
}
