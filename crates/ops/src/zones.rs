//! Progress of a revision in each zone.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::fleet::ObservedVm;

/// Name under which VMs with an unknown zone are listed.
const UNKNOWN_ZONE: &str = "(unknown)";

/// Progress of a revision in a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Progress {
    /// Every live entry VM has the revision.
    InForce,
    /// Some entry VM does not have the revision yet.
    Behind,
    /// Some entry VM does not have the revision, and none of those that respond reaches the
    /// platform.
    CutOff,
    /// No entry VM responds.
    Unreachable,
    /// No entry VM of the zone is known.
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

/// State of a zone and its entry VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Zone {
    /// Name of the zone.
    pub name: String,
    /// Progress of the revision.
    pub progress: Progress,
    /// Number of live entry VMs.
    pub vms: usize,
    /// Number of live entry VMs that respond.
    pub answering: usize,
    /// Number of live entry VMs whose gate has the revision.
    pub with_revision: usize,
    /// Lowest revision of the zone's gates; absent if no VM responds.
    pub lowest_revision: Option<u64>,
    /// Number of live entry VMs that reach the platform.
    pub reaching_platform: usize,
    /// Time since a VM of the zone was last known to have all withdrawals of keys, in milliseconds;
    /// the maximum over the zone's VMs. Absent if this is not known for some VM.
    pub keys_age_ms: Option<u64>,
    /// Number of requests in flight at the zone's gates.
    pub in_flight: u64,
}

/// Groups the entry VMs by zone and determines the progress of `revision` in each zone. Zones in
/// `names` are included even if none of their entry VMs is known.
pub fn summarize<'n>(
    vms: &[ObservedVm],
    revision: u64,
    names: impl Iterator<Item = &'n str>,
) -> Vec<Zone> {
    let mut zones: BTreeMap<&str, Vec<&ObservedVm>> =
        names.map(|name| (name, Vec::new())).collect();
    for vm in vms.iter().filter(|vm| !vm.is_leaving()) {
        let name = vm.zone().unwrap_or(UNKNOWN_ZONE);
        zones.entry(name).or_default().push(vm);
    }
    let zones = zones.into_iter();
    zones
        .map(|(name, vms)| summarize_zone(name, &vms, revision))
        .collect()
}

fn summarize_zone(name: &str, vms: &[&ObservedVm], revision: u64) -> Zone {
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

/// Column headings of printed zones.
pub const HEADING: &str =
    "zone             state        revision  answering  platform   keys age in flight";
