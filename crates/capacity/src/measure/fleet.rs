//! Whole fleets at rest.

use std::fs;
use std::time::{Duration, Instant};

use cpu_time::ProcessTime;
use demo::shape::ServiceShape;
use demo::{Fleet, Shape};
use tokio::runtime::Runtime;
use wire::status::Status;

use super::float;
use crate::slope::{Slope, Slopes};

/// Entry VMs in each zone that are measured, with [`FEW_ZONES`].
const VMS: [usize; 4] = [2, 4, 8, 16];

/// Zones in each of two regions that are measured, with [`FEW_VMS`].
const ZONES: [usize; 4] = [1, 2, 4, 8];

/// Zones in each region while the VMs vary.
const FEW_ZONES: usize = 1;

/// Entry VMs in each zone while the zones vary.
const FEW_VMS: usize = 2;

/// Workspaces that are measured, with [`FEW_VMS`] in a zone of each region.
const WORKSPACES: [usize; 3] = [2, 8, 16];

/// Names of the measured workspaces.
const NAMES: [&str; 16] = [
    "w00", "w01", "w02", "w03", "w04", "w05", "w06", "w07", "w08", "w09", "w10", "w11", "w12",
    "w13", "w14", "w15",
];

/// Time that a fleet needs until its leads have settled, in milliseconds.
const SETTLE_MS: u64 = 8_000;

/// Time over which a fleet at rest is measured, in milliseconds.
const MEASURE_MS: u64 = 10_000;

/// Longest wait until a change is in force, in milliseconds.
const CHANGE_MS: u64 = 20_000;

/// Pause between two looks whether a change is in force, in milliseconds.
const LOOK_MS: u64 = 5;

/// What a fleet costs at rest.
#[derive(Debug)]
struct Cost {
    /// Processor time of the whole process for one VM, in percent of a core.
    core_percent: f64,
    /// Memory of the whole process for one VM, in megabytes.
    megabytes: f64,
    /// Mean bytes sent and received by a daemon, per second.
    mean_bytes: f64,
    /// Bytes sent and received by the busiest daemon, per second.
    most_bytes: f64,
    /// Reads at the platform by one zone, per second.
    reads: f64,
    /// Writes at the platform by one zone, per second.
    writes: f64,
    /// Time until a change is in force at every gate, in milliseconds.
    change_ms: f64,
}

/// Measures fleets of several sizes.
pub fn measure(slopes: &mut Slopes) -> eyre::Result<()> {
    let mut by_vms = Costs::new("VMs in a zone");
    for vms in VMS {
        by_vms.push(vms, &cost(FEW_ZONES, vms, WORKSPACES[0])?);
    }
    by_vms.insert(slopes, "vms");
    let mut by_zones = Costs::new("zones");
    for zones in ZONES {
        by_zones.push(2 * zones, &cost(zones, FEW_VMS, WORKSPACES[0])?);
    }
    by_zones.insert(slopes, "zones");
    Ok(())
}

/// Measures fleets with several numbers of workspaces.
pub fn measure_workspaces(slopes: &mut Slopes) -> eyre::Result<()> {
    let mut by_workspaces = Costs::new("workspaces");
    for workspaces in WORKSPACES {
        by_workspaces.push(workspaces, &cost(FEW_ZONES, FEW_VMS, workspaces)?);
    }
    by_workspaces.insert(slopes, "workspaces");
    Ok(())
}

/// Slopes over one kind of size.
#[derive(Debug)]
struct Costs {
    slopes: Vec<(&'static str, Slope)>,
}

impl Costs {
    fn new(size: &str) -> Self {
        let slope = |name, cost| (name, Slope::new(size, cost));
        Self {
            slopes: vec![
                slope("core", "gate and control daemon of one VM, % of a core"),
                slope("memory", "gate and control daemon of one VM, MB"),
                slope("mean-bytes", "mean daemon, bytes/s sent and received"),
                slope("most-bytes", "busiest daemon, bytes/s sent and received"),
                slope("reads", "one zone at the platform, reads/s"),
                slope("writes", "one zone at the platform, writes/s"),
                slope("change-ms", "change in force at every gate, ms"),
            ],
        }
    }

    fn push(&mut self, size: usize, cost: &Cost) {
        let values = [
            cost.core_percent,
            cost.megabytes,
            cost.mean_bytes,
            cost.most_bytes,
            cost.reads,
            cost.writes,
            cost.change_ms,
        ];
        for ((_, slope), value) in self.slopes.iter_mut().zip(values) {
            slope.push(float(size), value);
        }
    }

    fn insert(self, slopes: &mut Slopes, by: &str) {
        for (name, slope) in self.slopes {
            slopes.insert(format!("control-{name}-by-{by}"), slope);
        }
    }
}

fn cost(zones: usize, vms: usize, workspaces: usize) -> eyre::Result<Cost> {
    let before_mb = resident_mb();
    let runtime = Runtime::new()?;
    let mut shape = Shape::new().with_vms_per_zone(vms);
    shape.zones_per_region = zones;
    shape.workspaces = &NAMES[..workspaces];
    shape.services = vec![ServiceShape {
        name: "reader",
        depends_on: &[],
        slots: 4,
        per_zone: 1,
        service_time_ms: 1,
    }];
    let fleet = runtime.block_on(Fleet::start(shape))?;
    std::thread::sleep(Duration::from_millis(SETTLE_MS));
    let count = float(fleet.vms.len());
    let memory_mb = resident_mb() - before_mb;
    let before = Sums::of(&fleet);
    let time = ProcessTime::now();
    std::thread::sleep(Duration::from_millis(MEASURE_MS));
    let spent = time.elapsed();
    let after = Sums::of(&fleet);
    let seconds = Duration::from_millis(MEASURE_MS).as_secs_f64();
    let bytes: Vec<f64> = after
        .bytes
        .iter()
        .zip(&before.bytes)
        .map(|(after, before)| (after - before) / seconds)
        .collect();
    let zones = 2.0 * float(zones);
    let change_ms = runtime.block_on(change(&fleet))?;
    Ok(Cost {
        core_percent: 100.0 * spent.as_secs_f64() / seconds / count,
        megabytes: memory_mb.max(0.0) / count,
        mean_bytes: bytes.iter().sum::<f64>() / count,
        most_bytes: bytes.iter().copied().fold(0.0, f64::max),
        reads: (after.reads - before.reads) / seconds / zones,
        writes: (after.writes - before.writes) / seconds / zones,
        change_ms,
    })
}

/// Counters of a fleet.
#[derive(Debug)]
struct Sums {
    /// Bytes of each daemon.
    bytes: Vec<f64>,
    reads: f64,
    writes: f64,
}

impl Sums {
    fn of(fleet: &Fleet) -> Self {
        let statuses: Vec<Status> = fleet.vms.iter().map(|vm| vm.control.status()).collect();
        let bytes = |status: &Status| wide(status.sent_bytes + status.received_bytes);
        let calls = statuses.iter().flat_map(|status| &status.store_calls);
        let (reads, writes) = calls.fold((0, 0), |(reads, writes), calls| {
            (reads + calls.reads, writes + calls.writes)
        });
        Self {
            bytes: statuses.iter().map(bytes).collect(),
            reads: wide(reads),
            writes: wide(writes),
        }
    }
}

/// Applies a text and waits until every gate has it.
async fn change(fleet: &Fleet) -> eyre::Result<f64> {
    let start = Instant::now();
    let revision = fleet.apply(&[]).await?;
    while fleet.vms.iter().any(|vm| vm.gate.revision() < revision) {
        let waited = start.elapsed();
        eyre::ensure!(
            waited < Duration::from_millis(CHANGE_MS),
            "revision {revision} did not arrive everywhere"
        );
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
    }
    Ok(start.elapsed().as_secs_f64() * 1e3)
}

/// Returns the process's resident memory, in megabytes; zero where it cannot be read.
fn resident_mb() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) / 1e3
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
fn wide(count: u64) -> f64 {
    count as f64
}
