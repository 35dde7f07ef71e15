//! Scenario definition, read from a TOML file.

use std::time::Duration;

use eyre::{WrapErr, ensure};
use serde::Deserialize;

/// A fleet, its callers and the faults injected during a run.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name, printed with the results.
    pub name: String,
    /// Duration of the run, in seconds.
    pub length_s: f64,
    /// One-way latency between two regions, in milliseconds.
    pub between_regions_ms: f64,
    /// One-way latency between two zones of a region, in milliseconds.
    pub between_zones_ms: f64,
    /// One-way latency between callers and entry VMs, in milliseconds.
    pub to_callers_ms: f64,
    /// Availability zones.
    pub zones: Vec<Zone>,
    /// Services.
    pub services: Vec<Service>,
    /// Kinds of requests.
    pub kinds: Vec<Kind>,
    /// Faults injected during the run.
    #[serde(default)]
    pub troubles: Vec<Fault>,
}

/// An availability zone.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Name, referenced by faults.
    pub name: String,
    /// Name of the region.
    pub region: String,
    /// Number of entry VMs.
    pub vms: usize,
    /// Share of all requests sent by callers in this zone.
    pub callers: f64,
    /// Phase of the zone's request-rate wave, as a fraction of the period.
    #[serde(default)]
    pub phase: f64,
}

/// A service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, referenced by kinds of requests and faults.
    pub name: String,
    /// Number of servers in each zone, in the order of the zones.
    pub servers: Vec<usize>,
    /// Maximum requests that a server runs at once.
    pub slots: u32,
    /// Maximum requests queued at a server.
    pub queue: usize,
    /// Maximum objects that a server keeps warm.
    pub keeps: usize,
    /// Whether servers report their load with each response.
    #[serde(default = "default_tells_load")]
    pub tells_load: bool,
}

/// A kind of request.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name, part of the key from which objects are hashed.
    pub name: String,
    /// Name of the service that handles the requests.
    pub service: String,
    /// Mean requests per second over all callers.
    pub per_s: f64,
    /// Amplitude of the request-rate wave, as a fraction of the mean.
    #[serde(default)]
    pub swing: f64,
    /// Period of the wave, in seconds.
    #[serde(default = "default_period_s")]
    pub period_s: f64,
    /// Number of distinct objects.
    pub objects: u64,
    /// Mean service time on a cold object, in milliseconds.
    pub work_ms: f64,
    /// Fraction of the service time that a warm object saves; 0 for routes without affinity.
    pub warm_gain: f64,
    /// Latency up to which a response earns full credit, in milliseconds.
    pub aim_ms: f64,
    /// Deadline of a caller, in milliseconds; later responses earn nothing.
    pub deadline_ms: f64,
    /// Credit of a response between `aim_ms` and `deadline_ms`, as a fraction of full credit.
    pub late: f64,
    /// Maximum retries of a caller after refusals.
    pub retries: u32,
}

/// A temporary fault or change of load.
#[derive(Debug, Clone, Deserialize)]
pub struct Fault {
    /// Start, in seconds after the start of the run.
    pub at_s: f64,
    /// Duration, in seconds.
    pub for_s: f64,
    /// Effect on callers or servers.
    #[serde(flatten)]
    pub what: Effect,
}

/// Effect of a fault.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Effect {
    /// Multiplies the request rate of one zone, or of all zones, by `x`.
    Burst {
        /// Affected zone; all zones if absent.
        zone: Option<String>,
        /// Multiplier.
        x: f64,
    },
    /// Moves a share of a zone's callers to another zone.
    Shift {
        /// Zone whose request rate falls.
        zone: String,
        /// Zone whose request rate rises.
        to_zone: String,
        /// Share of the callers that move.
        share: f64,
    },
    /// Multiplies the service time of a share of a service's servers by `x`.
    Slow {
        /// Affected service.
        service: String,
        /// Share of the servers that are slow.
        share: f64,
        /// Multiplier.
        x: f64,
    },
    /// Cuts a zone's entry VMs off from all servers. They know it at once, and pass requests on.
    Cut {
        /// Affected zone.
        zone: String,
    },
    /// Stops a zone's servers, which return without warm objects.
    Away {
        /// Affected zone.
        zone: String,
    },
}

fn default_tells_load() -> bool {
    true
}

fn default_period_s() -> f64 {
    30.0
}

impl Scenario {
    /// Parses and checks a scenario.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid TOML, has missing or unknown fields, names an unknown service
    /// or zone, lacks a zone or an entry VM, or does not give a server count for each zone.
    pub fn parse(text: &str) -> eyre::Result<Self> {
        let scenario: Self = toml::from_str(text).wrap_err("invalid scenario")?;
        scenario.check()?;
        Ok(scenario)
    }

    fn check(&self) -> eyre::Result<()> {
        ensure!(!self.zones.is_empty(), "a scenario needs at least one zone");
        for service in &self.services {
            ensure!(
                service.servers.len() == self.zones.len(),
                "service {} needs a server count for each of {} zones",
                service.name,
                self.zones.len()
            );
        }
        for kind in &self.kinds {
            ensure!(
                self.service(&kind.service).is_some(),
                "request kind {} names unknown service {}",
                kind.name,
                kind.service
            );
        }
        for fault in &self.troubles {
            self.check_effect(&fault.what)?;
        }
        ensure!(
            self.zones.iter().any(|zone| zone.vms > 0),
            "a scenario needs at least one entry VM"
        );
        Ok(())
    }

    fn check_effect(&self, effect: &Effect) -> eyre::Result<()> {
        let zones = match effect {
            Effect::Burst { zone, .. } => zone.iter().collect(),
            Effect::Shift { zone, to_zone, .. } => vec![zone, to_zone],
            Effect::Cut { zone } | Effect::Away { zone } => vec![zone],
            Effect::Slow { service, .. } => {
                ensure!(self.service(service).is_some(), "unknown service {service}");
                Vec::new()
            }
        };
        for zone in zones {
            ensure!(self.zone(zone).is_some(), "unknown zone {zone}");
        }
        Ok(())
    }

    /// Returns the index of a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<usize> {
        self.services
            .iter()
            .position(|service| service.name == name)
    }

    /// Returns the index of a zone.
    #[must_use]
    pub fn zone(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|zone| zone.name == name)
    }

    /// Returns the one-way latency between two zones; zero within a zone.
    #[must_use]
    pub fn latency(&self, one: usize, other: usize) -> Duration {
        if one == other {
            return Duration::ZERO;
        }
        let is_same_region = self.zones[one].region == self.zones[other].region;
        let latency_ms = if is_same_region {
            self.between_zones_ms
        } else {
            self.between_regions_ms
        };
        ms(latency_ms)
    }
}

impl Fault {
    /// Returns whether the fault is active `now` seconds after the start.
    #[must_use]
    pub fn is_active(&self, now: f64) -> bool {
        (self.at_s..self.at_s + self.for_s).contains(&now)
    }
}

/// Converts milliseconds to a duration; negative values become zero.
#[must_use]
pub fn ms(milliseconds: f64) -> Duration {
    Duration::from_secs_f64(milliseconds.max(0.0) / 1_000.0)
}
