//! Requests for and grants of shares of limited resources.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::Vm;

/// Sequence number of a request of one holder.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Seq {
    /// Incarnation of the holder; a later incarnation invalidates all requests of earlier ones.
    pub epoch: u64,
    /// Number within the incarnation; a later request invalidates all grants for earlier ones.
    pub number: u64,
}

/// A holder's request for a share.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Sequence number of the request.
    pub seq: Seq,
    /// Upper limit of the lent amount that the holder still uses; `None` if unknown.
    pub in_use: Option<u64>,
    /// Amount that the holder could use.
    pub wanted: u64,
    /// Whether all amounts lent to predecessors of the holder are certainly out of use.
    pub predecessors_expired: bool,
    /// Whether the holder is stopping: it returns its whole share and is granted nothing.
    pub leaving: bool,
}

/// A granted share.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Sequence number of the request.
    pub seq: Seq,
    /// Granted amount; replaces any previously granted amount.
    pub amount: u64,
    /// Term of the grant in milliseconds, counted from the moment at which the holder sent the
    /// request.
    pub term_ms: u64,
}

/// A limited resource.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Resource {
    /// Rate and burst of a workspace, as a fraction of [`FULL_SHARE`].
    Workspace(String),
    /// Number of concurrent requests on the backend servers of a service in a zone.
    Slots(Site),
}

/// Amount that represents the full rate and burst of a workspace.
pub const FULL_SHARE: u64 = 1_000_000_000;

/// The backend servers of one service in one zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Site {
    /// Name of the service.
    pub service: String,
    /// Name of the zone.
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
    /// The granted share.
    pub grant: Grant,
}

/// The borrower that requests shares from a leader.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Borrower {
    /// A VM, which requests from the leader of its zone.
    Vm(String),
    /// The leader of a zone, which requests from the owner of the resource.
    Zone(ZoneLeader),
}

/// The leader of a zone in one term. Each term is a separate borrower, so that a new leader can
/// lend immediately: shares lent to the previous leader are counted separately until they expire.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ZoneLeader {
    /// Name of the zone.
    pub zone: String,
    /// Epoch of the leader.
    pub epoch: u64,
}

/// Requests for shares of several resources.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Requests {
    /// The requesting process.
    pub from: Vm,
    /// Borrower on whose behalf the process sends the requests.
    pub borrower: Borrower,
    /// Epoch of the addressed leader; a leader of another epoch ignores the requests.
    pub epoch: u64,
    /// The requests.
    pub requests: Vec<ResourceRequest>,
}

/// Granted shares of several resources; shares that could not be granted are omitted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
    /// The granted shares.
    pub grants: Vec<ResourceGrant>,
}

/// Whether a VM holds an ordinal in its zone, which entitles it to its base shares.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ordinal {
    /// The sender does not know; the receiver keeps the last known value.
    #[default]
    Unknown,
    /// The VM holds an ordinal and may use its base shares.
    Held,
    /// The VM holds no ordinal and may use lent shares only.
    Missing,
}

/// A gate's request for one token from the reserve of the fleet leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReserveRequest {
    /// Epoch of the addressed leader.
    pub epoch: u64,
    /// Workspace of the request that needs the token.
    pub workspace: String,
}

/// Address of the fleet leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderAddr {
    /// Epoch of the leader.
    pub epoch: u64,
    /// Address of the leader's control daemon.
    pub peer: SocketAddr,
}
