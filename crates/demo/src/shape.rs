//! The deployment that a fleet is built from.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;

/// A service of a deployment.
#[derive(Debug, Clone)]
pub struct ServiceShape {
    /// Name of the service.
    pub name: &'static str,
    /// Services that it depends on.
    pub depends_on: &'static [&'static str],
    /// Requests that one backend server runs at once.
    pub slots: u32,
    /// Backend servers in each zone.
    pub per_zone: usize,
    /// Time that a request runs, in milliseconds.
    pub service_time_ms: u64,
}

/// A deployment.
#[derive(Debug, Clone)]
pub struct Shape {
    /// Names of the regions.
    pub regions: &'static [&'static str],
    /// Availability zones in each region.
    pub zones_per_region: usize,
    /// Entry VMs in each zone.
    pub vms_per_zone: usize,
    /// Services.
    pub services: Vec<ServiceShape>,
    /// Names of the workspaces.
    pub workspaces: &'static [&'static str],
    /// Rate of each workspace, in requests per second.
    pub rate: f64,
    /// Burst of each workspace, in requests.
    pub burst: f64,
}

impl Shape {
    /// Creates a small deployment: two regions with two zones each, one entry VM in each zone.
    #[must_use]
    pub fn new() -> Self {
        Self {
            regions: &["north", "south"],
            zones_per_region: 2,
            vms_per_zone: 1,
            services: vec![
                ServiceShape {
                    name: "reader",
                    depends_on: &[],
                    slots: 6,
                    per_zone: 2,
                    service_time_ms: 2,
                },
                ServiceShape {
                    name: "payments",
                    depends_on: &["reader"],
                    slots: 4,
                    per_zone: 2,
                    service_time_ms: 5,
                },
            ],
            workspaces: &["alder", "birch"],
            rate: 2_000.0,
            burst: 400.0,
        }
    }

    /// Sets the number of entry VMs in each zone.
    #[must_use]
    pub fn with_vms_per_zone(mut self, vms: usize) -> Self {
        self.vms_per_zone = vms;
        self
    }

    /// Returns the zones as pairs of region and name.
    #[must_use]
    pub fn zones(&self) -> Vec<Place> {
        let of_region = |region: &&'static str| {
            let region = *region;
            (0..self.zones_per_region).map(move |index| Place {
                region,
                zone: format!(
                    "{region}-{}",
                    char::from(b'a' + u8::try_from(index).unwrap_or(25))
                ),
            })
        };
        self.regions.iter().flat_map(of_region).collect()
    }

    /// Writes the operators' text for backend servers at `backends`; those in `drained` get no
    /// new work.
    #[must_use]
    pub fn text(
        &self,
        backends: &BTreeMap<Site, Vec<SocketAddr>>,
        drained: &[SocketAddr],
    ) -> String {
        let mut text = String::from(
            "name = \"demo\"\n\n[steering]\nlookup_ttl_ms = 1000\nshift_window_s = 5\n",
        );
        for region in self.regions {
            let _ = writeln!(text, "\n[[region]]\nname = \"{region}\"");
        }
        for (index, place) in self.zones().iter().enumerate() {
            let _ = writeln!(
                text,
                "\n[[zone]]\nname = \"{}\"\nregion = \"{}\"\nentry_vms = {}",
                place.zone,
                place.region,
                self.vms_per_zone + 1,
            );
            let _ = writeln!(
                text,
                "\n[[client]]\nblock = \"10.{}.0.0/16\"\nzone = \"{}\"",
                index + 1,
                place.zone,
            );
        }
        for pair in self.regions.windows(2) {
            let _ = writeln!(
                text,
                "\n[[link]]\nbetween = [\"{}\", \"{}\"]\nmbit_per_s = 1000\nrtt_ms = 12.0",
                pair[0], pair[1],
            );
        }
        for service in &self.services {
            let _ = writeln!(
                text,
                "\n[[service]]\nname = \"{}\"\ndepends_on = {:?}\nslots = {}",
                service.name, service.depends_on, service.slots,
            );
            let _ = writeln!(text, "{}", routes(service.name));
        }
        for (site, addrs) in backends {
            let drained: Vec<_> = addrs.iter().filter(|addr| drained.contains(addr)).collect();
            let _ = writeln!(
                text,
                "\n[[backend]]\nservice = \"{}\"\nzone = \"{}\"\naddrs = {}\ndrain = {}",
                site.service,
                site.zone,
                quoted(addrs.iter()),
                quoted(drained.into_iter()),
            );
        }
        for workspace in self.workspaces {
            let _ = writeln!(
                text,
                "\n[[workspace]]\nname = \"{workspace}\"\nrate = {:?}\nburst = {:?}",
                self.rate, self.burst,
            );
        }
        text
    }
}

impl Default for Shape {
    fn default() -> Self {
        Self::new()
    }
}

/// An availability zone with its region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// The region.
    pub region: &'static str,
    /// The zone.
    pub zone: String,
}

/// The backend servers of one service in one zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Site {
    /// The service.
    pub service: String,
    /// The zone.
    pub zone: String,
}

fn routes(service: &str) -> String {
    format!(
        "\n[[route]]\npath = \"/{service}/public\"\nmethods = [\"GET\"]\nservice = \"{service}\"\n\
         access = \"open\"\nrepeat = \"safe\"\n\
         \n[[route]]\npath = \"/{service}\"\nmethods = [\"GET\"]\nservice = \"{service}\"\n\
         access = \"keyed\"\nrepeat = \"safe\"\n\
         \n[[route]]\npath = \"/{service}\"\nmethods = [\"POST\"]\nservice = \"{service}\"\n\
         access = \"keyed\"\nrepeat = \"once\""
    )
}

fn quoted<'a>(addrs: impl Iterator<Item = &'a SocketAddr>) -> String {
    let addrs: Vec<String> = addrs.map(|addr| format!("\"{addr}\"")).collect();
    format!("[{}]", addrs.join(", "))
}
