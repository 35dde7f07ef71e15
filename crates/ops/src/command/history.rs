//! `history`: lists the revisions of the text.

use std::fmt;

use serde::Serialize;
use store::ConfigRecord;
use text::Text;

use crate::config::Config;
use crate::exit::Exit;
use crate::output::Output;
use crate::platform::{Platform, now_unix_ms};

const MS_PER_S: u64 = 1_000;
const S_PER_MIN: u64 = 60;
const MIN_PER_H: u64 = 60;
const H_PER_DAY: u64 = 24;

#[derive(Debug, Serialize)]
struct Report {
    revisions: Vec<Entry>,
}

#[derive(Debug, Serialize)]
struct Entry {
    revision: u64,
    author: String,
    at_unix_ms: u64,
    age_ms: u64,
    write_id: String,
    /// Number of changes from the previous revision; absent if that one is not in the history.
    changes: Option<usize>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "revision  written      changes  write id                          author"
        )?;
        for revision in &self.revisions {
            writeln!(f, "{revision}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let changes = self.changes.map_or("-".into(), |count| count.to_string());
        let age = format_age(self.age_ms);
        let (revision, write_id, author) = (self.revision, &self.write_id, &self.author);
        write!(
            f,
            "{revision:<8}  {age:<11}  {changes:<7}  {write_id:<32}  {author}"
        )
    }
}

/// Lists the newest `limit` revisions.
pub fn run(limit: u64, config: &Config, output: Output) -> eyre::Result<Exit> {
    let platform = Platform::new(config)?;
    let mut next = platform.current()?.record;
    let now = now_unix_ms();
    let mut revisions = Vec::new();
    for _ in 0..limit {
        let Some(record) = next else {
            break;
        };
        let previous = match record.revision {
            0 | 1 => None,
            revision => platform.archived(revision - 1)?,
        };
        revisions.push(describe(&record, previous.as_ref(), now));
        next = previous;
    }
    output.report(&Report { revisions })?;
    Ok(Exit::Done)
}

fn describe(record: &ConfigRecord, previous: Option<&ConfigRecord>, now: u64) -> Entry {
    let parsed = |record: &ConfigRecord| text::parse(&record.text).ok();
    let old = match previous {
        Some(previous) => parsed(previous),
        None => (record.revision == 1).then(Text::default),
    };
    let new = parsed(record);
    let changes = old.zip(new).map(|(old, new)| text::diff(&old, &new).len());
    Entry {
        revision: record.revision,
        author: record.author.clone(),
        at_unix_ms: record.at_unix_ms,
        age_ms: now.saturating_sub(record.at_unix_ms),
        write_id: record.write_id.clone(),
        changes,
    }
}

/// Formats an age in the largest unit of which at least one has passed.
fn format_age(age_ms: u64) -> String {
    let seconds = age_ms / MS_PER_S;
    let minutes = seconds / S_PER_MIN;
    let hours = minutes / MIN_PER_H;
    let days = hours / H_PER_DAY;
    match (days, hours, minutes) {
        (0, 0, 0) => format!("{seconds} s ago"),
        (0, 0, _) => format!("{minutes} min ago"),
        (0, ..) => format!("{hours} h ago"),
        (days, ..) => format!("{days} d ago"),
    }
}
