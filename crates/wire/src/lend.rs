//! Shares of limited resources as they are asked for and granted.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::Vm;

/// Position of a request in all requests of one holder.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Seq {
    /// Incarnation of the holder; a later one voids all requests of an earlier one.
    pub epoch: u64,
    /// Number within the incarnation; a later request voids all answers to earlier ones.
    pub number: u64,
}

/// A holder's request for a share.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Position of the request.
    pub seq: Seq,
    /// Most that the holder still uses of what it was lent; absent if it cannot tell.
    pub in_use: Option<u64>,
    /// Amount that it could use.
    pub wanted: u64,
    /// Whether nothing that was lent to a predecessor of the holder can be in use any more.
    pub predecessors_expired: bool,
    /// Whether it gives everything back and is granted nothing.
    pub leaving: bool,
}

/// A share that was granted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The request that it answers.
    pub seq: Seq,
    /// Amount; replaces what was granted before.
    pub amount: u64,
    /// Time that it lasts from the moment at which the holder asked, in milliseconds.
    pub term_ms: u64,
}

/// A limited resource.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Resource {
    /// Rate and burst of a workspace, in parts of [`FULL_SHARE`].
    Workspace(String),
    /// Requests that the backend servers of a service in a zone run at once.
    Slots(Site),
}

/// Parts that make up the whole rate and burst of a workspace.
pub const FULL_SHARE: u64 = 1_000_000_000;

/// The backend servers of one service in one zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Site {
    /// The service.
    pub service: String,
    /// The zone.
    pub zone: String,
}

/// A request for a share of one resource.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceRequest {
    /// The resource.
    pub resource: Resource,
    /// The request.
    pub request: Request,
}

/// A granted share of one resource.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceGrant {
    /// The resource.
    pub resource: Resource,
    /// The share.
    pub grant: Grant,
}

/// Who asks a lead for shares.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Borrower {
    /// A VM asks the lead of its zone.
    Vm(String),
    /// The lead of a zone asks the owner of the resource.
    Zone(ZoneLeader),
}

/// The lead of a zone in one term. Each is a borrower of its own, so that a new one can lend at
/// once: what the old one was lent counts apart until it has ended.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ZoneLeader {
    /// The zone.
    pub zone: String,
    /// Epoch of the lead.
    pub epoch: u64,
}

/// Requests for shares of several resources.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Requests {
    /// The process that asks.
    pub from: Vm,
    /// On whose behalf it asks.
    pub borrower: Borrower,
    /// Epoch of the lead that is asked; a lead of another epoch ignores the requests.
    pub epoch: u64,
    /// The requests.
    pub requests: Vec<ResourceRequest>,
}

/// Shares of several resources; those that could not be granted are absent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
    /// The shares.
    pub grants: Vec<ResourceGrant>,
}

/// Whether a VM may use its standing shares.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ordinal {
    /// The sender cannot tell; what was known stays.
    #[default]
    Unknown,
    /// The VM has a seat of its own.
    Held,
    /// The VM has no seat and uses lent shares only.
    Missing,
}

/// A gate's request for one token of the fleet lead's reserve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReserveRequest {
    /// Epoch of the lead that is asked.
    pub epoch: u64,
    /// Workspace whose request it is.
    pub workspace: String,
}

/// Where the fleet's lead is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderAddr {
    /// Epoch of the lead.
    pub epoch: u64,
    /// Address of its control daemon.
    pub peer: SocketAddr,
}
