//! What control daemons exchange.
//!
//! Most rounds find both sides equal and carry digests only. Where a digest differs, the asker
//! asks again with the digests of all parts and receives those that differ.

use serde::{Deserialize, Serialize};

use crate::crash::Crash;
use crate::id::Vm;
use crate::keyring::Keyring;
use crate::roster::{Shard, Version};
use crate::update::Update;
use crate::view::{MemberState, Versions};

/// A control daemon's question to another.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Identity of the sender.
    pub from: Vm,
    /// Zone of the sender.
    pub zone: String,
    /// What the sender has already.
    pub versions: Versions,
    /// Revision that the sender has and cannot read; zero if none.
    pub rejected: u64,
    /// Whether a newer text is wanted whole, since a difference did not fit.
    pub full_text: bool,
    /// The sender's list of VMs.
    pub roster: Version,
    /// Digests of the parts, when the sender found that its state differs.
    pub digests: Option<Digests>,
    /// The newest stamp that the sender received from the receiver, if any.
    pub echo: Option<Timestamp>,
    /// VMs of the zone whose key records are part of the sender's, itself included if it may be
    /// counted. Empty while the platform answers.
    pub votes: Vec<VmVote>,
    /// Changes of standing that the sender spreads.
    pub rumors: Vec<Rumor>,
    /// Crashes of backend servers that the sender heard of lately.
    pub crashes: Vec<Crash>,
}

/// A moment on the clock of one run of a daemon.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timestamp {
    /// The run.
    pub incarnation: u64,
    /// Milliseconds on its clock.
    pub ms: u64,
}

/// Digests of the parts of a state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digests {
    /// Digests of the shards of the key records; missing ones count as zero.
    pub keys: Vec<u64>,
    /// Digests of the shards of the list of VMs; missing ones count as zero.
    pub roster: Vec<u64>,
}

/// The answer to an [`Request`]. Parts that the asker has already are absent.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Response {
    /// Identity of the answerer.
    pub from: Vm,
    /// What the answerer has.
    pub versions: Versions,
    /// The answerer's list of VMs.
    pub roster: Version,
    /// The text, if newer than the asker's.
    pub config: Option<Update>,
    /// Records of the shards that differ from the asker's; only in answer to a detail.
    pub keys: Option<Keyring>,
    /// Digests of the answerer's shards of the key records; only in answer to a detail.
    pub key_shards: Vec<u64>,
    /// Shards of the list of VMs that differ from the asker's; only in answer to a detail.
    pub shards: Vec<Shard>,
    /// Age of the newest proof that no withdrawal was missed, in milliseconds.
    pub keys_age_ms: Option<u64>,
    /// When the answer was given, to be echoed. Absent while the platform answers.
    pub timestamp: Option<Timestamp>,
    /// Whether the platform has not answered the answerer's zone for a while.
    pub store_down: bool,
    /// The newest leads that the answerer heard of.
    pub leaders: Leaders,
    /// Zones whose key records are part of the answerer's. Empty while the platform answers.
    pub votes: Vec<ZoneVote>,
    /// Changes of standing that the answerer spreads.
    pub rumors: Vec<Rumor>,
    /// Crashes of backend servers that the answerer heard of lately.
    pub crashes: Vec<Crash>,
}

/// The leads that an answerer heard of.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaders {
    /// Lead of the answerer's zone.
    pub zone: Option<Leader>,
    /// Lead of the fleet.
    pub fleet: Option<Leader>,
}

/// Word of a lead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leader {
    /// Name of its VM.
    pub name: String,
    /// Number of the lease's holder; grows with each new holder.
    pub epoch: u64,
    /// Time since it was last known to hold the lease, in milliseconds.
    pub age_ms: u64,
}

/// A VM whose key records are part of the sender's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmVote {
    /// Name of the VM.
    pub vm: String,
    /// Age of the records that are included, in milliseconds.
    pub age_ms: u64,
}

/// A zone of which a majority of VMs has its key records included in the answerer's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneVote {
    /// Name of the zone.
    pub zone: String,
    /// Age of the records that are included, in milliseconds.
    pub age_ms: u64,
}

/// A change of a VM's standing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumor {
    /// The VM and the run that is spoken of.
    pub vm: Vm,
    /// Number by which the VM itself refutes older rumors of the same run.
    pub refutation: u64,
    /// Its standing.
    pub state: MemberState,
}

/// A direct or indirect probe.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Probe {
    /// Identity of the sender.
    pub from: Vm,
    /// Changes of standing that the sender spreads.
    pub rumors: Vec<Rumor>,
}

/// Receipt of key records that were sent straight to a daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Identity of the receiver.
    pub from: Vm,
    /// Zone of the receiver.
    pub zone: String,
    /// The receiver's list of VMs.
    pub roster: Version,
    /// Withdrawn records that the receiver holds.
    pub withdrawn: u64,
}
