//! `apply`: puts a text in force.

use std::fmt;

use serde::Serialize;
use store::ConfigRecord;
use text::Change;

use crate::cli::{ApplyArgs, WaitArgs};
use crate::command::check;
use crate::command::diff::{self, Changes};
use crate::config::Config;
use crate::exit::Exit;
use crate::output::{self, Output};
use crate::platform::{Current, EditOutcome, Platform};
use crate::source::{self, Source};
use crate::wait;
use crate::zones::Zone;

/// Report on an edit.
#[derive(Debug, Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Report {
    /// The text is already in force.
    Unchanged {
        /// Revision in force.
        revision: u64,
        /// Zones at the end of the wait, if any.
        #[serde(skip_serializing_if = "Option::is_none")]
        zones: Option<Vec<Zone>>,
    },
    /// The text is written.
    Accepted {
        /// Revision of the text.
        revision: u64,
        /// Write id, which identifies the write in the history.
        write_id: String,
        /// Changes for traffic.
        changes: Vec<Change>,
        /// Zones at the end of the wait, if any.
        #[serde(skip_serializing_if = "Option::is_none")]
        zones: Option<Vec<Zone>>,
    },
    /// Another edit was written first; nothing was written.
    Conflict(Conflict),
    /// No response arrived; the text may or may not be written.
    Unknown {
        /// Revision of the text if it was written.
        revision: u64,
        /// Write id, which is in the history if the text was written.
        write_id: String,
    },
}

/// Two conflicting edits of the same revision.
#[derive(Debug, Serialize)]
pub struct Conflict {
    /// Revision that the rejected text was edited from.
    pub from: u64,
    /// Revision in force.
    pub revision: u64,
    /// Author of the revision in force.
    pub author: Option<String>,
    /// Changes since `from`; absent if that revision is not in the history.
    pub theirs: Option<Vec<Change>>,
    /// Changes by the rejected text.
    pub yours: Vec<Change>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unchanged { revision, .. } => {
                writeln!(f, "revision {revision} is this text already")
            }
            Self::Accepted { revision, .. } => writeln!(f, "accepted as revision {revision}"),
            Self::Conflict(conflict) => conflict.fmt(f),
            Self::Unknown { revision, write_id } => writeln!(
                f,
                "no response arrived: revision {revision} was written only if the history shows \
                 write id {write_id}"
            ),
        }
    }
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let author = self.author.as_deref().unwrap_or("nobody");
        writeln!(
            f,
            "conflict: edited from revision {}, but revision {} by {author} is in force; nothing \
             was written",
            self.from, self.revision
        )?;
        match &self.theirs {
            Some(theirs) => write_changes(f, "changed in the meantime", theirs)?,
            None => writeln!(f, "revision {} is not in the history", self.from)?,
        }
        write_changes(f, "your changes", &self.yours)?;
        writeln!(
            f,
            "add your changes to the output of \"teaseldoor show\" and apply the result"
        )
    }
}

fn write_changes(f: &mut fmt::Formatter<'_>, title: &str, changes: &[Change]) -> fmt::Result {
    writeln!(f, "{title}:")?;
    if changes.is_empty() {
        writeln!(f, "  no changes for traffic")?;
    }
    for change in changes {
        writeln!(f, "  {change}")?;
    }
    Ok(())
}

/// Puts the text in `args` in force.
pub fn run(args: &ApplyArgs, config: &Config, output: Output) -> eyre::Result<Exit> {
    let new = match source::load(&args.file)? {
        Ok(new) => new,
        Err(problems) => return check::report_invalid(&args.file, problems, output),
    };
    let platform = Platform::new(config)?;
    let current = platform.current()?;
    let from = args.from.or(new.from).unwrap_or(current.revision());
    if from != current.revision() {
        let conflict = conflict(&platform, from, &current, &new)?;
        output.report(&Report::Conflict(conflict))?;
        return Ok(Exit::Conflict);
    }
    if current.record.is_some() && current.content() == new.content {
        return report_unchanged(&current, args.wait, config, &platform, output);
    }
    match edit(&platform, &current, &new, config, output)? {
        (EditOutcome::Accepted(record), changes) => {
            report_accepted(record, changes, args.wait, config, &platform, output)
        }
        (EditOutcome::Conflict(now), _) => {
            let conflict = conflict(&platform, from, &now, &new)?;
            output.report(&Report::Conflict(conflict))?;
            Ok(Exit::Conflict)
        }
        (EditOutcome::Unknown(record), _) => report_unknown(record, output),
    }
}

/// Shows the changes of `new` and replaces `current` by it.
pub fn edit(
    platform: &Platform,
    current: &Current,
    new: &Source,
    config: &Config,
    output: Output,
) -> eyre::Result<(EditOutcome, Vec<Change>)> {
    let old = diff::in_force(current)?;
    let shown = Changes {
        changes: text::diff(&old.text, &new.text),
        lines: None,
    };
    output.preface(&shown)?;
    let edited = platform.replace(current, &config.author, &new.content)?;
    Ok((edited, shown.changes))
}

/// Reports an accepted edit, after waiting until it is in force if requested.
pub fn report_accepted(
    record: ConfigRecord,
    changes: Vec<Change>,
    args: WaitArgs,
    config: &Config,
    platform: &Platform,
    output: Output,
) -> eyre::Result<Exit> {
    output::progress(&format!("revision {} is written", record.revision));
    let waited = wait::wait(args, record.revision, config, platform)?;
    let exit = waited.as_ref().map_or(Exit::Done, wait::Waited::exit);
    output.report(&Report::Accepted {
        revision: record.revision,
        write_id: record.write_id,
        changes,
        zones: waited.map(|waited| waited.zones),
    })?;
    Ok(exit)
}

/// Reports an edit whose outcome is unknown.
pub fn report_unknown(record: ConfigRecord, output: Output) -> eyre::Result<Exit> {
    output.report(&Report::Unknown {
        revision: record.revision,
        write_id: record.write_id,
    })?;
    Ok(Exit::Unknown)
}

/// Reports a text that is already in force, after waiting until it is in force everywhere if
/// requested.
pub fn report_unchanged(
    current: &Current,
    args: WaitArgs,
    config: &Config,
    platform: &Platform,
    output: Output,
) -> eyre::Result<Exit> {
    let revision = current.revision();
    let waited = wait::wait(args, revision, config, platform)?;
    let exit = waited.as_ref().map_or(Exit::Done, wait::Waited::exit);
    output.report(&Report::Unchanged {
        revision,
        zones: waited.map(|waited| waited.zones),
    })?;
    Ok(exit)
}

/// Compares the changes of both edits of revision `from`.
fn conflict(platform: &Platform, from: u64, now: &Current, new: &Source) -> eyre::Result<Conflict> {
    let in_force = diff::in_force(now)?.text;
    let base = match from {
        0 => Some(text::Text::default()),
        _ => platform
            .revision(from)?
            .and_then(|record| source::parse(&record.text).ok())
            .map(|source| source.text),
    };
    let yours = text::diff(base.as_ref().unwrap_or(&in_force), &new.text);
    Ok(Conflict {
        from,
        revision: now.revision(),
        author: now.record.as_ref().map(|record| record.author.clone()),
        theirs: base.map(|base| text::diff(&base, &in_force)),
        yours,
    })
}
