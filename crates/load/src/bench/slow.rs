//! Effect of slow callers on the latency of other callers.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::bench::Testbed;
use crate::caller::Target;
use crate::run::{self, Plan, runtime};

/// Number of slow callers. Each sends one byte per second.
const CALLERS: usize = 1_000;

/// Requests per second of the other callers.
const RATE: f64 = 1_000.0;

/// Connections of the other callers.
const CONNECTIONS: usize = 16;

/// Time allowed for the slow callers to connect, in seconds.
const CONNECT_S: u64 = 3;

/// Measures the latency of other callers without and with slow callers, for `seconds` seconds
/// each, and prints both.
///
/// # Errors
///
/// Fails if a thread cannot be started.
pub fn slow(testbed: &Testbed, seconds: u64) -> eyre::Result<()> {
    let plan = Plan {
        rate: RATE,
        duration: Duration::from_secs(seconds),
        connections: CONNECTIONS,
    };
    let target = testbed.through_gate();
    let mut reports = run::run(&[("without", target.clone())], plan)?;
    let callers = runtime(1)?;
    for _ in 0..CALLERS {
        callers.spawn(send_slowly(target.clone()));
    }
    std::thread::sleep(Duration::from_secs(CONNECT_S));
    reports.extend(run::run(&[("with", target)], plan)?);
    println!(
        "others at {RATE} requests/s for {seconds} s, without and with {CALLERS} slow callers"
    );
    for report in &reports {
        println!("  {report}");
    }
    Ok(())
}

/// Sends a request body at one byte per second and reconnects after a failure.
async fn send_slowly(target: Target) {
    let key = target.key.clone().unwrap_or_default();
    let head = format!(
        "PUT {} HTTP/1.1\r\nhost: backend\r\nx-workspace-key: {key}\r\ncontent-length: 60000\r\n\r\n",
        target.path
    );
    loop {
        if let Ok(mut stream) = TcpStream::connect(target.addr).await {
            let mut sent = stream.write_all(head.as_bytes()).await;
            while sent.is_ok() {
                sleep(Duration::from_secs(1)).await;
                sent = stream.write_all(b"x").await;
            }
        }
        sleep(Duration::from_secs(1)).await;
    }
}
