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
    /// First port for messages between entry VMs.
    pub peer_port: u16,
    /// Addresses of a few entry VMs' state service, which may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Memory of the process, in bytes.
    pub memory_bytes: u64,
    /// Descriptors that sockets may use.
    pub max_sockets: usize,
    /// Bounds that the fleet keeps to.
    pub bounds: Bounds,
}

/// Addresses to listen on; a part that this VM does not serve is absent.
#[derive(Debug, Clone, Default)]
pub struct Listen {
    /// Callers' requests.
    pub callers: Option<SocketAddr>,
    /// Readiness checks.
    pub ready: Option<SocketAddr>,
    /// Look-ups.
    pub lookups: Option<SocketAddr>,
    /// Other entry VMs' requests for state.
    pub state: Option<SocketAddr>,
    /// Metrics.
    pub metrics: Option<SocketAddr>,
}

/// Bounds that the fleet keeps to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Longest time from a stop signal to the end of the process.
    pub grace: Duration,
    /// Longest time that an answer to a look-up may be kept.
    pub lookup_ttl: Duration,
    /// Bound on repeats for one service.
    pub retries: steer::budget::Limit,
    /// Factor on the rate that a cold backend server takes.
    pub cold_factor: f64,
    /// Requests a second that a cold backend server takes beyond that.
    pub cold_extra: f64,
}
