//! Prints what control costs at several sizes: calls to the platform and bytes between daemons.
//!
//! Run with `cargo run --release -p control --example cost`. Sizes can be given as
//! `ZONESxVMS_PER_ZONE` arguments.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::{Duration, Instant};

use common::{Cluster, TEXT, key_record};
use standin::platform::Outage;
use wire::status::Status;

/// Time over which steady state is measured, in seconds.
const MEASURE_S: u64 = 20;

/// Time that an outage lasts before it is measured, and over which it is, in seconds.
const OUTAGE_S: u64 = 10;

/// What one size cost.
struct Cost {
    daemons: usize,
    reads_per_s: f64,
    writes_per_s: f64,
    mean_bytes_per_s: f64,
    most_bytes_per_s: f64,
    text_ms: u128,
    withdrawal_ms: u128,
    fresh_ms: u64,
    lead_ms: u128,
    back_ms: u128,
    outage_fresh_ms: u64,
    outage_bytes_per_s: f64,
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let sizes: Vec<(usize, usize)> = sizes();
    println!(
        "{:>6} {:>8} {:>8} {:>8} {:>9} {:>10} {:>10} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9}",
        "zones",
        "vms/zone",
        "reads/s",
        "writes/s",
        "reads/z/s",
        "mean B/s",
        "most B/s",
        "text ms",
        "drop ms",
        "fresh ms",
        "lead ms",
        "back ms",
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
            cost.most_bytes_per_s,
            cost.text_ms,
            cost.withdrawal_ms,
            cost.fresh_ms,
            cost.lead_ms,
            cost.back_ms,
            cost.outage_fresh_ms,
            cost.outage_bytes_per_s,
        );
        costs.push(cost);
    }
    print_slope("reads/s", &costs, |cost| cost.reads_per_s);
    print_slope("writes/s", &costs, |cost| cost.writes_per_s);
    print_slope("mean B/s", &costs, |cost| cost.mean_bytes_per_s);
    print_slope("most B/s", &costs, |cost| cost.most_bytes_per_s);
}

fn sizes() -> Vec<(usize, usize)> {
    let given = std::env::args().skip(1).filter_map(|size| {
        let (zones, per_zone) = size.split_once('x')?;
        Some((zones.parse().ok()?, per_zone.parse().ok()?))
    });
    let given: Vec<(usize, usize)> = given.collect();
    if given.is_empty() {
        return vec![(2, 2), (4, 2), (4, 4), (4, 8)];
    }
    given
}

async fn measure(zones: usize, per_zone: usize) -> Cost {
    let mut cluster = Cluster::start(zones, per_zone).await;
    cluster.settle().await;
    cluster.write_key(key_record(1, false)).await;
    cluster.until("the key", |status| status.keys == 1).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let calls = calls(&cluster);
    let before = cluster.statuses();
    let begun = Instant::now();
    let fresh_ms = oldest_proof(&cluster, Duration::from_secs(MEASURE_S)).await;
    let seconds = begun.elapsed().as_secs_f64();
    let after = cluster.statuses();
    let (reads, writes) = self::calls(&cluster);
    let rates = bytes_per_s(&before, &after, seconds);
    cluster.write_text(1, TEXT).await;
    let text = cluster
        .until("the text", |status| status.revision == 1)
        .await;
    cluster.write_key(key_record(1, true)).await;
    let withdrawal = cluster
        .until("the withdrawal", |status| status.withdrawn == 1)
        .await;
    let (lead, back) = replace_lead(&mut cluster).await;
    let (outage_fresh_ms, outage_bytes_per_s) = outage(&cluster).await;
    #[allow(clippy::cast_precision_loss)]
    Cost {
        daemons: zones * per_zone,
        reads_per_s: (reads - calls.0) as f64 / seconds,
        writes_per_s: (writes - calls.1) as f64 / seconds,
        mean_bytes_per_s: rates.iter().sum::<f64>() / rates.len() as f64,
        most_bytes_per_s: rates.iter().copied().fold(0.0, f64::max),
        text_ms: text.as_millis(),
        withdrawal_ms: withdrawal.as_millis(),
        fresh_ms,
        lead_ms: lead.as_millis(),
        back_ms: back.as_millis(),
        outage_fresh_ms,
        outage_bytes_per_s,
    }
}

/// Measures an outage of the platform once proofs of freshness come from the other zones alone.
/// Returns the greatest age of a proof and the most bytes per second of a daemon.
async fn outage(cluster: &Cluster) -> (u64, f64) {
    tokio::time::sleep(Duration::from_secs(OUTAGE_S)).await;
    let before = cluster.statuses();
    let begun = Instant::now();
    let oldest = oldest_proof(cluster, Duration::from_secs(OUTAGE_S)).await;
    let after = cluster.statuses();
    let rates = bytes_per_s(&before, &after, begun.elapsed().as_secs_f64());
    (oldest, rates.into_iter().fold(0.0, f64::max))
}

/// Returns the greatest age that a proof of freshness reaches at any daemon.
async fn oldest_proof(cluster: &Cluster, time: Duration) -> u64 {
    let begun = Instant::now();
    let mut oldest = 0;
    while begun.elapsed() < time {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let ages = cluster.statuses().into_iter();
        let ages = ages.map(|status| status.keys_age_ms.unwrap_or(u64::MAX));
        oldest = oldest.max(ages.max().unwrap_or(0));
    }
    oldest
}

/// Ends the lead of a zone and starts its VM again while the platform is down. Returns the times
/// until the zone has another lead and until the VM has the text and the keys again.
async fn replace_lead(cluster: &mut Cluster) -> (Duration, Duration) {
    let zone = cluster.statuses()[0].zone.clone();
    let dead = cluster.statuses()[0].zone_leader.clone().expect("a lead");
    cluster.kill(&dead).await;
    let other = |status: &Status| {
        status
            .zone_leader
            .as_ref()
            .is_some_and(|lead| *lead != dead)
    };
    let lead = cluster
        .until("another lead", |status| {
            status.zone != zone || other(status)
        })
        .await;
    cluster.platform.faults().set_outage(Outage::Close);
    let seed = cluster.daemons[0].control.addr();
    cluster.add(&dead, &zone, &[seed]).await;
    let back = cluster
        .until("the VM again", |status| {
            status.revision == 1 && status.withdrawn == 1
        })
        .await;
    (lead, back)
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

/// Prints the least-squares line of `value` over the number of daemons.
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
