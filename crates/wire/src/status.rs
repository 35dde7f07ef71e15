//! Status of a control daemon, for the operators' command-line client.

use serde::{Deserialize, Serialize};

use crate::id::Vm;
use crate::roster::Version;
use crate::view::Entry;

/// Counts of calls to the platform for one purpose.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Name of the purpose.
    pub purpose: String,
    /// Reads, including blocking queries.
    pub reads: u64,
    /// Writes and session calls.
    pub writes: u64,
    /// Reads and writes that failed.
    pub failures: u64,
    /// Calls that were not made because the budget was exhausted.
    pub throttled: u64,
}

/// Status of one control daemon and its gate.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Identity of the control daemon.
    pub vm: Vm,
    /// Availability zone of the VM.
    pub zone: String,
    /// Revision of the configuration at the control daemon.
    pub revision: u64,
    /// Revision in force at the gate; zero if no gate has reported.
    pub gate_revision: u64,
    /// Number of workspace key records, including withdrawn keys.
    pub keys: u64,
    /// Number of records of withdrawn keys.
    pub withdrawn: u64,
    /// Age of the latest confirmation that no key withdrawal was missed, in milliseconds.
    pub keys_age_ms: Option<u64>,
    /// Whether the platform responded to the last call.
    pub store_up: bool,
    /// Name of the VM that is the zone's leader, if it was reported recently.
    pub zone_leader: Option<String>,
    /// Name of the VM that is the fleet's leader, if it was reported recently.
    pub fleet_leader: Option<String>,
    /// Whether this daemon watches the platform on behalf of its zone.
    pub watching: bool,
    /// Time since the last state exchange with another daemon, in milliseconds.
    pub sync_age_ms: Option<u64>,
    /// Calls to the platform since the start, by purpose.
    pub store_calls: Vec<Calls>,
    /// Bytes sent to other VMs since the start.
    pub sent_bytes: u64,
    /// Bytes received from other VMs since the start.
    pub received_bytes: u64,
    /// Requests in flight at the gate.
    pub in_flight: u64,
    /// Version of the list of VMs that the daemon has.
    pub roster: Version,
    /// Entry VMs of that list, with their states as seen by this daemon.
    pub entries: Vec<Entry>,
}
