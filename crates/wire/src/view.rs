//! State that a control daemon sends to its gate.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::crash::Crash;
use crate::handover::Numbered;
use crate::id::Vm;
use crate::keyring::Keyring;
use crate::lend::{LeaderAddr, Ordinal, ResourceGrant};

/// State of an entry VM as seen by the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// The VM serves callers.
    Live,
    /// The VM finishes its running requests and accepts no new callers.
    Leaving,
    /// The VM has not responded to probes and may have died.
    Suspect,
}

/// An entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the VM.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Address on which the VM's gate accepts callers.
    pub gate: SocketAddr,
    /// Address on which the VM's control daemon accepts peers.
    pub peer: SocketAddr,
    /// State of the VM as seen by the sender.
    pub state: MemberState,
}

/// A revision of the operators' configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Revision; never decreases.
    pub revision: u64,
    /// Source text.
    pub text: String,
}

/// Versions of the state that a process already has, so that only newer state is sent to it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// Highest revision of the configuration.
    pub revision: u64,
    /// Digest of the workspace key records.
    pub keys: u64,
}

/// A gate's view of the fleet. State that the gate already has is omitted.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Identity of the control daemon.
    pub control: Vm,
    /// The configuration, if newer than the gate's.
    pub config: Option<Config>,
    /// The workspace key records, if they differ from the gate's.
    pub keys: Option<Keyring>,
    /// Age of the latest confirmation that no key withdrawal was missed, in milliseconds at the
    /// time of sending; `None` if there never was one.
    pub keys_age_ms: Option<u64>,
    /// Entry VMs.
    pub entries: Vec<Entry>,
    /// Crashes of backend servers observed by any gate.
    pub crashes: Vec<Crash>,
    /// Operations of stopped gates for this gate to take over; sent until the gate reports that it
    /// has them.
    pub adoptions: Vec<Numbered>,
    /// Shares granted in response to the requests in the gate's report.
    pub grants: Vec<ResourceGrant>,
    /// Whether the VM holds an ordinal and with it the base share of each resource.
    pub ordinal: Ordinal,
    /// Address of the fleet's leader, if it was reported recently.
    pub leader: Option<LeaderAddr>,
}
