//! Settings of an entry VM's daemon.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Settings of an entry VM's daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the VM.
    pub vm: String,
    /// Its availability zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Its address.
    pub ip: IpAddr,
    /// Region of each zone.
    pub zones: HashMap<String, String>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Port for messages between entry VMs: the first of the internal ports.
    pub peer_port: u16,
    /// Addresses at which a few entry VMs serve snapshots of the store; they may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Memory of the process, in bytes.
    pub memory_bytes: u64,
    /// Rate of its link, in bytes a second.
    pub link_bytes_per_s: f64,
    /// Capacity of the link and the processor, compared with other VMs'.
    pub capacity: u32,
    /// Number of descriptors that sockets may use.
    pub max_sockets: usize,
    /// Bounds that hold for the whole fleet.
    pub bounds: Bounds,
}

/// Addresses to listen on; absent for what this VM does not serve.
#[derive(Debug, Clone, Default)]
pub struct Listen {
    /// Callers' requests.
    pub callers: Option<SocketAddr>,
    /// Readiness checks.
    pub ready: Option<SocketAddr>,
    /// Lookups.
    pub lookups: Option<SocketAddr>,
    /// Requests of other entry VMs for a snapshot of the store.
    pub state: Option<SocketAddr>,
    /// Metrics.
    pub metrics: Option<SocketAddr>,
}

/// Bounds that hold for the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Grace period: the longest time from a stop signal to the end of the process.
    pub grace: Duration,
    /// Longest time for which the response to a lookup may be cached.
    pub lookup_ttl: Duration,
    /// Limit on retries for one service.
    pub retries: steer::budget::Limit,
    /// Factor on the rate that a cold backend server takes.
    pub cold_factor: f64,
    /// Requests a second that a cold backend server takes beyond that.
    pub cold_extra: f64,
}
