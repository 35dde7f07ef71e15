//! The configuration text with zones and services as indices.

use std::collections::{BTreeMap, BTreeSet};

use text::Text;

use crate::Partition;

/// Bytes per second of one megabit per second.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Distance class of a destination zone, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Tier {
    Zone,
    Region,
    Remote,
}

impl Tier {
    pub(crate) const ALL: [Self; 3] = [Self::Zone, Self::Region, Self::Remote];
}

/// A destination zone and its distance class from a source zone.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Destination {
    pub(crate) to: usize,
    pub(crate) tier: Tier,
}

/// Zones, services and links of a configuration text.
#[derive(Debug)]
pub(crate) struct Model {
    pub(crate) zones: Vec<String>,
    pub(crate) services: Vec<String>,
    pub(crate) drained: Vec<bool>,
    pub(crate) region: Vec<usize>,
    /// Direct dependencies of each service.
    pub(crate) dependencies: Vec<Vec<usize>>,
    /// Services in topological order: each service comes before its dependencies.
    pub(crate) topological_order: Vec<usize>,
    /// Connected destination zones of each source zone, nearest first.
    pub(crate) destinations: Vec<Vec<Destination>>,
    /// Usable bytes per second from the row's region to the column's region; `None` without a link.
    pub(crate) links: Vec<Vec<Option<f64>>>,
    /// Declared slots by service and zone.
    pub(crate) declared_slots: Vec<Vec<f64>>,
    /// Share of the declared slots that is not reserved as headroom.
    pub(crate) usable_share: f64,
    pub(crate) cold_start_s: Vec<f64>,
}

impl Model {
    pub(crate) fn new(text: &Text, partitions: &[Partition]) -> Self {
        let zones = sorted(text.zones.iter().map(|zone| zone.name.clone()));
        let services = sorted(text.services.iter().map(|service| service.name.clone()));
        let regions = sorted(text.regions.iter().map(|region| region.name.clone()));
        let region = |name: &String| {
            let region = text.zone(name).map(|zone| &zone.region);
            region
                .and_then(|region| find(&regions, region))
                .unwrap_or(0)
        };
        let region: Vec<usize> = zones.iter().map(region).collect();
        let dependencies = dependencies(text, &services);
        let (links, rtt) = links(text, &regions);
        let cold_start_s =
            |name: &String| text.service(name).map_or(0, |service| service.cold_start_s);
        Self {
            drained: zones.iter().map(|zone| is_drained(text, zone)).collect(),
            topological_order: topological_order(&dependencies),
            destinations: destinations(&zones, &region, &rtt, partitions),
            links,
            usable_share: 1.0 - text.steering.headroom_percent / 100.0,
            declared_slots: declared_slots(text, &services, &zones),
            cold_start_s: services
                .iter()
                .map(|name| to_f64(cold_start_s(name)))
                .collect(),
            dependencies,
            zones,
            services,
            region,
        }
    }

    pub(crate) fn zone(&self, name: &str) -> Option<usize> {
        find(&self.zones, name)
    }

    pub(crate) fn service(&self, name: &str) -> Option<usize> {
        find(&self.services, name)
    }
}

fn sorted(names: impl Iterator<Item = String>) -> Vec<String> {
    let names: BTreeSet<String> = names.collect();
    names.into_iter().collect()
}

fn find(names: &[String], name: &str) -> Option<usize> {
    names
        .binary_search_by(|other| other.as_str().cmp(name))
        .ok()
}

fn to_f64(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

fn is_drained(text: &Text, zone: &str) -> bool {
    text.zone(zone).is_none_or(|zone| zone.drain)
}

fn dependencies(text: &Text, services: &[String]) -> Vec<Vec<usize>> {
    let dependencies = |name: &String| {
        let service = text.service(name);
        let names = service.map_or(&[][..], |service| &service.depends_on);
        names
            .iter()
            .filter_map(|name| find(services, name))
            .collect()
    };
    services.iter().map(dependencies).collect()
}

fn topological_order(dependencies: &[Vec<usize>]) -> Vec<usize> {
    let mut topological_order = Vec::new();
    let mut visited = BTreeSet::new();
    for service in 0..dependencies.len() {
        visit(service, dependencies, &mut visited, &mut topological_order);
    }
    topological_order.reverse();
    topological_order
}

fn visit(
    service: usize,
    dependencies: &[Vec<usize>],
    visited: &mut BTreeSet<usize>,
    topological_order: &mut Vec<usize>,
) {
    if !visited.insert(service) {
        return;
    }
    for dependency in &dependencies[service] {
        visit(*dependency, dependencies, visited, topological_order);
    }
    topological_order.push(service);
}

type Matrix = Vec<Vec<Option<f64>>>;

fn links(text: &Text, regions: &[String]) -> (Matrix, Matrix) {
    let mut bytes = vec![vec![None; regions.len()]; regions.len()];
    let mut rtt = bytes.clone();
    let usable_share = 1.0 - text.steering.headroom_percent / 100.0;
    for link in &text.links {
        let ends = (
            find(regions, &link.between[0]),
            find(regions, &link.between[1]),
        );
        let (Some(a), Some(b)) = ends else {
            continue;
        };
        for (from, to) in [(a, b), (b, a)] {
            bytes[from][to] = Some(to_f64(link.mbit_per_s) * BYTES_PER_MBIT * usable_share);
            rtt[from][to] = Some(link.rtt_ms);
        }
    }
    (bytes, rtt)
}

fn destinations(
    zones: &[String],
    region: &[usize],
    rtt: &Matrix,
    partitions: &[Partition],
) -> Vec<Vec<Destination>> {
    let index = |name: &String| find(zones, name);
    let partitions: BTreeSet<(usize, usize)> = partitions
        .iter()
        .filter_map(|partition| Some((index(&partition.from)?, index(&partition.to)?)))
        .flat_map(|(a, b)| [(a, b), (b, a)])
        .collect();
    let destinations = |from: usize| {
        let mut destinations: Vec<(Tier, f64, usize, usize)> = Vec::new();
        for to in (0..zones.len()).filter(|to| !partitions.contains(&(from, *to))) {
            // Each source orders the zones of a tier differently, so that the sources do not all
            // spill into the same zone.
            let rotation = (to + zones.len() - from) % zones.len();
            if from == to {
                destinations.push((Tier::Zone, 0.0, rotation, to));
            } else if region[from] == region[to] {
                destinations.push((Tier::Region, 0.0, rotation, to));
            } else if let Some(rtt_ms) = rtt[region[from]][region[to]] {
                destinations.push((Tier::Remote, rtt_ms, rotation, to));
            }
        }
        destinations.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        let destination = |(tier, _, _, to)| Destination { to, tier };
        destinations.into_iter().map(destination).collect()
    };
    (0..zones.len()).map(destinations).collect()
}

fn declared_slots(text: &Text, services: &[String], zones: &[String]) -> Vec<Vec<f64>> {
    let mut slots = vec![vec![0.0; zones.len()]; services.len()];
    let mut counted_addrs: BTreeMap<(usize, usize), BTreeSet<std::net::SocketAddr>> =
        BTreeMap::new();
    for backend in &text.backends {
        let key = (find(services, &backend.service), find(zones, &backend.zone));
        let (Some(service), Some(zone)) = key else {
            continue;
        };
        let not_drained = backend
            .addrs
            .iter()
            .filter(|addr| !backend.drain.contains(addr));
        counted_addrs
            .entry((service, zone))
            .or_default()
            .extend(not_drained);
    }
    for ((service, zone), addrs) in counted_addrs {
        let slots_per_server = text
            .service(&services[service])
            .map_or(0, |service| service.slots);
        let servers = u32::try_from(addrs.len()).unwrap_or(u32::MAX);
        slots[service][zone] = f64::from(slots_per_server) * f64::from(servers);
    }
    slots
}
