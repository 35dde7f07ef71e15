//! Settings of a control daemon.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use wire::{Secret, settings};

/// Settings of a control daemon, as read from its TOML file.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name of the VM, unique in the fleet.
    pub vm: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Address on which gates, other control daemons and operators connect.
    pub peer: SocketAddr,
    /// Base URL of the platform's HTTP service.
    pub platform: String,
    /// Addresses of other control daemons to contact at startup, in addition to the platform.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// File containing the fleet's secret as hexadecimal digits.
    pub secret_file: PathBuf,
    /// Least severe level that is logged.
    #[serde(default = "default_log_level")]
    pub log_level: String,
}

fn default_log_level() -> String {
    "info".to_owned()
}

impl Config {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or holds unknown or ill-typed settings.
    pub fn read(path: &Path) -> eyre::Result<Self> {
        settings::read(path)
    }

    /// Reads the fleet's secret.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or does not contain a valid secret.
    pub fn secret(&self) -> eyre::Result<Secret> {
        settings::secret(&self.secret_file)
    }
}
