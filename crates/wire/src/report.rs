//! Report of a gate to its control daemon.

use serde::{Deserialize, Serialize};

use crate::burn::Delta;
use crate::crash::Crash;
use crate::id::Vm;
use crate::lend::ResourceRequest;
use crate::view::Versions;

/// Periodic report of a gate.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Identity of the gate.
    pub gate: Vm,
    /// Versions of the state that the gate already has.
    pub versions: Versions,
    /// Whether the gate has begun its graceful shutdown.
    pub leaving: bool,
    /// Requests in flight.
    pub in_flight: u64,
    /// Number of the latest handover that the gate has taken over.
    pub adopted: u64,
    /// Crashes of backend servers known to the gate.
    pub crashes: Vec<Crash>,
    /// Outcomes of requests since the last acknowledged report.
    pub served: Vec<Delta>,
    /// Requests for shares.
    pub share_requests: Vec<ResourceRequest>,
}
