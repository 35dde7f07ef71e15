//! `show`: prints the text in force or an earlier revision.

use eyre::{OptionExt, eyre};

use crate::config::Config;
use crate::exit::Exit;
use crate::output;
use crate::platform::Platform;
use crate::source;

/// Prints a revision; defaults to the revision in force.
pub fn run(revision: Option<u64>, config: &Config) -> eyre::Result<Exit> {
    let platform = Platform::new(config)?;
    let record = match revision {
        None => platform
            .current()?
            .record
            .ok_or_eyre("no text has been applied yet")?,
        Some(revision) => platform
            .revision(revision)?
            .ok_or_else(|| eyre!("revision {revision} is not in the history"))?,
    };
    if config.json {
        output::write(&format!("{}\n", serde_json::to_string_pretty(&record)?))?;
    } else {
        output::write(&source::with_revision(record.revision, &record.text))?;
    }
    Ok(Exit::Done)
}
