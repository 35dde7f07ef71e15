//! Executable of the operators' command-line client.

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    ops::run(&ops::Cli::parse()).into()
}
