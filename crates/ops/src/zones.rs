//! Which zones have a revision in force.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::fleet::Seen;

/// Zone of VMs whose zone nobody knows.
const UNKNOWN_ZONE: &str = "(unknown)";

/// How far a revision is in force in a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Progress {
    /// Every live entry VM has it.
    InForce,
    /// Some entry VM lacks it still.
    Behind,
    /// Some entry VM lacks it, and none that answers reaches the platform.
    CutOff,
    /// No entry VM answers.
    Unreachable,
    /// Nobody knows an entry VM there.
    Empty,
}

impl fmt::Display for Progress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::InForce => "in force",
            Self::Behind => "behind",
            Self::CutOff => "cut off",
            Self::Unreachable => "unreachable",
            Self::Empty => "no entry VM",
        })
    }
}

/// A zone and its entry VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Zone {
    /// Name.
    pub name: String,
    /// How far the revision is in force.
    pub progress: Progress,
    /// Live entry VMs.
    pub vms: usize,
    /// Live entry VMs that answer.
    pub answering: usize,
    /// Live entry VMs whose gate has the revision.
    pub with_revision: usize,
    /// Lowest revision that a gate of the zone has; absent if none answers.
    pub lowest_revision: Option<u64>,
    /// Live entry VMs that reach the platform.
    pub reaching_platform: usize,
    /// Age of the oldest proof, over the zone's VMs, that no withdrawal of a key was missed, in
    /// milliseconds; absent if some VM has none.
    pub keys_age_ms: Option<u64>,
    /// Requests in flight at the zone's gates.
    pub in_flight: u64,
}

/// Sorts the entry VMs by zone and tells how far `revision` is in force in each. `names` lists
/// zones that are shown even if no entry VM of theirs is known.
pub fn summarize<'n>(
    seen: &[Seen],
    revision: u64,
    names: impl Iterator<Item = &'n str>,
) -> Vec<Zone> {
    let mut zones: BTreeMap<&str, Vec<&Seen>> = names.map(|name| (name, Vec::new())).collect();
    for vm in seen.iter().filter(|vm| !vm.is_leaving()) {
        let name = vm.zone().unwrap_or(UNKNOWN_ZONE);
        zones.entry(name).or_default().push(vm);
    }
    let zones = zones.into_iter();
    zones
        .map(|(name, vms)| summarize_zone(name, &vms, revision))
        .collect()
}

fn summarize_zone(name: &str, vms: &[&Seen], revision: u64) -> Zone {
    let statuses: Vec<_> = vms.iter().filter_map(|vm| vm.status.as_ref()).collect();
    let with_revision = statuses.iter().filter(|s| s.gate_revision >= revision);
    let with_revision = with_revision.count();
    let reaching_platform = statuses.iter().filter(|status| status.store_up).count();
    let progress = match () {
        () if vms.is_empty() => Progress::Empty,
        () if statuses.is_empty() => Progress::Unreachable,
        () if with_revision == vms.len() => Progress::InForce,
        () if reaching_platform == 0 => Progress::CutOff,
        () => Progress::Behind,
    };
    let ages: Option<Vec<u64>> = statuses.iter().map(|status| status.keys_age_ms).collect();
    Zone {
        name: name.to_owned(),
        progress,
        vms: vms.len(),
        answering: statuses.len(),
        with_revision,
        lowest_revision: statuses.iter().map(|status| status.gate_revision).min(),
        reaching_platform,
        keys_age_ms: ages.and_then(|ages| ages.into_iter().max()),
        in_flight: statuses.iter().map(|status| status.in_flight).sum(),
    }
}

impl fmt::Display for Zone {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lowest = self.lowest_revision.map_or("-".into(), |r| r.to_string());
        let keys = self
            .keys_age_ms
            .map_or("-".into(), |age| format!("{age} ms"));
        let answering = format!("{}/{}", self.answering, self.vms);
        let platform = format!("{}/{}", self.reaching_platform, self.answering);
        write!(
            f,
            "{:<16} {:<12} {lowest:>8} {answering:>10} {platform:>9} {keys:>10} {:>9}",
            self.name,
            self.progress.to_string(),
            self.in_flight,
        )
    }
}

/// Heading over printed zones.
pub const HEADING: &str =
    "zone             state        revision  answering  platform   keys age in flight";
