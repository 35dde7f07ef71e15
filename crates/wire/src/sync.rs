//! State exchange between control daemons.
//!
//! A request carries digests of the state of its sender. If a digest differs, the requester sends
//! another request with the digests of all shards and receives the shards that differ. In most
//! rounds both sides are equal and exchange digests only.

use serde::{Deserialize, Serialize};

use crate::crash::Crash;
use crate::id::Vm;
use crate::keyring::Keyring;
use crate::roster::{Shard, Version};
use crate::update::Update;
use crate::view::{MemberState, Versions};

/// A control daemon's request to another control daemon.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Identity of the sender.
    pub from: Vm,
    /// Zone of the sender.
    pub zone: String,
    /// Versions of the state that the sender already has.
    pub versions: Versions,
    /// Revision of the configuration that the sender has but found invalid; zero if none.
    pub rejected: u64,
    /// Whether a newer configuration must be sent in full, because a patch could not be applied.
    pub full_text: bool,
    /// Version of the sender's list of VMs.
    pub roster: Version,
    /// Digests of the shards; set when the sender has found that its state differs.
    pub digests: Option<Digests>,
    /// Latest timestamp that the sender received from the receiver, if any.
    pub echo: Option<Timestamp>,
    /// VMs of the zone whose key records are included in the sender's; the sender itself is listed
    /// if it may be counted. Empty while the platform responds.
    pub votes: Vec<VmVote>,
    /// Changes of member states that the sender disseminates.
    pub rumors: Vec<Rumor>,
    /// Recent crashes of backend servers known to the sender.
    pub crashes: Vec<Crash>,
}

/// A point in time on the clock of one incarnation of a daemon.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timestamp {
    /// Incarnation of the daemon.
    pub incarnation: u64,
    /// Milliseconds on its clock.
    pub ms: u64,
}

/// Digests of the shards of a daemon's state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digests {
    /// Digests of the shards of the workspace key records; a missing digest counts as zero.
    pub keys: Vec<u64>,
    /// Digests of the shards of the list of VMs; a missing digest counts as zero.
    pub roster: Vec<u64>,
}

/// The response to a [`Request`]. State that the requester already has is omitted.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Response {
    /// Identity of the responder.
    pub from: Vm,
    /// Versions of the state that the responder has.
    pub versions: Versions,
    /// Version of the responder's list of VMs.
    pub roster: Version,
    /// The configuration, if newer than the requester's.
    pub config: Option<Update>,
    /// Key records of the shards that differ from the requester's; only if the request contained
    /// digests.
    pub keys: Option<Keyring>,
    /// Digests of the responder's shards of the key records; only if the request contained digests.
    pub key_shards: Vec<u64>,
    /// Shards of the list of VMs that differ from the requester's; only if the request contained
    /// digests.
    pub shards: Vec<Shard>,
    /// Age of the latest confirmation that no key withdrawal was missed, in milliseconds.
    pub keys_age_ms: Option<u64>,
    /// Time of the response on the responder's clock, for the requester to echo. `None` while the
    /// platform responds.
    pub timestamp: Option<Timestamp>,
    /// Whether the platform has been unreachable from the responder's zone for some time.
    pub store_down: bool,
    /// Latest leaders known to the responder.
    pub leaders: Leaders,
    /// Zones whose key records are included in the responder's. Empty while the platform responds.
    pub votes: Vec<ZoneVote>,
    /// Changes of member states that the responder disseminates.
    pub rumors: Vec<Rumor>,
    /// Recent crashes of backend servers known to the responder.
    pub crashes: Vec<Crash>,
}

/// Leaders known to a responder.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaders {
    /// Leader of the responder's zone.
    pub zone: Option<Leader>,
    /// Leader of the fleet.
    pub fleet: Option<Leader>,
}

/// A leader as last known to the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leader {
    /// Name of the leader's VM.
    pub name: String,
    /// Epoch of the lease; grows with each new holder.
    pub epoch: u64,
    /// Time since the leader was last known to hold the lease, in milliseconds.
    pub age_ms: u64,
}

/// A VM whose key records are included in the sender's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmVote {
    /// Name of the VM.
    pub vm: String,
    /// Age of the included records, in milliseconds.
    pub age_ms: u64,
}

/// A zone in which the key records of a majority of VMs are included in the responder's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneVote {
    /// Name of the zone.
    pub zone: String,
    /// Age of the included records, in milliseconds.
    pub age_ms: u64,
}

/// A change of a VM's member state, disseminated by gossip.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumor {
    /// The VM and its incarnation.
    pub vm: Vm,
    /// Number that the VM itself increases to refute older rumors about the same incarnation.
    pub refutation: u64,
    /// New state of the VM.
    pub state: MemberState,
}

/// A direct or indirect liveness probe.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Probe {
    /// Identity of the sender.
    pub from: Vm,
    /// Changes of member states that the sender disseminates.
    pub rumors: Vec<Rumor>,
}

/// Acknowledgement of key records that were sent directly to a daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Identity of the receiver.
    pub from: Vm,
    /// Zone of the receiver.
    pub zone: String,
    /// The receiver's list of VMs.
    pub roster: Version,
    /// Number of withdrawn records that the receiver holds.
    pub withdrawn: u64,
}
