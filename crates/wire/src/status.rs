//! What a control daemon tells the operators' client.

use serde::{Deserialize, Serialize};

use crate::id::Vm;
use crate::roster::Version;
use crate::view::Entry;

/// Calls to the platform for one purpose.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// What the calls are for.
    pub purpose: String,
    /// Reads, blocking ones included.
    pub reads: u64,
    /// Writes and calls about sessions.
    pub writes: u64,
    /// Calls that failed.
    pub failures: u64,
    /// Calls that were held back by the budget.
    pub throttled: u64,
}

/// State of one control daemon and its gate.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Identity of the control daemon.
    pub vm: Vm,
    /// Zone that it stands in.
    pub zone: String,
    /// Revision that the control daemon has.
    pub revision: u64,
    /// Revision in force at the gate; zero if no gate reported.
    pub gate_revision: u64,
    /// Records of keys, withdrawn ones included.
    pub keys: u64,
    /// Records of withdrawn keys.
    pub withdrawn: u64,
    /// Age of the newest proof that no withdrawal was missed, in milliseconds.
    pub keys_age_ms: Option<u64>,
    /// Whether the platform's service answered the last call.
    pub store_up: bool,
    /// Name of the VM that leads the zone, if one was heard of lately.
    pub zone_leader: Option<String>,
    /// Name of the VM that leads the fleet, if one was heard of lately.
    pub fleet_leader: Option<String>,
    /// Whether this daemon watches the platform for its zone.
    pub watching: bool,
    /// Time since state was last exchanged with another daemon, in milliseconds.
    pub sync_age_ms: Option<u64>,
    /// Calls to the platform since the start, by purpose.
    pub store_calls: Vec<Calls>,
    /// Bytes sent to other VMs since the start.
    pub sent_bytes: u64,
    /// Bytes received from other VMs since the start.
    pub received_bytes: u64,
    /// Requests in flight at the gate.
    pub in_flight: u64,
    /// Which list of VMs the daemon has.
    pub roster: Version,
    /// Entry VMs of that list as this daemon sees them.
    pub entries: Vec<Entry>,
}
