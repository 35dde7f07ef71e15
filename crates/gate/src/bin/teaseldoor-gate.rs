//! The `teaseldoor-gate` executable.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use gate::{Config, Gate};
use timer::Service;
use tokio::signal::unix::{SignalKind, signal};
use wire::Denylist;

/// Carries callers' requests to backend servers.
#[derive(Debug, Parser)]
#[command(name = "teaseldoor-gate", version)]
struct Cli {
    /// Settings file
    ///
    /// TOML file with the gate's settings; see the operators' guide.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,

    /// Print the settings in force and exit
    ///
    /// Prints the settings, defaults included, as TOML.
    #[arg(long)]
    print_settings: bool,
}

fn main() -> ExitCode {
    match run(&Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("teaseldoor-gate: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: &Cli) -> eyre::Result<()> {
    let config = Config::read(&cli.settings)?;
    if cli.print_settings {
        print!("{}", toml::to_string(&config)?);
        return Ok(());
    }
    event::init(&config.log_level)?;
    let secret = config.secret()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let gate = Gate::start(&config, secret, Service::new(), Denylist::new()).await?;
        signal(SignalKind::terminate())?.recv().await;
        gate.stop().await;
        Ok(())
    })
}
