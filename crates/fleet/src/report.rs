//! Messages between entry VMs.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// How an entry VM is reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Zone.
    pub zone: String,
    /// Address for messages between entry VMs.
    pub peer: SocketAddr,
    /// Address of the state service.
    pub state: Option<SocketAddr>,
    /// Address for callers.
    pub callers: Option<SocketAddr>,
}

/// What is told about a set of entry VMs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The VMs.
    pub vms: Vec<Member>,
    /// Requests of workspaces, summed over the VMs.
    pub usages: Vec<Usage>,
    /// Load of services, for each zone.
    pub loads: Vec<Load>,
    /// Backend servers that crashed while they ran a request.
    pub crashes: Vec<Crash>,
}

/// A backend server that crashed while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Fingerprint of the request.
    pub fingerprint: [u8; 16],
    /// Address of the backend server.
    pub server: SocketAddr,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
}

/// An entry VM that is alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Hash of its name.
    pub vm: u64,
    /// Whether callers may be sent to it.
    pub is_ready: bool,
    /// Revision of the store that it knows.
    pub revision: u64,
}

/// Requests of one workspace.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Hash of the workspace's name.
    pub workspace: u32,
    /// Requests a second that came.
    pub demand: f32,
    /// Requests a second that were admitted.
    pub admitted: f32,
}

/// Load of one service in one zone.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Hash of the service's name.
    pub service: u32,
    /// Hash of the zone's name.
    pub zone: u32,
    /// Requests for each slot of the zone's backend servers.
    pub utilization: f32,
    /// Part of the zone's requests that begin in another zone of the region.
    pub spill_zone: f32,
    /// Part of the zone's requests that begin in another region.
    pub spill_region: f32,
}

/// What a message is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// Its sender.
    Vm,
    /// Its sender's zone.
    Zone,
    /// The fleet.
    Fleet,
}

/// A message between entry VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Name of the sender.
    pub vm: String,
    /// How the sender is reached.
    pub announcement: Announcement,
    /// What it is about.
    pub scope: Scope,
    /// What is told.
    pub report: Report,
    /// Whether the VMs are left out of `report`, since they are as they were last told.
    pub are_vms_unchanged: bool,
}

impl Crash {
    fn is_same(&self, other: &Self) -> bool {
        self.fingerprint == other.fingerprint && self.server == other.server
    }
}

impl Report {
    /// Adds what `other` tells about other VMs.
    pub fn merge(&mut self, other: &Self) {
        let known: HashSet<u64> = self.vms.iter().map(|seen| seen.vm).collect();
        let new = other.vms.iter().filter(|seen| !known.contains(&seen.vm));
        self.vms.extend(new);
        let mut places: HashMap<u32, usize> = HashMap::new();
        for (place, asked) in self.usages.iter().enumerate() {
            places.insert(asked.workspace, place);
        }
        for asked in &other.usages {
            if let Some(place) = places.get(&asked.workspace) {
                self.usages[*place].demand += asked.demand;
                self.usages[*place].admitted += asked.admitted;
            } else {
                self.usages.push(*asked);
            }
        }
        for load in &other.loads {
            self.merge_load(load);
        }
        for crash in &other.crashes {
            if !self.crashes.iter().any(|known| known.is_same(crash)) {
                self.crashes.push(crash.clone());
            }
        }
    }

    /// Takes the mean of what VMs of one zone tell about it.
    fn merge_load(&mut self, load: &Load) {
        let same = |known: &&mut Load| known.service == load.service && known.zone == load.zone;
        let Some(known) = self.loads.iter_mut().find(same) else {
            self.loads.push(*load);
            return;
        };
        known.utilization = known.utilization.max(load.utilization);
        known.spill_zone = f32::midpoint(known.spill_zone, load.spill_zone);
        known.spill_region = f32::midpoint(known.spill_region, load.spill_region);
    }

    /// Returns what is told of a workspace.
    #[must_use]
    pub fn usage(&self, workspace: u32) -> Option<&Usage> {
        self.usages
            .iter()
            .find(|asked| asked.workspace == workspace)
    }

    /// Returns what is told of a service in a zone.
    #[must_use]
    pub fn load(&self, service: u32, zone: u32) -> Option<&Load> {
        let mut loads = self.loads.iter();
        loads.find(|load| load.service == service && load.zone == zone)
    }
}
