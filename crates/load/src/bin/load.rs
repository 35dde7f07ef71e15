//! Sends requests at a fixed rate and prints their latencies.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use load::caller::Target;
use load::run::{self, Plan};

/// Sends requests at a fixed rate and prints their latencies
///
/// Each request is sent at its due time, even if earlier responses are late, and latencies are
/// measured from the due times.
#[derive(Debug, Parser)]
#[command(name = "teaseldoor-load", version)]
struct Cli {
    /// Address to send requests to
    #[arg(value_name = "IP:PORT")]
    addr: SocketAddr,

    /// Second address, for comparison
    ///
    /// Receives the same requests at the same time.
    #[arg(long, value_name = "IP:PORT")]
    compare: Option<SocketAddr>,

    /// Requests per second to each address
    #[arg(long, default_value_t = 100.0)]
    rate: f64,

    /// Duration of the run, in seconds
    #[arg(long, default_value_t = 10, value_name = "S")]
    duration: u64,

    /// Keep-alive connections to each address
    #[arg(long, default_value_t = 16)]
    connections: usize,

    /// Path and query
    #[arg(long, default_value = "/")]
    path: String,

    /// Workspace key
    #[arg(long)]
    key: Option<String>,
}

fn main() -> ExitCode {
    match run(&Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("teaseldoor-load: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: &Cli) -> eyre::Result<()> {
    let plan = Plan {
        rate: cli.rate,
        duration: Duration::from_secs(cli.duration),
        connections: cli.connections,
    };
    let target = |addr| Target {
        addr,
        path: cli.path.clone(),
        key: cli.key.clone(),
    };
    let mut targets = vec![("first", target(cli.addr))];
    targets.extend(cli.compare.map(|addr| ("second", target(addr))));
    for report in run::run(&targets, plan)? {
        println!("{report}");
    }
    Ok(())
}
