//! Messages that entry VMs send each other.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ask::{Answer, Ask};
use crate::pressure::LoadReport;
use crate::reach;

/// Addresses of an entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Availability zone.
    pub zone: String,
    /// Address for messages between entry VMs.
    pub peer: SocketAddr,
    /// Address of the state service.
    pub state: Option<SocketAddr>,
    /// Address for callers.
    pub callers: Option<SocketAddr>,
    /// Capacity of its link and processor; VMs with more lead their zone first.
    pub capacity: u32,
}

/// A VM with its announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announced {
    /// Name of the VM.
    pub vm: String,
    /// Its announcement.
    pub announcement: Announcement,
}

/// Answer to a VM that has just started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Introduction {
    /// Whether the sender knows the state of the store, and therefore which VMs there are.
    pub is_settled: bool,
    /// The VMs that rank highest in the receiver's zone.
    pub vms: Vec<Announced>,
}

/// Report on a set of entry VMs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// VMs that are alive. Reports about several VMs carry them as [`List`]s instead.
    pub vms: Vec<Member>,
    /// Request rates by workspace, summed over the VMs.
    pub usages: Vec<Usage>,
    /// Load by service and zone.
    pub loads: Vec<Load>,
    /// Backend servers that crashed while running a request.
    pub crashes: Vec<Crash>,
    /// Limits that backend servers named lately.
    pub limits: Vec<ServerLimit>,
}

/// A backend server that crashed while running a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Fingerprint of the request.
    pub fingerprint: [u8; 16],
    /// Address of the backend server.
    pub server: SocketAddr,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
}

/// The limit that a backend server named in a response.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ServerLimit {
    /// Hash of the server's name.
    pub server: u64,
    /// Requests a second that it takes from all entry VMs together; absent if it named no limit.
    pub per_s: Option<f64>,
    /// Time since the response, in milliseconds.
    pub age_ms: u32,
}

/// An entry VM that is alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Hash of the VM's name.
    pub vm: u64,
    /// Whether lookups may return the VM.
    pub is_ready: bool,
    /// Latest store state that the VM has applied, by
    /// [`Position::to_number`](crate::restore::Position::to_number);
    /// 0 if it was not reported.
    pub revision: u64,
}

/// The live VMs of a zone, as its leader knows them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// The zone.
    pub zone: String,
    /// Hash of the leader's name.
    pub leader: u64,
    /// Number that the leader increases with each change of the list.
    pub version: u32,
    /// Latest store state that the leader has applied, by
    /// [`Position::to_number`](crate::restore::Position::to_number).
    pub revision: u64,
    /// Hashes of the VMs' names, and whether lookups may return the VM; absent while a receiver
    /// probably knows this version.
    pub vms: Option<Vec<(u64, bool)>>,
}

/// Request rates of one workspace.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Hash of the workspace's name.
    pub workspace: u32,
    /// Requests received per second.
    pub demand: f32,
    /// Requests admitted per second without asking the owner of the limit.
    pub admitted: f32,
    /// Tokens granted per second to VMs that asked.
    pub granted: f32,
    /// Hash of the name of the VM that granted them; absent if several did, or none.
    pub granted_by: Option<u32>,
}

/// Load of one service in one zone.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Hash of the service's name.
    pub service: u32,
    /// Hash of the zone's name.
    pub zone: u32,
    /// Requests per slot of the zone's backend servers.
    pub utilization: f32,
    /// Ratio of the zone's requests that spill to other zones of the region.
    pub spill_zone: f32,
    /// Ratio of the zone's requests that spill to other regions.
    pub spill_region: f32,
}

/// The VMs that a message reports on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// The sender.
    Vm,
    /// The sender's zone.
    Zone,
    /// The whole fleet.
    Fleet,
}

/// A datagram between entry VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A report.
    Report(Message),
    /// A question to the owner of a rate limit.
    Ask(Ask),
    /// The owner's answer.
    Answer(Answer),
    /// A VM that has just started and knows no leader of its zone.
    Hello(Announced),
    /// Answer to it.
    Introduction(Introduction),
    /// Load of backend servers.
    Load(LoadReport),
    /// Which services' servers does the receiver reach?
    ReachQuery(reach::Query),
    /// Answer to it.
    ReachAnswer(reach::Answer),
}

/// A report that one entry VM sends another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Name of the sender.
    pub vm: String,
    /// Addresses of the sender.
    pub announcement: Announcement,
    /// VMs that `report` covers.
    pub scope: Scope,
    /// The report.
    pub report: Report,
    /// The live VMs of the zones that `report` covers, unless it covers only the sender.
    pub lists: Vec<List>,
}

impl Datagram {
    /// Returns the name of its kind for metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Report(message) => message.scope.name(),
            Self::Ask(_) => "ask",
            Self::Answer(_) => "answer",
            Self::Hello(_) => "hello",
            Self::Introduction(_) => "introduction",
            Self::Load(report) => report.kind(),
            Self::ReachQuery(_) => "reach-query",
            Self::ReachAnswer(_) => "reach-answer",
        }
    }
}

impl Scope {
    fn name(self) -> &'static str {
        match self {
            Self::Vm => "vm-report",
            Self::Zone => "zone-report",
            Self::Fleet => "fleet-report",
        }
    }
}

impl Usage {
    fn add(&mut self, other: &Self) {
        if other.granted > 0.0 {
            let is_first = self.granted <= 0.0;
            self.granted_by = other.granted_by.filter(|_| is_first);
        }
        self.demand += other.demand;
        self.admitted += other.admitted;
        self.granted += other.granted;
    }
}

impl Crash {
    fn is_same(&self, other: &Self) -> bool {
        self.fingerprint == other.fingerprint && self.server == other.server
    }
}

impl Report {
    /// Merges `other`, a report on other VMs, into this report.
    pub fn merge(&mut self, other: &Self) {
        let known: HashSet<u64> = self.vms.iter().map(|member| member.vm).collect();
        let new = other
            .vms
            .iter()
            .filter(|member| !known.contains(&member.vm));
        self.vms.extend(new);
        let mut indices: HashMap<u32, usize> = HashMap::new();
        for (index, usage) in self.usages.iter().enumerate() {
            indices.insert(usage.workspace, index);
        }
        for usage in &other.usages {
            if let Some(index) = indices.get(&usage.workspace) {
                self.usages[*index].add(usage);
            } else {
                self.usages.push(*usage);
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
        for limit in &other.limits {
            self.merge_limit(limit);
        }
    }

    /// Merges the limit of a backend server: the latest.
    fn merge_limit(&mut self, limit: &ServerLimit) {
        let mut known = self.limits.iter_mut();
        match known.find(|known| known.server == limit.server) {
            Some(known) if known.age_ms <= limit.age_ms => {}
            Some(known) => *known = *limit,
            None => self.limits.push(*limit),
        }
    }

    /// Merges the load of a service in a zone: the higher utilization, the mean spill ratios.
    fn merge_load(&mut self, load: &Load) {
        let is_same = |known: &&mut Load| known.service == load.service && known.zone == load.zone;
        let Some(known) = self.loads.iter_mut().find(is_same) else {
            self.loads.push(*load);
            return;
        };
        known.utilization = known.utilization.max(load.utilization);
        known.spill_zone = f32::midpoint(known.spill_zone, load.spill_zone);
        known.spill_region = f32::midpoint(known.spill_region, load.spill_region);
    }

    /// Returns the request rates of a workspace.
    #[must_use]
    pub fn usage(&self, workspace: u32) -> Option<&Usage> {
        self.usages
            .iter()
            .find(|usage| usage.workspace == workspace)
    }

    /// Returns the load of a service in a zone.
    #[must_use]
    pub fn load(&self, service: u32, zone: u32) -> Option<&Load> {
        let mut loads = self.loads.iter();
        loads.find(|load| load.service == service && load.zone == zone)
    }
}
