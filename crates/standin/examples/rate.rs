//! Prints the rate and latency of both stand-ins under steady load on kept-alive connections.
//!
//! Run with `cargo run --release -p standin --example rate`.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use standin::backend::{Backend, Settings};
use standin::platform::{Platform, Settings as PlatformSettings};
use ureq::Agent;

const CONNECTIONS: u32 = 330;
const RATE_PER_S: u32 = 2_000;
const SECONDS: u32 = 5;

fn main() -> eyre::Result<()> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = Platform::start(any_port, PlatformSettings::default())?;
    let settings = Settings {
        slots: 1_000,
        service_time: Duration::ZERO,
        ..Settings::default()
    };
    let backend = Backend::start(any_port, settings)?;
    let key = format!("http://{}/v1/kv/plan", platform.addr());
    ureq::put(&key).send("v".repeat(20_000))?;
    println!("{CONNECTIONS} connections, {RATE_PER_S} requests/s asked for, {SECONDS} s");
    println!(
        "{:<32}{:>10}{:>10}{:>10}{:>10}",
        "target", "per s", "p50 ms", "p99 ms", "failed"
    );
    measure("platform read of 20,000 bytes", &key);
    measure("backend echo", &format!("http://{}/work", backend.addr()));
    measure(
        "backend answer of 5,000 bytes",
        &format!("http://{}/bytes/5000", backend.addr()),
    );
    Ok(())
}

/// Calls `url` at the rate from all connections and prints what came of it.
fn measure(name: &str, url: &str) {
    let period = Duration::from_secs(1) * CONNECTIONS / RATE_PER_S;
    let calls_each = RATE_PER_S * SECONDS / CONNECTIONS;
    let started = Instant::now();
    let callers = (0..CONNECTIONS).map(|caller| {
        let url = url.to_owned();
        thread::spawn(move || call(&url, calls_each, period, period * caller / CONNECTIONS))
    });
    let callers: Vec<_> = callers.collect();
    let results = callers
        .into_iter()
        .flat_map(|caller| caller.join().unwrap_or_default());
    let results: Vec<Option<Duration>> = results.collect();
    let elapsed = started.elapsed().as_secs_f64();
    let mut latencies: Vec<Duration> = results.iter().flatten().copied().collect();
    latencies.sort_unstable();
    let count = u32::try_from(latencies.len()).unwrap_or(u32::MAX);
    println!(
        "{name:<32}{:>10.0}{:>10.2}{:>10.2}{:>10}",
        f64::from(count) / elapsed,
        percentile(&latencies, 50),
        percentile(&latencies, 99),
        results.len() - latencies.len(),
    );
}

/// Latencies of `calls` calls, one each `period`; `None` for a failed call.
fn call(url: &str, calls: u32, period: Duration, offset: Duration) -> Vec<Option<Duration>> {
    let agent = Agent::new_with_defaults();
    let first = Instant::now() + offset;
    let mut results = Vec::new();
    for number in 0..calls {
        let due = first + period * number;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let body = agent
            .get(url)
            .call()
            .and_then(|mut response| response.body_mut().read_to_vec());
        results.push(body.ok().map(|_| due.elapsed()));
    }
    results
}

/// A percentile of sorted latencies in milliseconds; 0 if there are none.
fn percentile(sorted: &[Duration], percent: usize) -> f64 {
    let position = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted
        .get(position)
        .map_or(0.0, |latency| latency.as_secs_f64() * 1e3)
}
