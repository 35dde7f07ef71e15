//! The sizes to design for and the limits to keep.

use serde::{Deserialize, Serialize};

/// Sizes of a deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sizes {
    /// Entry VMs, each with a gate and a control daemon.
    pub daemons: f64,
    /// Regions.
    pub regions: f64,
    /// Availability zones.
    pub zones: f64,
    /// Client blocks.
    pub client_blocks: f64,
    /// Sites that client blocks are sent to.
    pub sites: f64,
    /// Look-ups per second over the whole fleet.
    pub look_ups_per_s: f64,
    /// Changes of the operators' text per day.
    pub changes_per_day: f64,
    /// Size of the operators' text, in bytes.
    pub text_bytes: f64,
    /// Workspaces.
    pub workspaces: f64,
    /// Services.
    pub services: f64,
    /// Workspace keys, withdrawn ones included.
    pub keys: f64,
    /// Operations per second that must not repeat, over the whole fleet.
    pub operations_per_s: f64,
    /// VMs replaced per day.
    pub replaced_per_day: f64,
    /// Limits to keep.
    pub limits: Limits,
}

/// Limits to keep.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Processor time of a daemon for control, in percent of a core.
    pub core_percent: f64,
    /// Memory of a daemon for control, in megabytes.
    pub megabytes: f64,
    /// Bytes per second of a daemon for control.
    pub bytes_per_s: f64,
    /// Reads per second at the platform, waiting watches included.
    pub platform_reads_per_s: f64,
    /// Writes per second at the platform.
    pub platform_writes_per_s: f64,
    /// Time from a change's acceptance until it is in force everywhere, in seconds.
    pub change_s: f64,
}

impl Sizes {
    /// Returns the entry VMs of a zone.
    #[must_use]
    pub fn vms_per_zone(&self) -> f64 {
        (self.daemons / self.zones).ceil()
    }
}
