//! The configuration that operators apply.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Version of a configuration; a higher version replaces a lower one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version(pub u64);

/// A complete configuration. All its times can be added to the present time.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// Version.
    pub version: Version,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Routes by host name, ordered by prefix; each prefix ends with a slash.
    pub hosts: HashMap<String, Vec<Arc<Route>>>,
    /// Workspaces by API key; a workspace has one entry per key.
    pub keys: HashMap<String, Arc<Workspace>>,
    /// Whether any workspace exists. Without workspaces, no request needs a key.
    pub has_workspaces: bool,
    /// Limits on callers' requests.
    pub limits: Limits,
    /// Descriptions of parts that could not be interpreted in full, for the log.
    pub warnings: Vec<String>,
}

/// Size and time limits on callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum time from the first byte of a request head to the last.
    pub head_timeout: Duration,
    /// Maximum idle time of a keep-alive connection between requests.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A service that backend servers run.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Time for which a backend server is cold after its start.
    pub warmup: Duration,
    /// Requests per second that a cold backend server handles.
    pub warmup_per_s: f64,
    /// Connections that a backend server accepts in total.
    pub max_connections: usize,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    AtMostOnce,
}

/// A route of a host.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Path prefix that the route serves.
    pub prefix: String,
    /// Whether the route's requests may run more than once.
    pub idempotency: Idempotency,
    /// Maximum time until the caller gets a response.
    pub timeout: Duration,
    /// Latency up to which a response has its full value for the caller.
    pub target_latency: Duration,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Services among which the requests are split; never empty.
    pub targets: Vec<Target>,
    /// Maximum number of backend servers that one request is sent to; at least 1.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub public: bool,
    /// Whether backend servers are faster with recently handled objects.
    pub has_affinity: bool,
    /// Regions in which requests may run; empty means all regions.
    pub home_regions: Vec<String>,
}

/// A service that gets a weighted share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Weight of the share.
    pub weight: f64,
}

/// A workspace. Its requests carry one of its keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Name.
    pub name: String,
    /// Priority, 0 is the highest; overrides the route's priority.
    pub priority: Option<u32>,
    /// Maximum requests per second over all entry VMs; 0 means no limit.
    pub rate_per_s: f64,
    /// Requests beyond the rate that may arrive at once.
    pub burst: f64,
    /// Regions in which the workspace's requests may run; empty means all regions.
    pub home_regions: Vec<String>,
}

impl Config {
    /// Returns the route of `host` with the longest prefix that matches `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        let mut prefixes = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
        prefixes.find_map(|prefix| {
            let found = routes.binary_search_by(|route| route.prefix.as_str().cmp(prefix));
            routes.get(found.ok()?)
        })
    }

    /// Sorts routes by prefix, as [`Config::route`] requires.
    #[must_use]
    pub fn with_sorted_routes(mut self) -> Self {
        for routes in self.hosts.values_mut() {
            routes.sort_by(|a, b| a.prefix.cmp(&b.prefix));
        }
        self
    }
}

/// Returns whether the home regions of both `route` and `workspace` allow `region`.
#[must_use]
pub fn may_run_in(region: &str, route: &[String], workspace: &[String]) -> bool {
    let allows =
        |regions: &[String]| regions.is_empty() || regions.iter().any(|home| home == region);
    allows(route) && allows(workspace)
}
