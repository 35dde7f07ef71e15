//! The demonstration's executable.

use std::process::ExitCode;

use clap::Parser;
use demo::{Fleet, Shape, report, script};

/// Runs the whole system in one process and shows what callers see while things fail.
#[derive(Debug, Parser)]
#[command(name = "teaseldoor-demo", version)]
struct Cli {
    /// Stay up instead of running the script
    ///
    /// Starts the fleet, prints its addresses and a workspace key to try with curl, and serves
    /// until interrupted.
    #[arg(long)]
    serve: bool,

    /// Least severe level that is logged
    ///
    /// One of off, error, warn, info and debug. Events are described in docs/EVENTS.md.
    #[arg(long, value_name = "LEVEL", default_value = "off")]
    log: String,
}

fn main() -> ExitCode {
    match run(&Cli::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("teaseldoor-demo: a promise was broken");
            ExitCode::from(2)
        }
        Err(error) => {
            eprintln!("teaseldoor-demo: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Returns whether every promise was kept.
fn run(cli: &Cli) -> eyre::Result<bool> {
    event::init(&cli.log)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut fleet = Fleet::start(Shape::new()).await?;
        if cli.serve {
            serve(&fleet).await?;
            return Ok(true);
        }
        let rows = script::run(&mut fleet).await?;
        println!("{}", report::heading());
        for row in &rows {
            println!("{row}");
        }
        Ok(rows.iter().all(|row| row.broken.is_none()))
    })
}

async fn serve(fleet: &Fleet) -> eyre::Result<()> {
    let key = fleet.operator.give("alder").await?;
    let gate = fleet.vms[0].gate.addr();
    for vm in &fleet.vms {
        println!(
            "{}  gate {}  control {}",
            vm.name,
            vm.gate.addr(),
            vm.control.addr()
        );
    }
    println!("platform  http://{}", fleet.platform.addr());
    println!("curl 'http://{gate}/.well-known/teaseldoor/entry?client=10.1.0.1'");
    println!(
        "curl -H 'x-workspace-key: {}' http://{gate}/reader",
        key.reveal()
    );
    tokio::signal::ctrl_c().await?;
    Ok(())
}
