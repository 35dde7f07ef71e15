//! Explanation of where a caller's requests would go and why, from the text in force and the
//! state of the fleet as observed by this client.

use std::fmt;
use std::net::{IpAddr, SocketAddr};

use serde::Serialize;
use text::Text;
use text::model::{Access, Backend, Distance};

use crate::fleet::ObservedVm;

/// A caller and the service that it requests.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// Address of the caller.
    pub client: IpAddr,
    /// Requested service.
    pub service: &'a str,
    /// Workspace of the caller's key.
    pub workspace: Option<&'a str>,
}

/// Explanation for a [`Query`].
#[derive(Debug, Serialize)]
pub struct Explanation {
    client: IpAddr,
    service: String,
    workspace: Option<String>,
    /// Zone nearest to the caller; absent if no client block holds its address.
    nearest_zone: Option<String>,
    /// Entry VMs, in the order of a lookup response.
    entry_vms: Vec<EntryVm>,
    /// Zones that run the service, in the order in which the first entry VM tries them.
    serving_zones: Vec<ServingZone>,
    /// Rules that admit or refuse the caller.
    admission: Vec<String>,
}

/// An entry VM that may receive the caller's requests.
#[derive(Debug, Serialize)]
struct EntryVm {
    name: String,
    gate: SocketAddr,
    zone: String,
    distance: Distance,
    /// Reason why it is not used; absent if it is used.
    skipped: Option<&'static str>,
}

/// A zone that runs the service.
#[derive(Debug, Serialize)]
struct ServingZone {
    zone: String,
    distance: Distance,
    /// Backend servers that are not drained; the one with the fewest requests in flight receives
    /// the next request.
    servers: Vec<SocketAddr>,
    /// Number of requests that the servers run concurrently.
    slots: u64,
    /// Reason why it is not used; absent if it is used.
    skipped: Option<&'static str>,
}

impl Explanation {
    /// Explains `query` from `text` and the state of the entry VMs.
    pub fn new(text: &Text, vms: &[ObservedVm], query: &Query<'_>) -> Self {
        let nearest = text.nearest_zone(query.client);
        let entry_vms = entry_vms(text, vms, nearest);
        let first_used = entry_vms.iter().find(|entry| entry.skipped.is_none());
        let entry_zone = first_used.map(|entry| entry.zone.as_str()).or(nearest);
        let serving_zones = serving_zones(text, query.service, entry_zone);
        Self {
            client: query.client,
            service: query.service.to_owned(),
            workspace: query.workspace.map(ToOwned::to_owned),
            nearest_zone: nearest.map(ToOwned::to_owned),
            serving_zones,
            entry_vms,
            admission: admission(text, query),
        }
    }
}

fn entry_vms(text: &Text, vms: &[ObservedVm], nearest: Option<&str>) -> Vec<EntryVm> {
    let mut entries: Vec<EntryVm> = vms
        .iter()
        .filter_map(|vm| entry_vm(text, vm, nearest))
        .collect();
    entries.sort_by_key(|entry| (entry.skipped.is_some(), entry.distance));
    entries
}

fn entry_vm(text: &Text, vm: &ObservedVm, nearest: Option<&str>) -> Option<EntryVm> {
    let entry = vm.entry.as_ref()?;
    let drained = text.zone(&entry.zone).is_some_and(|zone| zone.drain);
    let skipped = match () {
        () if vm.is_leaving() => Some("it is leaving"),
        () if drained => Some("its zone drains"),
        () if vm.status.is_none() => Some("it does not respond to this client"),
        () => None,
    };
    Some(EntryVm {
        name: entry.name.clone(),
        gate: entry.gate,
        distance: nearest.map_or(Distance::Elsewhere, |zone| text.distance(zone, &entry.zone)),
        zone: entry.zone.clone(),
        skipped,
    })
}

fn serving_zones(text: &Text, service: &str, from: Option<&str>) -> Vec<ServingZone> {
    let slots = text.service(service).map_or(0, |service| service.slots);
    let backends = text.backends.iter();
    let mut zones: Vec<ServingZone> = backends
        .filter(|backend| backend.service == service)
        .map(|backend| serving_zone(text, backend, slots, from))
        .collect();
    zones.sort_by_key(|zone| (zone.skipped.is_some(), zone.distance));
    zones
}

fn serving_zone(text: &Text, backend: &Backend, slots: u32, from: Option<&str>) -> ServingZone {
    let active = backend.addrs.iter().filter(|a| !backend.drain.contains(a));
    let servers: Vec<SocketAddr> = active.copied().collect();
    let drained = text.zone(&backend.zone).is_some_and(|zone| zone.drain);
    let skipped = match () {
        () if drained => Some("it drains"),
        () if servers.is_empty() => Some("all its servers drain"),
        () => None,
    };
    ServingZone {
        zone: backend.zone.clone(),
        distance: from.map_or(Distance::Elsewhere, |zone| {
            text.distance(zone, &backend.zone)
        }),
        slots: u64::from(slots) * servers.len() as u64,
        servers,
        skipped,
    }
}

fn admission(text: &Text, query: &Query<'_>) -> Vec<String> {
    let mut reasons = Vec::new();
    if text.service(query.service).is_none() {
        reasons.push(format!("there is no service {}", query.service));
    }
    let routes = text.routes.iter().filter(|r| r.service == query.service);
    for route in routes {
        let access = match (route.access, query.workspace) {
            (Access::Open, _) => "open to all",
            (Access::Keyed, Some(_)) => "needs a key of the workspace",
            (Access::Keyed, None) => "refused without a workspace key",
        };
        reasons.push(format!(
            "{} {}: {access}",
            route.methods.join(", "),
            route.path
        ));
    }
    if let Some(name) = query.workspace {
        reasons.push(match text.workspace(name) {
            Some(workspace) => format!(
                "{name} may send {} requests/s with bursts of {} over the whole fleet",
                workspace.rate, workspace.burst
            ),
            None => format!("there is no workspace {name}"),
        });
    }
    reasons
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.nearest_zone {
            Some(zone) => writeln!(f, "{} is nearest to zone {zone}", self.client)?,
            None => writeln!(
                f,
                "no client block contains {}; the entry VM queried first counts as nearest",
                self.client
            )?,
        }
        writeln!(f, "entry VMs, in order:")?;
        for entry in &self.entry_vms {
            let EntryVm {
                name,
                gate,
                zone,
                distance,
                ..
            } = entry;
            let skip_note = skip_note(entry.skipped);
            writeln!(f, "  {name} at {gate} in {zone}, {distance}{skip_note}")?;
        }
        writeln!(f, "zones that run {}, in order:", self.service)?;
        for zone in &self.serving_zones {
            writeln!(f, "  {zone}")?;
        }
        writeln!(f, "admission:")?;
        for reason in &self.admission {
            writeln!(f, "  {reason}")?;
        }
        Ok(())
    }
}

impl fmt::Display for ServingZone {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let servers: Vec<String> = self.servers.iter().map(ToString::to_string).collect();
        write!(
            f,
            "{}, {}: {} slots at {}{}",
            self.zone,
            self.distance,
            self.slots,
            servers.join(", "),
            skip_note(self.skipped)
        )
    }
}

fn skip_note(skipped: Option<&str>) -> String {
    skipped.map_or_else(String::new, |reason| format!(" (not used: {reason})"))
}
