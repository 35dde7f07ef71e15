//! Model of the operators' configuration text.

use std::fmt;
use std::net::{IpAddr, SocketAddr};

use ipnet::IpNet;
use serde::{Deserialize, Serialize};

/// A complete configuration text. The default is empty, so that a first text can be compared with
/// it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Text {
    /// Name of the deployment.
    pub name: String,
    /// Limits on steering decisions.
    #[serde(default)]
    pub steering: Steering,
    /// Regions, in no particular order.
    #[serde(rename = "region")]
    pub regions: Vec<Region>,
    /// Availability zones, in no particular order.
    #[serde(rename = "zone")]
    pub zones: Vec<Zone>,
    /// Links between regions and their capacities.
    #[serde(rename = "link", default)]
    pub links: Vec<Link>,
    /// Client address blocks and their nearest zones.
    #[serde(rename = "client", default)]
    pub clients: Vec<Client>,
    /// Services and their dependencies.
    #[serde(rename = "service")]
    pub services: Vec<Service>,
    /// Backend servers, grouped by service and zone.
    #[serde(rename = "backend", default)]
    pub backends: Vec<Backend>,
    /// Routes; the longest matching prefix with a matching method applies.
    #[serde(rename = "route")]
    pub routes: Vec<Route>,
    /// Workspaces and their rate limits.
    #[serde(rename = "workspace", default)]
    pub workspaces: Vec<Workspace>,
    /// Service-level objectives.
    #[serde(rename = "objective", default)]
    pub objectives: Vec<Objective>,
}

/// Limits on steering decisions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Steering {
    /// Maximum traffic, in percent of a service's fleet-wide traffic, that may move to another
    /// zone within one shift window.
    pub shift_cap_percent: f64,
    /// Length of the shift window, in seconds.
    pub shift_window_s: u64,
    /// Time to live of lookup answers, in milliseconds.
    pub lookup_ttl_ms: u64,
    /// Share of declared slots kept free, in percent.
    pub headroom_percent: f64,
}

impl Default for Steering {
    fn default() -> Self {
        Self {
            shift_cap_percent: 10.0,
            shift_window_s: 10,
            lookup_ttl_ms: 5_000,
            headroom_percent: 10.0,
        }
    }
}

/// A region: a set of availability zones.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Unique name.
    pub name: String,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Unique name.
    pub name: String,
    /// Region of the zone.
    pub region: String,
    /// Maximum number of entry VMs that the zone runs at once; base shares are divided by it.
    #[serde(default = "default_entry_vms")]
    pub entry_vms: u32,
    /// Whether all traffic is to leave the zone.
    #[serde(default)]
    pub drain: bool,
}

pub(crate) fn default_entry_vms() -> u32 {
    2
}

/// A link between two regions; the capacity applies to each direction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// The two regions that the link connects.
    pub between: [String; 2],
    /// Capacity in each direction, in megabits per second.
    pub mbit_per_s: u64,
    /// Round-trip time, in milliseconds.
    pub rtt_ms: f64,
}

/// A block of client addresses.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Client {
    /// The address block.
    pub block: IpNet,
    /// Zone nearest to these clients.
    pub zone: String,
}

/// A service that backend servers run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// Services that every request to this service also needs.
    #[serde(default)]
    pub depends_on: Vec<String>,
    /// Number of requests that one backend server runs at once.
    pub slots: u32,
    /// Time that a new backend server needs to reach full speed, in seconds.
    #[serde(default)]
    pub cold_start_s: u64,
}

/// Backend servers of one service in one zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Service that the servers run.
    pub service: String,
    /// Zone of the servers.
    pub zone: String,
    /// Addresses of the servers.
    pub addrs: Vec<SocketAddr>,
    /// Addresses from `addrs` whose servers get no new requests.
    #[serde(default)]
    pub drain: Vec<SocketAddr>,
}

/// Who may use a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Everyone, without a key.
    Open,
    /// Callers that present a workspace key.
    Keyed,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// A request may run more than once without harm.
    Safe,
    /// A request runs at most once.
    Once,
}

/// A mapping of a path prefix and methods to a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix; it matches whole path segments only.
    pub path: String,
    /// HTTP methods.
    pub methods: Vec<String>,
    /// Service that handles the requests.
    pub service: String,
    /// Who may use the route.
    pub access: Access,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_body_limit")]
    pub body_limit: u64,
    /// Maximum time from the request's arrival to the first byte of its answer, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
}

pub(crate) fn default_body_limit() -> u64 {
    1 << 20
}

pub(crate) fn default_deadline_ms() -> u64 {
    10_000
}

/// A tenant and its rate limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Unique name.
    pub name: String,
    /// Requests per second over the whole fleet.
    pub rate: f64,
    /// Number of requests that may arrive at once over the whole fleet.
    pub burst: f64,
}

/// A service-level objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Service that it applies to.
    pub service: String,
    /// Workspace that it applies to; all workspaces if absent.
    pub workspace: Option<String>,
    /// Quality that the objective measures.
    pub kind: Goal,
    /// Share of requests that must be good, in percent.
    pub percent: f64,
    /// Latency bound of a good request, in milliseconds; only for latency objectives.
    pub below_ms: Option<u64>,
}

/// Quality that an objective measures; it defines which requests are good.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Goal {
    /// Good requests are answered without a server-side failure.
    Availability,
    /// Good requests are answered within the latency bound.
    Latency,
    /// Good requests are within the rate limit and not refused.
    Admission,
}

/// Distance between two zones, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Distance {
    /// Both are the same zone.
    Zone,
    /// Both are in the same region.
    Region,
    /// They are in different regions.
    Elsewhere,
}

impl fmt::Display for Distance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Zone => "same zone",
            Self::Region => "same region",
            Self::Elsewhere => "other region",
        })
    }
}

impl fmt::Display for Goal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Availability => "availability",
            Self::Latency => "latency",
            Self::Admission => "admission",
        })
    }
}

impl Text {
    /// Returns the zone called `name`.
    #[must_use]
    pub fn zone(&self, name: &str) -> Option<&Zone> {
        self.zones.iter().find(|zone| zone.name == name)
    }

    /// Returns the service called `name`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns the workspace called `name`.
    #[must_use]
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces
            .iter()
            .find(|workspace| workspace.name == name)
    }

    /// Returns the zone nearest to the caller at `client`. Of the client blocks that contain the
    /// address, the one with the longest prefix applies.
    #[must_use]
    pub fn nearest_zone(&self, client: IpAddr) -> Option<&str> {
        let containing = self.clients.iter().filter(|c| c.block.contains(&client));
        let longest = containing.max_by_key(|candidate| candidate.block.prefix_len());
        longest.map(|candidate| candidate.zone.as_str())
    }

    /// Returns the distance between two zones. An unknown zone counts as outside the region of any
    /// other zone.
    #[must_use]
    pub fn distance(&self, from: &str, to: &str) -> Distance {
        if from == to {
            return Distance::Zone;
        }
        let region = |name| self.zone(name).map(|zone| zone.region.as_str());
        match (region(from), region(to)) {
            (Some(from), Some(to)) if from == to => Distance::Region,
            _ => Distance::Elsewhere,
        }
    }

    /// Returns the route with the longest prefix that matches `method` and `path`.
    #[must_use]
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.matches(method, path))
            .max_by_key(|route| route.path.len())
    }
}

impl Route {
    /// Returns whether the route applies to `method` and `path`.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        self.methods.iter().any(|listed| listed == method) && self.matches_path(path)
    }

    fn matches_path(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(self.path.as_str()) else {
            return false;
        };
        rest.is_empty() || rest.starts_with('/') || self.path.ends_with('/')
    }
}
