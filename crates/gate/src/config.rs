//! Settings of a gate.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use wire::{Secret, settings};

/// Settings of a gate, read from its TOML file.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name of the VM, unique in the fleet.
    pub vm: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Address that callers connect to.
    pub listen: SocketAddr,
    /// Address of the control daemon on the same VM.
    pub control: SocketAddr,
    /// File with the fleet's secret as hexadecimal digits.
    pub secret_file: PathBuf,
    /// Minimum log level.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// Address of the metrics collector; no metrics are sent if absent.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Limits on resources used by callers.
    #[serde(default)]
    pub limits: Limits,
    /// Maximum time that a graceful shutdown waits for requests in flight, in milliseconds.
    #[serde(default = "default_shutdown_ms")]
    pub shutdown_ms: u64,
}

/// Limits on resources used by callers.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of concurrent connections from callers.
    pub connections: usize,
    /// Maximum time for a request head to arrive, in milliseconds.
    pub head_ms: u64,
    /// Maximum time that a connection is kept without a request, in milliseconds.
    pub idle_ms: u64,
    /// Maximum time to wait for the next byte of a request body, in milliseconds.
    pub body_ms: u64,
    /// Minimum average rate of a request body, in bytes per second. It applies once `body_ms` have
    /// passed.
    pub body_bytes_per_s: u64,
    /// Maximum time in which a caller reads no byte of a response, in milliseconds.
    pub write_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            head_ms: 10_000,
            idle_ms: 60_000,
            body_ms: 15_000,
            body_bytes_per_s: 128,
            write_ms: 30_000,
        }
    }
}

fn default_log_level() -> String {
    "info".to_owned()
}

fn default_shutdown_ms() -> u64 {
    60_000
}

impl Config {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or contains unknown or ill-typed settings.
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
