//! The platform's list of VMs.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::Deserialize;

/// State of a VM as reported by the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The platform will terminate the VM.
    Leaving,
}

/// A VM in the platform's list, which may be out of date.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVm {
    /// Name of the VM.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Address of the VM's gate.
    pub gate: SocketAddr,
    /// Address of the VM's control daemon.
    pub peer: SocketAddr,
    /// State as reported by the platform.
    pub state: VmState,
}

/// One element of the platform's response.
#[derive(Debug, Deserialize)]
pub(crate) struct HealthEntry {
    #[serde(rename = "Service")]
    service: ServiceEntry,
}

#[derive(Debug, Deserialize)]
struct ServiceEntry {
    #[serde(rename = "ID")]
    id: String,
    #[serde(rename = "Meta", default)]
    meta: HashMap<String, String>,
}

impl TryFrom<HealthEntry> for ListedVm {
    type Error = String;

    fn try_from(entry: HealthEntry) -> Result<Self, String> {
        let service = entry.service;
        let field = |name: &str| {
            let value = service.meta.get(name);
            value.ok_or_else(|| format!("VM {} has no \"{name}\"", service.id))
        };
        let addr = |name: &str| {
            let parsed = field(name)?.parse();
            parsed.map_err(|_| format!("VM {} has no valid \"{name}\"", service.id))
        };
        let state = match service.meta.get("state").map(String::as_str) {
            Some("leaving") => VmState::Leaving,
            _ => VmState::Live,
        };
        Ok(Self {
            zone: field("zone")?.clone(),
            gate: addr("gate")?,
            peer: addr("peer")?,
            name: service.id,
            state,
        })
    }
}
