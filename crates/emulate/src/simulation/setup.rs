//! Servers and entry VMs at the start of a simulation.

use steer::load::Load;
use steer::placement::{Distance, hash};
use steer::spill::{Shares, Spill};
use steer::to_f64;

use super::Event;
use super::relay::Search;
use crate::policy::View;
use crate::scenario::Scenario;
use crate::server::Server;
use crate::time::Schedule;

#[derive(Debug)]
pub(super) struct Vm {
    pub(super) zone: usize,
    /// Views of the servers, by service.
    pub(super) views: Vec<Vec<View>>,
    /// Spill state, by service.
    pub(super) spills: Vec<Spill>,
    pub(super) sequence: usize,
    /// Search for VMs that can help while it is cut off.
    pub(super) search: Search,
}

pub(super) fn distance(scenario: &Scenario, one: usize, other: usize) -> Distance {
    let region = |zone: usize| &scenario.zones[zone].region;
    match one == other {
        true => Distance::Zone,
        false if region(one) == region(other) => Distance::Region,
        false => Distance::Far,
    }
}

pub(super) fn servers(scenario: &Scenario) -> Vec<Vec<Server>> {
    let create = |service: &crate::scenario::Service| {
        let mut servers = Vec::new();
        for (zone, count) in service.servers.iter().enumerate() {
            for number in 0..*count {
                let name = format!("{}-{zone}-{number}", service.name);
                servers.push(Server::new(service, zone, hash(name.as_bytes())));
            }
        }
        servers
    };
    scenario.services.iter().map(create).collect()
}

pub(super) fn vms(
    scenario: &Scenario,
    servers: &[Vec<Server>],
    schedule: &Schedule<Event>,
) -> Vec<Vm> {
    let mut vms = Vec::new();
    for (zone, spec) in scenario.zones.iter().enumerate() {
        let view = |service: usize, server: usize| View {
            server,
            hash: servers[service][server].hash,
            distance: distance(scenario, zone, servers[service][server].zone),
            slots: f64::from(scenario.services[service].slots),
            load: Load::new(schedule.instant()),
            unreachable_until: None,
        };
        let views = |service: usize| {
            let all = 0..servers[service].len();
            all.map(|server| view(service, server)).collect()
        };
        for _ in 0..spec.vms {
            vms.push(Vm {
                zone,
                views: (0..servers.len()).map(views).collect(),
                spills: servers
                    .iter()
                    .map(|service_servers| Spill::initial(shares(scenario, zone, service_servers)))
                    .collect(),
                sequence: 0,
                search: Search::default(),
            });
        }
    }
    vms
}

/// Returns the shares of slots and callers in a zone and in its region, estimated from the numbers
/// of servers and entry VMs.
pub(super) fn shares(scenario: &Scenario, zone: usize, servers: &[Server]) -> Shares {
    let slots = |max_distance: Distance| {
        let near = servers
            .iter()
            .filter(|server| distance(scenario, zone, server.zone) <= max_distance);
        to_f64(near.count()) / to_f64(servers.len().max(1))
    };
    let callers = |max_distance: Distance| {
        let zones = scenario.zones.iter().enumerate();
        let near = zones.filter(|(other, _)| distance(scenario, zone, *other) <= max_distance);
        let all: usize = scenario.zones.iter().map(|zone| zone.vms).sum();
        let near: usize = near.map(|(_, zone)| zone.vms).sum();
        to_f64(near) / to_f64(all.max(1))
    };
    Shares {
        zone_slots: slots(Distance::Zone),
        region_slots: slots(Distance::Region),
        zone_callers: callers(Distance::Zone),
        region_callers: callers(Distance::Region),
    }
}
