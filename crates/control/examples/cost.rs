//! Measures the cost of the control daemons at several sizes: calls to the platform and bytes between
//! daemons.
//!
//! Run with `cargo run --release -p control --example cost`. Sizes are given as
//! `ZONESxVMS_PER_ZONE` arguments.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::{Duration, Instant};

use common::{Cluster, TEXT, key_record};
use standin::platform::Outage;
use wire::status::Status;

/// Duration of the steady-state measurement, in seconds.
const MEASURE_S: u64 = 20;

/// Duration of an outage before its measurement, and of the measurement, in seconds.
const OUTAGE_S: u64 = 10;

/// Cost at one size.
struct Cost {
    daemons: usize,
    reads_per_s: f64,
    writes_per_s: f64,
    mean_bytes_per_s: f64,
    max_bytes_per_s: f64,
    text_ms: u128,
    withdrawal_ms: u128,
    fresh_ms: u64,
    leader_ms: u128,
    recovery_ms: u128,
    outage_fresh_ms: u64,
    outage_bytes_per_s: f64,
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("runtime starts");
    let sizes: Vec<(usize, usize)> = sizes();
    println!(
        "{:>6} {:>8} {:>8} {:>8} {:>9} {:>10} {:>10} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9}",
        "zones",
        "vms/zone",
        "reads/s",
        "writes/s",
        "reads/z/s",
        "mean B/s",
        "max B/s",
        "text ms",
        "drop ms",
        "fresh ms",
        "elect ms",
        "rec. ms",
        "out fresh",
        "out B/s"
    );
    let mut costs = Vec::new();
    for (zones, per_zone) in sizes {
        let cost = runtime.block_on(measure(zones, per_zone));
        #[allow(clippy::cast_precision_loss)]
        let per_zone_reads = cost.reads_per_s / zones as f64;
        println!(
            "{zones:>6} {per_zone:>8} {:>8.1} {:>8.1} {per_zone_reads:>9.1} {:>10.0} {:>10.0} \
             {:>8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9.0}",
            cost.reads_per_s,
            cost.writes_per_s,
            cost.mean_bytes_per_s,
            cost.max_bytes_per_s,
            cost.text_ms,
            cost.withdrawal_ms,
            cost.fresh_ms,
            cost.leader_ms,
            cost.recovery_ms,
            cost.outage_fresh_ms,
            cost.outage_bytes_per_s,
        );
        costs.push(cost);
    }
    print_slope("reads/s", &costs, |cost| cost.reads_per_s);
    print_slope("writes/s", &costs, |cost| cost.writes_per_s);
    print_slope("mean B/s", &costs, |cost| cost.mean_bytes_per_s);
    print_slope("max B/s", &costs, |cost| cost.max_bytes_per_s);
}

fn sizes() -> Vec<(usize, usize)> {
    let requested = std::env::args().skip(1).filter_map(|size| {
        let (zones, per_zone) = size.split_once('x')?;
        Some((zones.parse().ok()?, per_zone.parse().ok()?))
    });
    let requested: Vec<(usize, usize)> = requested.collect();
    if requested.is_empty() {
        return vec![(2, 2), (4, 2), (4, 4), (4, 8)];
    }
    requested
}

async fn measure(zones: usize, per_zone: usize) -> Cost {
    let mut cluster = Cluster::start(zones, per_zone).await;
    cluster.settle().await;
    cluster.write_key(key_record(1, false)).await;
    cluster
        .wait_until("key record", |status| status.keys == 1)
        .await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let calls = calls(&cluster);
    let before = cluster.statuses();
    let start = Instant::now();
    let fresh_ms = oldest_proof(&cluster, Duration::from_secs(MEASURE_S)).await;
    let seconds = start.elapsed().as_secs_f64();
    let after = cluster.statuses();
    let (reads, writes) = self::calls(&cluster);
    let rates = bytes_per_s(&before, &after, seconds);
    cluster.write_text(1, TEXT).await;
    let text = cluster
        .wait_until("configuration", |status| status.revision == 1)
        .await;
    cluster.write_key(key_record(1, true)).await;
    let withdrawal = cluster
        .wait_until("withdrawal", |status| status.withdrawn == 1)
        .await;
    let (leader, recovery) = replace_leader(&mut cluster).await;
    let (outage_fresh_ms, outage_bytes_per_s) = outage(&cluster).await;
    #[allow(clippy::cast_precision_loss)]
    Cost {
        daemons: zones * per_zone,
        reads_per_s: (reads - calls.0) as f64 / seconds,
        writes_per_s: (writes - calls.1) as f64 / seconds,
        mean_bytes_per_s: rates.iter().sum::<f64>() / rates.len() as f64,
        max_bytes_per_s: rates.iter().copied().fold(0.0, f64::max),
        text_ms: text.as_millis(),
        withdrawal_ms: withdrawal.as_millis(),
        fresh_ms,
        leader_ms: leader.as_millis(),
        recovery_ms: recovery.as_millis(),
        outage_fresh_ms,
        outage_bytes_per_s,
    }
}

/// Measures an outage of the platform once all proofs of freshness come from other zones.
/// Returns the maximum age of a proof and the maximum bytes per second of a daemon.
async fn outage(cluster: &Cluster) -> (u64, f64) {
    tokio::time::sleep(Duration::from_secs(OUTAGE_S)).await;
    let before = cluster.statuses();
    let start = Instant::now();
    let oldest = oldest_proof(cluster, Duration::from_secs(OUTAGE_S)).await;
    let after = cluster.statuses();
    let rates = bytes_per_s(&before, &after, start.elapsed().as_secs_f64());
    (oldest, rates.into_iter().fold(0.0, f64::max))
}

/// Returns the maximum age of a proof of freshness at any daemon.
async fn oldest_proof(cluster: &Cluster, time: Duration) -> u64 {
    let start = Instant::now();
    let mut oldest = 0;
    while start.elapsed() < time {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let ages = cluster.statuses().into_iter();
        let ages = ages.map(|status| status.keys_age_ms.unwrap_or(u64::MAX));
        oldest = oldest.max(ages.max().unwrap_or(0));
    }
    oldest
}

/// Kills the leader of a zone and restarts its VM while the platform is down. Returns the times
/// until the zone has a new leader and until the VM has the configuration and the keys again.
async fn replace_leader(cluster: &mut Cluster) -> (Duration, Duration) {
    let zone = cluster.statuses()[0].zone.clone();
    let crashed = cluster.statuses()[0]
        .zone_leader
        .clone()
        .expect("zone has a leader");
    cluster.kill(&crashed).await;
    let other = |status: &Status| {
        status
            .zone_leader
            .as_ref()
            .is_some_and(|leader| *leader != crashed)
    };
    let leader = cluster
        .wait_until("new leader", |status| status.zone != zone || other(status))
        .await;
    cluster.platform.faults().set_outage(Outage::Close);
    let seed = cluster.daemons[0].control.addr();
    cluster.add(&crashed, &zone, &[seed]).await;
    let recovery = cluster
        .wait_until("state after restart", |status| {
            status.revision == 1 && status.withdrawn == 1
        })
        .await;
    (leader, recovery)
}

fn calls(cluster: &Cluster) -> (u64, u64) {
    let counts = cluster.platform.counts();
    (counts.read + counts.watch, counts.write + counts.lease)
}

#[allow(clippy::cast_precision_loss)]
fn bytes_per_s(before: &[Status], after: &[Status], seconds: f64) -> Vec<f64> {
    let bytes = |status: &Status| status.sent_bytes + status.received_bytes;
    let pairs = before.iter().zip(after);
    pairs
        .map(|(before, after)| (bytes(after) - bytes(before)) as f64 / seconds)
        .collect()
}

/// Prints the least-squares fit of `value` over the number of daemons.
#[allow(clippy::cast_precision_loss)]
fn print_slope(name: &str, costs: &[Cost], value: impl Fn(&Cost) -> f64) {
    let count = costs.len() as f64;
    let mean_x = costs.iter().map(|cost| cost.daemons as f64).sum::<f64>() / count;
    let mean_y = costs.iter().map(&value).sum::<f64>() / count;
    let products = costs
        .iter()
        .map(|cost| (cost.daemons as f64 - mean_x) * (value(cost) - mean_y));
    let squares = costs
        .iter()
        .map(|cost| (cost.daemons as f64 - mean_x).powi(2));
    let slope = products.sum::<f64>() / squares.sum::<f64>();
    println!(
        "{name}: {slope:.3} per daemon, {:.1} at none",
        mean_y - slope * mean_x
    );
}
