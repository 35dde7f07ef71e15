//! The control daemon's executable.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use control::{Config, Control};
use timer::Service;
use tokio::signal::unix::{SignalKind, signal};
use wire::Denylist;

/// Keeps an entry VM's view of the fleet current.
#[derive(Debug, Parser)]
#[command(name = "teaseldoor-control", version)]
struct Cli {
    /// Settings file
    ///
    /// TOML file with the daemon's settings; see the operators' guide.
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
            eprintln!("teaseldoor-control: {error:#}");
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
        .worker_threads(1)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let control = Control::start(&config, secret, Service::new(), Denylist::new()).await?;
        signal(SignalKind::terminate())?.recv().await;
        control.stop().await;
        Ok(())
    })
}
