//! Settings of the client, from the command line and the settings file.

use std::env;
use std::io::{self, IsTerminal};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use eyre::OptionExt;
use serde::Deserialize;
use wire::{Secret, settings};

use crate::cli::{Color, Common};

/// Environment variable with the name of the user who runs the command.
const USER_VARIABLE: &str = "USER";

/// Author if no name is known.
const UNKNOWN_AUTHOR: &str = "unknown";

/// Effective settings: from the command line, else from the settings file, else defaults.
#[derive(Debug, Clone)]
pub struct Config {
    /// Base URL of the platform's service.
    pub platform: Option<String>,
    /// File with the fleet's secret.
    pub secret_file: Option<PathBuf>,
    /// Control daemons to query first.
    pub daemons: Vec<SocketAddr>,
    /// Author name recorded in the history.
    pub author: String,
    /// Whether reports are printed as JSON.
    pub json: bool,
    /// Whether colours are used.
    pub colored: bool,
}

/// Content of the settings file.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Settings {
    platform: Option<String>,
    secret_file: Option<PathBuf>,
    daemons: Vec<SocketAddr>,
    author: Option<String>,
}

impl Config {
    /// Reads the settings file, if one is given, and overrides it by the command line's options.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or contains unknown settings or values of the wrong type.
    pub fn new(common: &Common) -> eyre::Result<Self> {
        let settings = match &common.settings {
            Some(path) => read(path)?,
            None => Settings::default(),
        };
        let author = common.author.clone().or(settings.author);
        let user = || env::var(USER_VARIABLE).ok();
        let daemons = match common.daemons.as_slice() {
            [] => settings.daemons,
            daemons => daemons.to_vec(),
        };
        Ok(Self {
            platform: common.platform.clone().or(settings.platform),
            secret_file: common.secret_file.clone().or(settings.secret_file),
            daemons,
            author: author
                .or_else(user)
                .unwrap_or_else(|| UNKNOWN_AUTHOR.to_owned()),
            json: common.json,
            colored: colored(common),
        })
    }

    /// Returns the base URL of the platform's service.
    ///
    /// # Errors
    ///
    /// Fails if none is set.
    pub fn platform(&self) -> eyre::Result<&str> {
        let platform = self.platform.as_deref();
        platform.ok_or_eyre("no platform is set; use --platform or the settings file")
    }

    /// Reads the fleet's secret.
    ///
    /// # Errors
    ///
    /// Fails if no file is set, or if the file cannot be read or does not contain a secret.
    pub fn secret(&self) -> eyre::Result<Secret> {
        let path = self
            .secret_file
            .as_ref()
            .ok_or_eyre("no secret file is set; use --secret-file or the settings file")?;
        settings::secret(path)
    }
}

/// Reads a settings file. The path of a relative secret file is relative to its directory.
fn read(path: &Path) -> eyre::Result<Settings> {
    let mut settings: Settings = settings::read(path)?;
    let directory = path.parent().unwrap_or(Path::new(""));
    settings.secret_file = settings.secret_file.map(|file| directory.join(file));
    Ok(settings)
}

fn colored(common: &Common) -> bool {
    match common.color {
        Color::Always => true,
        Color::Never => false,
        Color::Auto => {
            let disabled = env::var_os("NO_COLOR").is_some_and(|value| !value.is_empty());
            !common.json && !disabled && io::stdout().is_terminal()
        }
    }
}
