//! The costs at one size, worked out from the slopes.

use eyre::OptionExt;

use crate::sizes::Sizes;
use crate::slope::{Line, Slopes};

/// Seconds in a day.
pub const DAY_S: f64 = 86_400.0;

/// Zones of the fleets in which the VMs of a zone were varied.
const ZONES_WHILE_VMS_VARIED: f64 = 2.0;

/// VMs in a zone of the fleets in which the workspaces were varied.
const VMS_WHILE_WORKSPACES_VARIED: f64 = 2.0;

/// Workspaces of the fleets in which something else was varied.
const WORKSPACES_ELSEWHERE: f64 = 2.0;

/// Shards of the claims of operations.
const CLAIM_SHARDS: f64 = 64.0;

/// Writes of one shard of claims per second, at most.
const CLAIM_WRITES_PER_S: f64 = 2.0;

/// Time that a claim stands, its margin included, in seconds.
const CLAIM_STANDS_S: f64 = 7_800.0;

/// Daemons to which one daemon passes a change on.
const FAN_OUT: f64 = 3.0;

/// The costs at one size.
#[derive(Debug, Clone, PartialEq)]
pub struct Costs {
    /// Look-ups at one gate, per second.
    pub look_ups_per_s: f64,
    /// Processor time of look-ups at one gate, both ends, in percent of a core.
    pub look_up_core: f64,
    /// Table of client blocks, in megabytes.
    pub table_mb: f64,
    /// Processor time of one VM at rest, in percent of a core.
    pub core: f64,
    /// Memory of one VM's daemons, in megabytes.
    pub memory_mb: f64,
    /// Traffic of the mean daemon at rest, in bytes per second.
    pub mean_bytes: f64,
    /// Traffic of the busiest daemon at rest, in bytes per second.
    pub most_bytes: f64,
    /// Traffic of the mean daemon for shares of further workspaces, in bytes per second.
    pub share_bytes: f64,
    /// Traffic of the busiest daemon for shares of further workspaces, in bytes per second.
    pub most_share_bytes: f64,
    /// Traffic of one daemon for changes of the text, in bytes per second.
    pub change_bytes: f64,
    /// Processor time for changes of the text, in percent of a core.
    pub change_core: f64,
    /// Time until a change is in force everywhere, in seconds.
    pub change_s: f64,
    /// Reads at the platform, per second.
    pub reads: f64,
    /// Writes at the platform at rest, per second.
    pub writes: f64,
    /// Writes of claims, per second.
    pub claim_writes: f64,
    /// Record of a shard of claims, in megabytes.
    pub claim_record_mb: f64,
    /// Processor time of a zone's requests for shares, in percent of a core.
    pub share_asks_core: f64,
    /// All key records, in bytes.
    pub key_bytes: f64,
    /// One key check, in microseconds.
    pub key_check_us: f64,
    /// One VM's recording for the burn report, in kilobytes.
    pub recording_kb: f64,
}

impl Costs {
    /// Works the costs out.
    ///
    /// # Errors
    ///
    /// Fails if a slope is missing.
    pub fn new(sizes: &Sizes, slopes: &Slopes) -> eyre::Result<Self> {
        let at = |name: &str, x: f64| line(slopes, name).map(|line| line.at(x));
        let control = |name: &str| control(sizes, slopes, name);
        let changes_per_s = sizes.changes_per_day / DAY_S;
        let look_ups_per_s = sizes.look_ups_per_s / sizes.daemons;
        let look_up_ms = line(slopes, "look-up-http-ms")?.per_unit;
        let claims = sizes.operations_per_s * CLAIM_STANDS_S / CLAIM_SHARDS;
        let holders = sizes.vms_per_zone();
        let further_workspaces = (sizes.workspaces - WORKSPACES_ELSEWHERE).max(0.0);
        let by_workspaces = |name: &str| {
            let slope = line(slopes, &format!("control-{name}-by-workspaces"))?;
            eyre::Ok(slope.per_unit)
        };
        // A lead hears of each workspace from each VM of its zone.
        let wider = holders / VMS_WHILE_WORKSPACES_VARIED;
        let asks_per_s = holders * sizes.workspaces;
        Ok(Self {
            look_ups_per_s,
            look_up_core: look_ups_per_s * look_up_ms / 10.0,
            table_mb: at("table-bytes", sizes.client_blocks)? / 1e6,
            core: control("core")?,
            memory_mb: control("memory")?,
            mean_bytes: control("mean-bytes")?,
            most_bytes: control("most-bytes")?,
            share_bytes: further_workspaces * by_workspaces("mean-bytes")?,
            most_share_bytes: further_workspaces * by_workspaces("most-bytes")? * wider,
            change_bytes: changes_per_s
                * at("text-patch-bytes", sizes.text_bytes)?
                * (1.0 + FAN_OUT),
            change_core: changes_per_s * 2.0 * at("text-read-ms", sizes.text_bytes)? / 10.0,
            change_s: control("change-ms")? / 1e3,
            reads: control("reads")? * sizes.zones,
            writes: control("writes")? * sizes.zones,
            claim_writes: sizes
                .operations_per_s
                .min(CLAIM_SHARDS * CLAIM_WRITES_PER_S),
            claim_record_mb: at("claim-bytes", claims)? / 1e6,
            share_asks_core: asks_per_s * at("share-ask-us", holders)? / 1e4,
            key_bytes: at("key-bytes", sizes.keys)?,
            key_check_us: at("key-check-ns", sizes.keys)? / 1e3,
            recording_kb: at("recording-bytes", sizes.workspaces * sizes.services)? / 1e3,
        })
    }
}

fn line(slopes: &Slopes, name: &str) -> eyre::Result<Line> {
    let slope = slopes.get(name);
    let slope = slope.ok_or_eyre(format!("the slope \"{name}\" is missing"))?;
    Ok(slope.line())
}

/// Adds what further zones cost to what a zone of the wanted size costs.
fn control(sizes: &Sizes, slopes: &Slopes, name: &str) -> eyre::Result<f64> {
    let by_vms = line(slopes, &format!("control-{name}-by-vms"))?;
    let by_zones = line(slopes, &format!("control-{name}-by-zones"))?;
    let further = by_zones.per_unit * (sizes.zones - ZONES_WHILE_VMS_VARIED);
    Ok((by_vms.at(sizes.vms_per_zone()) + further).max(0.0))
}
