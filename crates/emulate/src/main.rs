//! Simulates scenarios and compares placement policies.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, ValueEnum};
use emulate::tally::COLUMNS;
use emulate::{Policy, Scenario, Tally, plot, simulate};
use eyre::WrapErr;

/// Simulates scenarios in virtual time and compares placement policies
#[derive(Debug, Parser)]
#[command(name = "teaseldoor-emulate", version)]
struct Cli {
    /// Scenario files (TOML)
    #[arg(value_name = "FILE", required = true)]
    scenarios: Vec<PathBuf>,

    /// Placement policies to compare [default: all]
    #[arg(long, value_enum)]
    policy: Vec<Policy>,

    /// Seed of the random generator
    #[arg(long, default_value_t = 1)]
    seed: u64,

    /// Write a plot of credit over time for the last scenario to this SVG file
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
}

fn main() -> ExitCode {
    match run(&Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("teaseldoor-emulate: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: &Cli) -> eyre::Result<()> {
    println!("| scenario | placing | {} |", COLUMNS.join(" | "));
    println!("|---|---|{}", "---|".repeat(COLUMNS.len()));
    for path in &cli.scenarios {
        let text = std::fs::read_to_string(path);
        let text = text.wrap_err_with(|| format!("cannot read {}", path.display()))?;
        let scenario = Scenario::parse(&text).wrap_err_with(|| path.display().to_string())?;
        let tallies = compare(cli, &scenario);
        if let Some(svg) = &cli.svg {
            plot::plot(&scenario.name, &tallies, svg)?;
        }
    }
    Ok(())
}

/// Simulates a scenario with each selected policy and prints a table row for each.
fn compare(cli: &Cli, scenario: &Scenario) -> Vec<(String, Tally)> {
    let policies = match &cli.policy[..] {
        [] => Policy::value_variants(),
        selected => selected,
    };
    let mut tallies = Vec::new();
    for policy in policies {
        let tally = simulate(scenario, *policy, cli.seed);
        let name = policy.to_possible_value();
        let name = name.map_or_else(String::new, |name| name.get_name().to_owned());
        let cells: Vec<String> = tally
            .row()
            .iter()
            .map(|cell| format!("{cell:.3}"))
            .collect();
        println!("| {} | {name} | {} |", scenario.name, cells.join(" | "));
        tallies.push((name, tally));
    }
    tallies
}
