//! The configuration text, prepared for request processing.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use pick::{Endpoint, Limits};
use text::Text;
use text::model;

use crate::backend::{Backend, Registry};
use crate::pool::{Key, Pool, Pools};

/// A configuration text, prepared for the gate of one zone.
#[derive(Debug)]
pub struct Compiled {
    /// The configuration text.
    pub text: Text,
    /// Routes, longest path first.
    routes: Vec<Arc<Route>>,
}

/// A route with its service.
#[derive(Debug)]
pub struct Route {
    /// The route as defined in the text.
    pub spec: model::Route,
    /// The service that handles its requests.
    pub service: Arc<Service>,
}

/// A service with the zones that run it.
#[derive(Debug)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Zones that run it, nearest zone first; drained zones are omitted.
    pub zones: Vec<Zone>,
}

/// The backend servers of one service in one zone.
#[derive(Debug)]
pub struct Zone {
    /// Load balancing pool of the servers.
    pub pool: Arc<Pool>,
    /// Servers that accept new work.
    pub backends: Vec<Arc<Backend>>,
}

impl Compiled {
    /// Prepares `text` for a gate in `zone`.
    #[must_use]
    pub fn new(text: Text, zone: &str, registry: &Registry, pools: &Pools) -> Self {
        let service = |service: &model::Service| {
            let zones = zones(&text, service, zone, registry, pools);
            let compiled = Service {
                name: service.name.clone(),
                zones,
            };
            (service.name.clone(), Arc::new(compiled))
        };
        let services: HashMap<String, Arc<Service>> = text.services.iter().map(service).collect();
        registry.retain(&serving_addrs(&services));
        pools.retain(&keys(&text));
        let mut routes: Vec<Arc<Route>> = text
            .routes
            .iter()
            .filter_map(|spec| {
                let service = Arc::clone(services.get(&spec.service)?);
                let spec = spec.clone();
                Some(Arc::new(Route { spec, service }))
            })
            .collect();
        routes.sort_by_key(|route| std::cmp::Reverse(route.spec.path.len()));
        Self { text, routes }
    }

    /// Returns the route with the longest path that matches `method` and `path`.
    #[must_use]
    pub fn route(&self, method: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes
            .iter()
            .find(|route| route.spec.matches(method, path))
    }
}

fn zones(
    text: &Text,
    service: &model::Service,
    zone: &str,
    registry: &Registry,
    pools: &Pools,
) -> Vec<Zone> {
    let limits = Limits {
        slots: service.slots,
        cold_start_ms: service.cold_start_s.saturating_mul(1_000),
    };
    let mut keys: Vec<Key> = keys(text);
    keys.retain(|key| key.service == service.name);
    keys.sort_by_key(|key| text.distance(zone, &key.zone));
    let compiled = |key: Key| {
        let endpoints = endpoints(text, &key);
        let active = endpoints.iter().filter(|server| !server.draining);
        let backends = active.map(|server| registry.backend(server.addr));
        Zone {
            backends: backends.collect(),
            pool: pools.pool(key, limits, &endpoints),
        }
    };
    keys.into_iter().map(compiled).collect()
}

/// Returns service and zone of all backend servers, without drained zones.
fn keys(text: &Text) -> Vec<Key> {
    let mut keys: Vec<Key> = Vec::new();
    for group in &text.backends {
        let key = Key {
            service: group.service.clone(),
            zone: group.zone.clone(),
        };
        let drained = text.zone(&group.zone).is_none_or(|zone| zone.drain);
        if !drained && !keys.contains(&key) {
            keys.push(key);
        }
    }
    keys
}

fn endpoints(text: &Text, key: &Key) -> Vec<Endpoint> {
    let own = |group: &&model::Backend| group.service == key.service && group.zone == key.zone;
    let groups = text.backends.iter().filter(own);
    let servers = groups.flat_map(|group| {
        group.addrs.iter().map(|addr| Endpoint {
            addr: *addr,
            draining: group.drain.contains(addr),
            max_connections: u32::MAX,
        })
    });
    servers.collect()
}

fn serving_addrs(services: &HashMap<String, Arc<Service>>) -> HashSet<SocketAddr> {
    let zones = services.values().flat_map(|service| &service.zones);
    let backends = zones.flat_map(|zone| &zone.backends);
    backends.map(|backend| backend.addr()).collect()
}
