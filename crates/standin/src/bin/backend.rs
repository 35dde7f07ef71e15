//! Runs a backend server stand-in until it is ended.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use clap::Parser;
use standin::backend::{Backend, Settings};

/// Stand-in for a backend server.
///
/// Runs a limited number of requests at once and answers each with a description of itself.
/// Requests beyond the limit are refused with status 503 and the header
/// `x-backend-shed: not-run`.
#[derive(Debug, Parser)]
#[command(version)]
struct Options {
    /// Address to listen on
    ///
    /// Port 0 picks a free port; the address in use is printed.
    #[arg(long, short, default_value = "127.0.0.1:9000", value_name = "IP:PORT")]
    listen: SocketAddr,

    /// Name that answers carry
    #[arg(long, default_value = "backend")]
    name: String,

    /// Service that answers carry
    #[arg(long, default_value = "service")]
    service: String,

    /// Requests that may run at once
    #[arg(long, default_value_t = 4)]
    slots: usize,

    /// Time that a request runs, in milliseconds
    #[arg(long, default_value_t = 10, value_name = "MS")]
    service_time_ms: u64,

    /// Time from the start until requests run at full speed, in seconds
    #[arg(long, default_value_t = 0, value_name = "S")]
    cold_start_s: u64,

    /// Factor on the service time at the start
    ///
    /// The factor falls evenly to 1 over the cold start.
    #[arg(long, default_value_t = 3.0, value_name = "FACTOR")]
    cold_factor: f64,

    /// Age of the health endpoint's answers, in milliseconds
    #[arg(long, default_value_t = 0, value_name = "MS")]
    health_lag_ms: u64,

    /// Text in a request's body that crashes the backend server
    #[arg(long, value_name = "TEXT")]
    crash_marker: Option<String>,
}

fn main() -> ExitCode {
    match run(Options::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("teaseldoor-backend: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: Options) -> eyre::Result<()> {
    let settings = Settings {
        name: options.name,
        service: options.service,
        slots: options.slots,
        service_time: Duration::from_millis(options.service_time_ms),
        cold_start: Duration::from_secs(options.cold_start_s),
        cold_factor: options.cold_factor,
        health_lag: Duration::from_millis(options.health_lag_ms),
        crash_marker: options.crash_marker,
        ..Settings::default()
    };
    let backend = Backend::start(options.listen, settings)?;
    println!("listening on {}", backend.addr());
    loop {
        thread::park();
    }
}
