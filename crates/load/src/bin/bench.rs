//! Benchmarks a gate in front of a backend server, all in one process, and prints the results.

use std::process::ExitCode;

use clap::{Parser, ValueEnum};
use load::bench::{self, Testbed};

/// Benchmarks a gate in front of a backend server, all in one process
#[derive(Debug, Parser)]
#[command(name = "teaseldoor-bench", version)]
struct Cli {
    /// Benchmarks to run; all if absent
    #[arg(value_enum)]
    what: Vec<What>,

    /// Length of each measured run, in seconds
    #[arg(long, default_value_t = 20, value_name = "S")]
    duration: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum What {
    /// Memory with 2,000 idle callers
    Idle,
    /// Latency that the gate adds
    Latency,
    /// Memory while 1 GiB is uploaded and downloaded
    Transfer,
    /// Latency with 1,000 slow callers connected
    Slow,
}

fn main() -> ExitCode {
    match run(&Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("teaseldoor-bench: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: &Cli) -> eyre::Result<()> {
    event::init("off")?;
    let all = What::value_variants();
    let selected = if cli.what.is_empty() { all } else { &cli.what };
    for what in selected {
        let testbed = Testbed::new()?;
        match what {
            What::Idle => bench::idle(&testbed)?,
            What::Latency => bench::latency(&testbed, cli.duration)?,
            What::Transfer => bench::transfer(&testbed)?,
            What::Slow => bench::slow(&testbed, cli.duration)?,
        }
        testbed.stop();
    }
    Ok(())
}
