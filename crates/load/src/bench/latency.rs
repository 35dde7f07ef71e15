//! Latency added by the gate.

use std::time::Duration;

use crate::bench::Testbed;
use crate::run::{self, Plan};

/// Requests per second to each target: the backend server directly and through the gate.
const RATE: f64 = 2_000.0;

/// Connections to each target.
const CONNECTIONS: usize = 32;

/// Duration of the warm-up run, in seconds.
const WARM_UP_S: u64 = 2;

/// Sends requests directly and through the gate for `seconds` seconds, and prints both latencies
/// and their difference.
///
/// # Errors
///
/// Fails if a thread cannot be started.
pub fn latency(testbed: &Testbed, seconds: u64) -> eyre::Result<()> {
    let targets = [
        ("direct", testbed.direct()),
        ("through gate", testbed.through_gate()),
    ];
    let plan = |seconds| Plan {
        rate: RATE,
        duration: Duration::from_secs(seconds),
        connections: CONNECTIONS,
    };
    run::run(&targets, plan(WARM_UP_S))?;
    let reports = run::run(&targets, plan(seconds))?;
    println!("latency at {RATE} requests/s for {seconds} s on {CONNECTIONS} connections each");
    for report in &reports {
        println!("  {report}");
    }
    for (name, quantile) in [("median", 0.5), ("p99", 0.99)] {
        let added_us = reports[1].quantile_us(quantile).cast_signed()
            - reports[0].quantile_us(quantile).cast_signed();
        println!("  added {name}: {added_us} us");
    }
    Ok(())
}
