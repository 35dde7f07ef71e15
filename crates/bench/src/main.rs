//! Compares the steering crates with simple policies in virtual time and measures how long planning
//! takes and how much memory it needs.

mod backend;
mod bucket;
mod fleet;
mod gate;
mod planning;
mod policy;
mod record;
mod run;

use clap::{Parser, Subcommand};

use crate::policy::Policy;

/// Measurements of steering decisions.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Compare policies under load and faults.
    Policies {
        /// Seed of all random numbers.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Length of a run in virtual seconds.
        #[arg(long, default_value_t = 240)]
        seconds: u64,
    },
    /// Measure the time of making a plan.
    Planning,
}

fn main() -> eyre::Result<()> {
    match Cli::parse().command {
        Command::Policies { seed, seconds } => policies(seed, seconds),
        Command::Planning => planning::run(),
    }
}

fn policies(seed: u64, seconds: u64) -> eyre::Result<()> {
    println!("{}", record::HEADER);
    println!("{}", record::RULE);
    let shapes = [
        ("isartal", include_str!("../../../examples/isartal.toml")),
        ("nightjar", include_str!("../../../examples/nightjar.toml")),
    ];
    for (name, source) in shapes {
        let text = text::parse(source).map_err(|problems| eyre::eyre!("{problems:?}"))?;
        for policy in Policy::ALL {
            let record = run::Run::new(&text, policy, seed).simulate(seconds)?;
            println!("{}", record.row(name, policy, seconds));
        }
    }
    Ok(())
}
