//! `key`: issues, withdraws and lists workspace keys.

use std::fmt;

use eyre::{WrapErr, bail};
use key::{Hasher, Token};
use serde::Serialize;
use store::StoreError;
use text::Text;
use wire::keyring::{Hash, Record};

use crate::cli::KeyCommand;
use crate::command::diff;
use crate::config::Config;
use crate::exit::Exit;
use crate::fleet::{Confirmation, Fleet, Withdrawal};
use crate::keys;
use crate::output::Output;
use crate::platform::Platform;

/// Prefix of every key.
const KEY_PREFIX: &str = "td_";

#[derive(Debug, Serialize)]
struct Issued<'a> {
    key: &'a str,
    id: &'a str,
    workspace: &'a str,
}

impl fmt::Display for Issued<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.key)?;
        writeln!(
            f,
            "id {} for {}; the key is not shown again",
            self.id, self.workspace
        )
    }
}

#[derive(Debug, Serialize)]
struct Withdrawn<'a> {
    id: &'a str,
    workspace: Option<&'a str>,
    /// Whether the platform confirmed the write of the withdrawal.
    recorded: bool,
    /// Whether enough daemons have the withdrawal that no daemon accepts the key as valid while the
    /// platform is unavailable to all of them.
    by_quorum: bool,
    /// Responses of the daemons.
    daemons: Vec<Confirmation>,
}

impl fmt::Display for Withdrawn<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let confirmed = self.daemons.iter().filter(|daemon| daemon.confirmed);
        writeln!(
            f,
            "{} is withdrawn at {} of {} daemons",
            self.id,
            confirmed.count(),
            self.daemons.len()
        )?;
        for daemon in self.daemons.iter().filter(|daemon| !daemon.confirmed) {
            writeln!(f, "  {} does not respond", daemon.vm)?;
        }
        if self.recorded {
            writeln!(
                f,
                "recorded: a daemon misses the withdrawal only as long as it is cut off"
            )
        } else if self.by_quorum {
            writeln!(
                f,
                "not recorded: the platform does not respond; the daemons write the withdrawal \
                 later, and until then none accepts the key as valid unless the platform responds to it"
            )
        } else {
            writeln!(
                f,
                "the platform has not confirmed it; run the command again once it responds"
            )
        }
    }
}

#[derive(Debug, Serialize)]
struct List {
    keys: Vec<Listed>,
}

#[derive(Debug, Serialize)]
struct Listed {
    id: String,
    workspace: String,
    withdrawn: bool,
}

impl fmt::Display for List {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "id                 state      workspace")?;
        for key in &self.keys {
            let state = if key.withdrawn { "withdrawn" } else { "valid" };
            writeln!(f, "{:<17}  {state:<9}  {}", key.id, key.workspace)?;
        }
        Ok(())
    }
}

/// Issues, withdraws or lists keys.
pub fn run(command: &KeyCommand, config: &Config, output: Output) -> eyre::Result<Exit> {
    match command {
        KeyCommand::Give { workspace } => issue(workspace, config, output),
        KeyCommand::Withdraw { key } => withdraw(key, config, output),
        KeyCommand::List { workspace } => list(workspace.as_deref(), config, output),
    }
}

fn issue(workspace: &str, config: &Config, output: Output) -> eyre::Result<Exit> {
    let platform = Platform::new(config)?;
    let text = diff::in_force(&platform.current()?)?.text;
    ensure_workspace_exists(&text, workspace)?;
    let token = Token::new(&rand::random());
    let hash = Hasher::new(&config.secret()?).hash(token.reveal().as_bytes());
    let record = Record {
        id: keys::id(&hash),
        workspace: workspace.to_owned(),
        hash,
        withdrawn: false,
    };
    keys::write(&platform, &record).wrap_err("no key was issued")?;
    output.report(&Issued {
        key: token.reveal(),
        id: &record.id,
        workspace,
    })?;
    Ok(Exit::Done)
}

fn ensure_workspace_exists(text: &Text, name: &str) -> eyre::Result<()> {
    if text.workspace(name).is_some() {
        return Ok(());
    }
    let names: Vec<&str> = text.workspaces.iter().map(|w| w.name.as_str()).collect();
    bail!(
        "the text in force has no workspace \"{name}\"; it has {}",
        names.join(", ")
    )
}

/// Sends the withdrawal to the daemons first, as this takes effect at once, and then writes the
/// record.
fn withdraw(key: &str, config: &Config, output: Output) -> eyre::Result<Exit> {
    let platform = Platform::new(config)?;
    let listed = platform.vms().unwrap_or_default();
    let fleet = Fleet::new(config, &listed)?;
    let record = find(key, &platform, &fleet, config)?;
    let Withdrawal { daemons, by_quorum } = fleet.withdraw(&listed, &record);
    let recorded = keys::write(&platform, &record);
    let exit = exit_of(recorded.as_ref().err(), &daemons);
    output.report(&Withdrawn {
        id: &record.id,
        workspace: Some(record.workspace.as_str()).filter(|name| !name.is_empty()),
        recorded: recorded.is_ok(),
        by_quorum,
        daemons,
    })?;
    Ok(exit)
}

fn exit_of(error: Option<&StoreError>, daemons: &[Confirmation]) -> Exit {
    match error {
        None => Exit::Done,
        Some(_) if daemons.iter().any(|daemon| daemon.confirmed) => Exit::Unfinished,
        Some(_) => Exit::Unreachable,
    }
}

/// Finds the record of a key, which is given by its id or as the key itself, and marks it
/// withdrawn. If the platform does not respond, a key given as such is withdrawn without its record.
fn find(key: &str, platform: &Platform, fleet: &Fleet, config: &Config) -> eyre::Result<Record> {
    let hash = Hasher::new(&config.secret()?).hash(key.as_bytes());
    let is_key = key.starts_with(KEY_PREFIX);
    let matches = |record: &Record| {
        if is_key {
            record.hash == hash
        } else {
            record.id == key
        }
    };
    let (records, read_error) = match keys::read(platform) {
        Ok(records) => (records, None),
        Err(error) => (fleet.keyring().unwrap_or_default(), Some(error)),
    };
    match (records.into_iter().find(matches), read_error) {
        (Some(record), _) => Ok(mark_withdrawn(record)),
        (None, Some(_)) if is_key => Ok(new_withdrawn(hash)),
        (None, Some(error)) => Err(error.into()),
        (None, None) if is_key => bail!("no such key was issued"),
        (None, None) => bail!("no key has the id \"{key}\""),
    }
}

fn new_withdrawn(hash: Hash) -> Record {
    Record {
        id: keys::id(&hash),
        workspace: String::new(),
        hash,
        withdrawn: true,
    }
}

fn mark_withdrawn(record: Record) -> Record {
    Record {
        withdrawn: true,
        ..record
    }
}

fn list(workspace: Option<&str>, config: &Config, output: Output) -> eyre::Result<Exit> {
    let records = keys::read(&Platform::new(config)?)?;
    let matches = |record: &Record| workspace.is_none_or(|name| record.workspace == name);
    let keys = records.into_iter().filter(matches).map(|record| Listed {
        id: record.id,
        workspace: record.workspace,
        withdrawn: record.withdrawn,
    });
    output.report(&List {
        keys: keys.collect(),
    })?;
    Ok(Exit::Done)
}
