//! Runs the platform stand-in until it is ended.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread;

use clap::Parser;
use standin::listener::Listener;
use standin::platform::{FaultSettings, Platform, Settings};

/// Stand-in for the platform's key-value service and VM list.
///
/// Speaks a subset of the Consul HTTP API. Keeps everything in memory. Faults are set with
/// `PUT /standin/faults`, calls are counted at `GET /standin/counts`.
#[derive(Debug, Parser)]
#[command(version)]
struct Options {
    /// Address to listen on
    ///
    /// Port 0 picks a free port; the address in use is printed.
    #[arg(long, short, default_value = "127.0.0.1:8500", value_name = "IP:PORT")]
    listen: SocketAddr,

    /// Further address to listen on, may be repeated
    ///
    /// Each availability zone can be given an address of its own.
    #[arg(long, value_name = "IP:PORT")]
    listen_also: Vec<SocketAddr>,

    /// Delay of each call in milliseconds
    #[arg(long, default_value_t = 0, value_name = "MS")]
    delay_ms: u64,

    /// Age of the VM list as read, in milliseconds
    #[arg(long, default_value_t = 0, value_name = "MS")]
    list_lag_ms: u64,
}

fn main() -> ExitCode {
    match run(&Options::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("teaseldoor-platform: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: &Options) -> eyre::Result<()> {
    let faults = FaultSettings {
        delay_ms: options.delay_ms,
        list_lag_ms: options.list_lag_ms,
        ..FaultSettings::default()
    };
    let platform = Platform::start(options.listen, Settings { faults })?;
    println!("listening on {}", platform.addr());
    let further = options
        .listen_also
        .iter()
        .map(|addr| platform.listen_also(*addr));
    let further: Vec<Listener> = further.collect::<eyre::Result<_>>()?;
    for listener in &further {
        println!("listening on {}", listener.addr());
    }
    loop {
        thread::park();
    }
}
