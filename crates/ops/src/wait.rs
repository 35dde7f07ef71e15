//! Waiting until a change is in force.

use std::thread;
use std::time::{Duration, Instant};

use crate::cli::WaitArgs;
use crate::config::Config;
use crate::exit::Exit;
use crate::fleet::Fleet;
use crate::output;
use crate::platform::Platform;
use crate::zones::{self, Progress, Zone};

/// Interval between two queries of the fleet, in milliseconds.
const POLL_MS: u64 = 300;

/// State of the zones at the end of the wait.
#[derive(Debug)]
pub struct Waited {
    /// Zones, by name.
    pub zones: Vec<Zone>,
}

impl Waited {
    /// Returns whether the change is in force in every zone. False if there is no zone.
    pub fn is_finished(&self) -> bool {
        let mut zones = self.zones.iter();
        !self.zones.is_empty() && zones.all(|zone| zone.progress == Progress::InForce)
    }

    /// Returns the exit of the command.
    pub fn exit(&self) -> Exit {
        if self.is_finished() {
            Exit::Done
        } else {
            Exit::Unfinished
        }
    }
}

/// Waits until `revision` is in force in every zone or the time limit expires, and prints each
/// change of progress. Returns `None` at once if `args` do not request a wait.
pub fn wait(
    args: WaitArgs,
    revision: u64,
    config: &Config,
    platform: &Platform,
) -> eyre::Result<Option<Waited>> {
    if !args.wait {
        return Ok(None);
    }
    let deadline = Instant::now() + Duration::from_secs(args.wait_limit_s);
    let mut listed = platform.vms().unwrap_or_default();
    let fleet = Fleet::new(config, &listed)?;
    let mut last_line = String::new();
    loop {
        listed = platform.vms().unwrap_or(listed);
        let vms = fleet.survey(&listed);
        let waited = Waited {
            zones: zones::summarize(&vms, revision, std::iter::empty()),
        };
        let line = progress_line(revision, &waited.zones);
        if line != last_line {
            output::progress(&line);
            last_line = line;
        }
        if waited.is_finished() || Instant::now() >= deadline {
            return Ok(Some(waited));
        }
        thread::sleep(Duration::from_millis(POLL_MS));
    }
}

fn progress_line(revision: u64, zones: &[Zone]) -> String {
    let (done, pending): (Vec<&Zone>, Vec<&Zone>) = zones
        .iter()
        .partition(|zone| zone.progress == Progress::InForce);
    let mut parts = vec![format!(
        "revision {revision}: in force in {} of {} zones",
        done.len(),
        zones.len()
    )];
    let pending = pending.into_iter();
    parts.extend(pending.map(|zone| format!("{} {}", zone.name, zone.progress)));
    parts.join("; ")
}
