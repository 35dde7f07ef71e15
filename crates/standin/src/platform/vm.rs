//! The platform's list of VMs, whose readers see it with a delay.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// How long past versions of the list are kept for readers that lag.
const HISTORY_KEPT_MS: u64 = 120_000;

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The VM runs.
    #[default]
    Live,
    /// The VM will be removed soon.
    Leaving,
}

/// The VM's addresses and place.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Meta {
    /// Availability zone.
    pub zone: String,
    /// Address for other processes of the system, `ip:port`.
    pub peer: String,
    /// Address for callers, `ip:port`.
    pub gate: String,
    /// Whether the VM stays.
    pub state: State,
}

/// A VM as it is registered. The JSON form is the body of a registration call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Vm {
    /// Name of the VM, unique in the list.
    #[serde(rename = "ID")]
    pub id: String,
    /// Service that the VM runs, such as `entry`.
    pub name: String,
    /// IP number.
    #[serde(default)]
    pub address: String,
    /// Port for callers.
    #[serde(default)]
    pub port: u16,
    /// Further addresses and place.
    #[serde(default)]
    pub meta: Meta,
}

/// A version of the list.
#[derive(Clone, Debug)]
pub struct Version {
    /// Index of the change that made this version.
    pub index: u64,
    /// VMs by name.
    pub vms: Arc<BTreeMap<String, Vm>>,
    since: Instant,
}

/// The list with its recent versions, oldest first; never empty.
#[derive(Debug)]
pub struct List {
    versions: VecDeque<Version>,
}

impl List {
    /// An empty list.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        let first = Version {
            index: 1,
            vms: Arc::default(),
            since: now,
        };
        Self {
            versions: VecDeque::from([first]),
        }
    }

    /// Adds a VM or replaces its entry.
    pub fn register(&mut self, vm: Vm, now: Instant) {
        let mut vms = BTreeMap::clone(&self.latest().vms);
        vms.insert(vm.id.clone(), vm);
        self.push(vms, now);
    }

    /// Removes a VM.
    pub fn deregister(&mut self, id: &str, now: Instant) {
        let mut vms = BTreeMap::clone(&self.latest().vms);
        if vms.remove(id).is_some() {
            self.push(vms, now);
        }
    }

    /// The list as it was `lag` ago, or the oldest version kept.
    #[must_use]
    pub fn read(&self, lag: Duration, now: Instant) -> &Version {
        let seen = |version: &&Version| now.saturating_duration_since(version.since) >= lag;
        let version = self.versions.iter().rev().find(seen);
        version.unwrap_or(&self.versions[0])
    }

    fn latest(&self) -> &Version {
        &self.versions[self.versions.len() - 1]
    }

    fn push(&mut self, vms: BTreeMap<String, Vm>, now: Instant) {
        let version = Version {
            index: self.latest().index + 1,
            vms: Arc::new(vms),
            since: now,
        };
        self.versions.push_back(version);
        let kept = Duration::from_millis(HISTORY_KEPT_MS);
        while self.versions.len() > 1
            && now.saturating_duration_since(self.versions[1].since) > kept
        {
            self.versions.pop_front();
        }
    }
}
