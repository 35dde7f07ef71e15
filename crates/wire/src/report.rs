//! What a gate tells its control daemon.

use serde::{Deserialize, Serialize};

use crate::burn::Delta;
use crate::crash::Crash;
use crate::id::Vm;
use crate::lend::ResourceRequest;
use crate::view::Versions;

/// A gate's periodic report.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Identity of the gate.
    pub gate: Vm,
    /// What the gate has already.
    pub versions: Versions,
    /// True once the gate has begun its graceful shutdown.
    pub leaving: bool,
    /// Requests in flight.
    pub in_flight: u64,
    /// Number of the latest handover that the gate has taken.
    pub adopted: u64,
    /// Crashes of backend servers that the gate knows of.
    pub crashes: Vec<Crash>,
    /// How requests fared since the last report that was answered.
    pub served: Vec<Delta>,
    /// Requests for shares.
    pub share_requests: Vec<ResourceRequest>,
}
