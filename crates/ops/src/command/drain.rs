//! `drain`: drains a zone or a backend server, or ends its drain.

use std::path::Path;

use crate::cli::{DrainArgs, DrainCommand};
use crate::command::{apply, check};
use crate::config::Config;
use crate::edit::{self, Target};
use crate::exit::Exit;
use crate::output::{self, Output};
use crate::platform::{EditOutcome, Platform};
use crate::source;

/// Maximum number of attempts, after each of which another edit was written first.
const MAX_ATTEMPTS: usize = 8;

/// File name of the changed text in reports.
const NEW_TEXT: &str = "(changed text)";

/// Starts or ends a drain.
pub fn run(command: &DrainCommand, config: &Config, output: Output) -> eyre::Result<Exit> {
    match command {
        DrainCommand::Zone { name, args } => change(&Target::Zone(name), *args, config, output),
        DrainCommand::Backend { addr, args } => {
            change(&Target::Backend(*addr), *args, config, output)
        }
    }
}

/// Applies the change to the text in force. The change is small and has the same meaning in every
/// text, so after a conflict it is applied to the newer text.
fn change(
    target: &Target<'_>,
    args: DrainArgs,
    config: &Config,
    output: Output,
) -> eyre::Result<Exit> {
    let platform = Platform::new(config)?;
    for _ in 0..MAX_ATTEMPTS {
        let current = platform.current()?;
        let content = edit::set_drain(current.content(), target, !args.end)?;
        if content == current.content() {
            return apply::report_unchanged(&current, args.wait, config, &platform, output);
        }
        let new = match source::parse(&content) {
            Ok(new) => new,
            Err(problems) => return check::report_invalid(Path::new(NEW_TEXT), problems, output),
        };
        match apply::edit(&platform, &current, &new, config, output)? {
            (EditOutcome::Accepted(record), changes) => {
                return apply::report_accepted(
                    record, changes, args.wait, config, &platform, output,
                );
            }
            (EditOutcome::Unknown(record), _) => return apply::report_unknown(record, output),
            (EditOutcome::Conflict(_), _) => output::progress("another edit came first; retrying"),
        }
    }
    output::progress("every attempt conflicted with another edit; nothing was written");
    Ok(Exit::Conflict)
}
