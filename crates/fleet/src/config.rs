//! The configuration that operators put in force.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Number of a configuration; a higher one replaces a lower one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version(pub u64);

/// A whole configuration.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// Version.
    pub version: Version,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Routes by host name, longest prefix first.
    pub hosts: HashMap<String, Vec<Arc<Route>>>,
    /// Workspaces by each of their keys.
    pub keys: HashMap<String, Arc<Workspace>>,
    /// Whether any workspace exists; without one, no request needs a key.
    pub has_workspaces: bool,
    /// Bounds on what callers may send.
    pub limits: Limits,
}

/// Bounds on what callers may send and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Longest time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// Longest time that a kept connection may wait for its next request.
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
    /// Time for which a backend server stays cold after its start.
    pub warmup: Duration,
    /// Requests a second that a cold backend server takes.
    pub warmup_per_s: f64,
    /// Connections that a backend server accepts from all callers together.
    pub max_connections: usize,
}

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run more than once.
    Idempotent,
    /// The request may run once at most.
    AtMostOnce,
}

/// A route of a host.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Prefix of the paths that it serves.
    pub prefix: String,
    /// What may be repeated.
    pub idempotency: Idempotency,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub target_latency: Duration,
    /// Rank, 0 the highest.
    pub priority: u32,
    /// Services that the requests are shared among; never empty.
    pub targets: Vec<Target>,
    /// Most backend servers that one request may be sent to; at least 1.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether backend servers are faster with objects that they handled lately.
    pub has_affinity: bool,
    /// Regions in which requests may run; empty means all.
    pub home_regions: Vec<String>,
}

/// A service with its part of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Weight of its part.
    pub weight: f64,
}

/// A workspace, whose requests carry one of its keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Name.
    pub name: String,
    /// Rank, 0 the highest; goes before the route's.
    pub priority: Option<u32>,
    /// Requests a second over all entry VMs; 0 means no limit.
    pub rate_per_s: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
    /// Regions in which its requests may run; empty means all.
    pub home_regions: Vec<String>,
}

impl Config {
    /// Returns the route with the longest prefix of `path` at `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Puts the longest prefixes first, which [`Config::route`] relies on.
    #[must_use]
    pub fn with_sorted_routes(mut self) -> Self {
        for routes in self.hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        self
    }
}

/// Returns whether requests with `route` and `workspace` homes may run in `region`.
#[must_use]
pub fn may_run_in(region: &str, route: &[String], workspace: &[String]) -> bool {
    let allows = |homes: &[String]| homes.is_empty() || homes.iter().any(|home| home == region);
    allows(route) && allows(workspace)
}
