//! Reads a process's settings and secret from files.

use std::fs;
use std::path::Path;

use eyre::{WrapErr, eyre};
use serde::de::DeserializeOwned;

use crate::secret::Secret;

/// Reads settings from a TOML file.
///
/// # Errors
///
/// Fails with a one-line message if the file cannot be read or contains unknown settings or
/// settings of the wrong type.
pub fn read<T: DeserializeOwned>(path: &Path) -> eyre::Result<T> {
    let source = read_text(path)?;
    toml::from_str(&source).map_err(|error| {
        let start = error.span().map_or(0, |span| span.start.min(source.len()));
        let line = source[..start].matches('\n').count() + 1;
        eyre!("{}:{line}: {}", path.display(), error.message())
    })
}

/// Reads the fleet secret from a file.
///
/// # Errors
///
/// Fails if the file cannot be read or does not contain a valid secret.
pub fn secret(path: &Path) -> eyre::Result<Secret> {
    let digits = read_text(path)?;
    digits
        .parse()
        .wrap_err_with(|| format!("cannot use {}", path.display()))
}

fn read_text(path: &Path) -> eyre::Result<String> {
    fs::read_to_string(path).wrap_err_with(|| format!("cannot read {}", path.display()))
}
