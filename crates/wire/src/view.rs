//! What a control daemon tells its gate.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::crash::Crash;
use crate::handover::Numbered;
use crate::id::Vm;
use crate::keyring::Keyring;
use crate::lend::{LeaderAddr, Ordinal, ResourceGrant};

/// State of an entry VM as the fleet sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// Serves callers.
    Live,
    /// Finishes what it has and takes no new callers.
    Leaving,
    /// Has not answered for a while.
    Suspect,
}

/// An entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the VM.
    pub name: String,
    /// Zone that it stands in.
    pub zone: String,
    /// Address of its gate for callers.
    pub gate: SocketAddr,
    /// Address of its control daemon for peers.
    pub peer: SocketAddr,
    /// State as seen by the sender.
    pub state: MemberState,
}

/// A revision of the operators' text.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Revision; only ever grows.
    pub revision: u64,
    /// The text.
    pub text: String,
}

/// What the receiver of a [`View`] already has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// Highest revision of the text.
    pub revision: u64,
    /// Digest of the key records.
    pub keys: u64,
}

/// A gate's view of the fleet. Parts that the gate has already are absent.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Identity of the control daemon.
    pub control: Vm,
    /// The text, if newer than the receiver's.
    pub config: Option<Config>,
    /// The key records, if they differ from the receiver's.
    pub keys: Option<Keyring>,
    /// Age of the newest proof that no withdrawal was missed, in milliseconds at the time of
    /// sending; absent if there never was one.
    pub keys_age_ms: Option<u64>,
    /// Entry VMs.
    pub entries: Vec<Entry>,
    /// Crashes of backend servers that any gate saw.
    pub crashes: Vec<Crash>,
    /// Operations of gates that have stopped, until the gate reports that it has them.
    pub adoptions: Vec<Numbered>,
    /// Shares, in answer to the report's requests.
    pub grants: Vec<ResourceGrant>,
    /// Whether the VM has standing shares.
    pub ordinal: Ordinal,
    /// Where the fleet's lead is, if it was heard of lately.
    pub leader: Option<LeaderAddr>,
}
