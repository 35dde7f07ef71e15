//! Zones, services and workspaces of a configuration text, addressed by index.

use text::Text;
use text::model::Distance;

use crate::backend::Backend;

/// Slot utilization before any fault.
const UTILIZATION: f64 = 0.6;

/// Exponent of the Zipf distribution of workspace sizes.
const ZIPF: f64 = 1.0;

/// Share of a workspace's traffic that enters in its home zone.
const HOME_SHARE: f64 = 0.3;

/// Round trip within a region, in microseconds.
const REGION_RTT_US: u64 = 1_000;

/// Topology and traffic rates of a run.
#[derive(Debug)]
pub struct Fleet {
    /// The text without service dependencies, because simulated servers call no other service.
    pub text: Text,
    /// Mean time for which a request holds a slot, in milliseconds, by service.
    pub busy_ms: Vec<f64>,
    /// Requests per second of each workspace, by service, before any fault.
    pub rates: Vec<Vec<f64>>,
    /// Round trips in microseconds from zone to zone.
    pub rtt_us: Vec<Vec<u64>>,
    /// Zones sorted by distance from each zone, starting with the zone itself.
    pub nearest: Vec<Vec<usize>>,
}

impl Fleet {
    /// Derives rates and round trips from a text.
    pub fn new(text: &Text) -> Self {
        let mut text = text.clone();
        text.services.iter_mut().for_each(|s| s.depends_on.clear());
        let mean = |index: usize| [40.0, 60.0, 60.0, 80.0][index % 4];
        let busy_ms: Vec<f64> = (0..text.services.len()).map(mean).collect();
        let rtt_us = round_trips(&text);
        let nearest = rtt_us.iter().enumerate().map(|(from, row)| {
            let mut zones: Vec<usize> = (0..row.len()).collect();
            let ring_distance = |zone: usize| (zone + row.len() - from) % row.len();
            zones.sort_by_key(|zone| (row[*zone], ring_distance(*zone)));
            zones
        });
        Self {
            rates: rates(&text, &busy_ms),
            nearest: nearest.collect(),
            rtt_us,
            busy_ms,
            text,
        }
    }

    /// Creates the backend servers.
    pub fn backends(&self) -> Vec<Backend> {
        let mut backends = Vec::new();
        for listed in &self.text.backends {
            let service = self
                .text
                .services
                .iter()
                .position(|s| s.name == listed.service);
            let zone = self.text.zones.iter().position(|z| z.name == listed.zone);
            let (Some(service), Some(zone)) = (service, zone) else {
                continue;
            };
            let slots = self.text.services[service].slots as usize;
            let new = |addr: &_| Backend::new(*addr, service, zone, slots);
            backends.extend(listed.addrs.iter().map(new));
        }
        backends
    }

    /// Returns the zone in which a request of `workspace` enters, chosen by `random`, a number from
    /// zero to one.
    pub fn entry(&self, workspace: usize, random: f64) -> usize {
        let zones = self.rtt_us.len();
        let home = workspace % zones;
        if random < HOME_SHARE {
            return home;
        }
        let rest = (random - HOME_SHARE) / (1.0 - HOME_SHARE);
        (0..zones)
            .find(|zone| rest * number(zones) < number(zone + 1))
            .unwrap_or(home)
    }
}

/// Converts a count to a float.
pub fn number(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn round_trips(text: &Text) -> Vec<Vec<u64>> {
    let region = |zone: &str| text.zone(zone).map_or("", |zone| zone.region.as_str());
    let between = |a: &str, b: &str| {
        let ends = |l: &&text::model::Link| l.between.iter().all(|end| end == a || end == b);
        let link = text.links.iter().find(ends);
        link.map_or(20_000, |link| micros(link.rtt_ms))
    };
    let rtt = |from: &str, to: &str| match text.distance(from, to) {
        Distance::Zone => 200,
        Distance::Region => REGION_RTT_US,
        Distance::Elsewhere => between(region(from), region(to)),
    };
    let names: Vec<&str> = text.zones.iter().map(|zone| zone.name.as_str()).collect();
    let row = |from: &&str| names.iter().map(|to| rtt(from, to)).collect();
    names.iter().map(row).collect()
}

/// Converts milliseconds to whole microseconds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times are positive and far below the limit"
)]
pub fn micros(ms: f64) -> u64 {
    (ms.max(0.0) * 1_000.0) as u64
}

fn rates(text: &Text, busy_ms: &[f64]) -> Vec<Vec<f64>> {
    let workspaces = text.workspaces.len();
    let sizes: Vec<f64> = (1..=workspaces)
        .map(|rank| number(rank).powf(-ZIPF))
        .collect();
    let total: f64 = sizes.iter().sum();
    let capacity = |service: usize| {
        let spec = &text.services[service];
        let listed = text.backends.iter().filter(|b| b.service == spec.name);
        let servers: usize = listed.map(|backend| backend.addrs.len()).sum();
        number(servers) * f64::from(spec.slots) * 1_000.0 / busy_ms[service]
    };
    let rate = |size: &f64| {
        let share = |service| capacity(service) * UTILIZATION * size / total;
        (0..text.services.len()).map(share).collect()
    };
    sizes.iter().map(rate).collect()
}
