//! The executable that measures slopes and works out the capacity page.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use capacity::{Sizes, Slopes, measure, page};
use clap::{Parser, Subcommand};
use eyre::WrapErr;

/// Measures what each part costs and works out the cost at any size.
#[derive(Debug, Parser)]
#[command(name = "teaseldoor-capacity", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Measure all slopes and print them as TOML
    ///
    /// Runs each part at several sizes on this machine; takes some minutes.
    Measure {
        /// Measure only what depends on the number of workspaces
        #[arg(long)]
        workspaces: bool,
    },

    /// Print the page for a size
    ///
    /// Works out the costs at the sizes of one file from the slopes of another.
    Page {
        /// File with the sizes and limits
        #[arg(long, value_name = "FILE", default_value = "docs/capacity/sizes.toml")]
        sizes: PathBuf,

        /// File with the slopes, as measure prints them
        #[arg(long, value_name = "FILE", default_value = "docs/capacity/slopes.toml")]
        slopes: PathBuf,
    },
}

fn main() -> ExitCode {
    match run(&Cli::parse()) {
        Ok(output) => {
            print!("{output}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("teaseldoor-capacity: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: &Cli) -> eyre::Result<String> {
    match &cli.command {
        Command::Measure { workspaces } => {
            event::init("off")?;
            let slopes = if *workspaces {
                measure::workspaces()
            } else {
                measure::all()
            };
            Ok(toml::to_string(&slopes?)?)
        }
        Command::Page { sizes, slopes } => {
            let sizes: Sizes = read(sizes)?;
            let slopes: Slopes = read(slopes)?;
            page::render(&sizes, &slopes)
        }
    }
}

fn read<T: serde::de::DeserializeOwned>(path: &Path) -> eyre::Result<T> {
    let source =
        fs::read_to_string(path).wrap_err_with(|| format!("cannot read {}", path.display()))?;
    toml::from_str(&source).wrap_err_with(|| format!("cannot use {}", path.display()))
}
