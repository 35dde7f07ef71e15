//! Spill of requests from overloaded zones and regions to others.
//!
//! Load pattern: waves of load reach zones of unequal size one after the other, on routes whose
//! requests are served nearby. A ratio of the requests spills to another zone of the region or to
//! another region. The ratio grows slowly while the utilization of the nearer servers is higher than
//! that of the farther ones, and otherwise shrinks slowly, so that no region's load changes abruptly.

use crate::window::to_f64;

/// Ratios of requests that spill from their zone, from 0 to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Spill {
    /// Ratio that spills to other zones of the region.
    pub zone: f64,
    /// Ratio that spills to other regions.
    pub region: f64,
}

/// Utilization of servers: requests per slot.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Utilization {
    /// Utilization in the entry VM's zone; `None` if there are no servers.
    pub zone: Option<f64>,
    /// Utilization in the other zones of the region; `None` if there are none.
    pub region: Option<f64>,
    /// Utilization in the other regions; `None` if there are none.
    pub far: Option<f64>,
}

/// Servers whose utilization is averaged.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Part {
    /// Requests at the servers.
    pub load: f64,
    /// Slots of the servers.
    pub slots: f64,
    /// Whether the entry VM reaches the servers.
    pub is_reachable: bool,
}

/// Returns the utilization of servers, or `None` if there are none. Servers that the entry VM does not reach
/// are left out: they may be lost, and would make those that remain look idle. With `or_unreachable`, all
/// count if it reaches none: it may be partitioned, and its spill must not jump.
#[must_use]
pub fn utilization(parts: &[Part], or_unreachable: bool) -> Option<f64> {
    let counts_all = or_unreachable && !parts.iter().any(|part| part.is_reachable);
    let counted = parts.iter().filter(|part| part.is_reachable || counts_all);
    let (load, slots) = counted.fold((0.0, 0.0), |(load, slots), part| {
        (load + part.load, slots + part.slots)
    });
    (slots > 0.0).then(|| load / slots)
}

/// What a zone reports of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Reported {
    /// The ratios by which its VMs send requests away.
    pub spill: Spill,
    /// Utilization of its servers.
    pub utilization: f64,
}

/// Utilization of a zone without backend servers. It is over 1, so all its requests spill to other zones.
pub const NO_SLOTS_UTILIZATION: f64 = 2.0;

/// Utilization from which a zone counts as having load.
const MIN_UTILIZATION: f64 = 0.01;

/// Utilization above which the spill may grow.
const HIGH_UTILIZATION: f64 = 0.85;

/// Utilization below which the spill shrinks.
const LOW_UTILIZATION: f64 = 0.6;

/// Minimum difference in utilization for a change of the spill.
const MIN_DIFFERENCE: f64 = 0.15;

/// Growth of a ratio per second. The growth of two seconds is less than a tenth of the requests, within
/// the limit on the change of a region's share.
const GROWTH_PER_S: f64 = 0.045;

/// Decline of a ratio per second.
const DECLINE_PER_S: f64 = 0.03;

/// Ratio of the difference from other VMs that is made up for in each step.
const CONVERGENCE: f64 = 0.1;

/// Maximum ratio that spills before any load is known.
const MAX_INITIAL: f64 = 0.9;

/// Shares of the fleet's slots and callers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Shares {
    /// Share of slots in the zone.
    pub zone_slots: f64,
    /// Share of slots in the region.
    pub region_slots: f64,
    /// Share of callers in the zone.
    pub zone_callers: f64,
    /// Share of callers in the region.
    pub region_callers: f64,
}

impl Spill {
    /// Returns the initial ratios, before any load is known. The servers are cold then, and each region
    /// gets a share of the requests equal to its share of all slots.
    #[must_use]
    pub fn initial(shares: Shares) -> Self {
        let zone_slots = shares.zone_slots / shares.region_slots.max(f64::MIN_POSITIVE);
        let zone_callers = shares.zone_callers / shares.region_callers.max(f64::MIN_POSITIVE);
        Self {
            zone: excess(zone_slots, zone_callers),
            region: excess(shares.region_slots, shares.region_callers),
        }
    }

    /// Returns the ratios of a VM that has had no request for the service, given what the zones of its
    /// region report: theirs if any of them has load, so that all VMs of the region choose alike, and
    /// otherwise the initial ones. Servers that come and go change the initial ratios at once, while VMs
    /// with requests change theirs slowly.
    #[must_use]
    pub fn without_requests(reported: &[Reported], shares: Shares) -> Self {
        let has_load = |zone: &Reported| zone.utilization >= MIN_UTILIZATION;
        let spills: Vec<Self> = reported.iter().map(|zone| zone.spill).collect();
        let mean = Self::mean(&spills).filter(|_| reported.iter().any(has_load));
        mean.unwrap_or_else(|| Self::initial(shares))
    }

    /// Returns the ratios after `elapsed_s` seconds at the given utilization.
    #[must_use]
    pub fn after(self, utilization: Utilization, elapsed_s: f64) -> Self {
        let zone = utilization.zone.unwrap_or(NO_SLOTS_UTILIZATION);
        // A zone without servers says nothing about whether its region has room.
        let near = match (utilization.zone, utilization.region) {
            (Some(zone), Some(region)) => f64::midpoint(zone, region),
            (None, Some(region)) => region,
            (_, None) => zone,
        };
        Self {
            zone: adjust(self.zone, zone, utilization.region, elapsed_s),
            region: adjust(self.region, near, utilization.far, elapsed_s),
        }
    }

    /// Returns the ratios moved towards the mean of other VMs' ratios, so that VMs with the same servers
    /// converge. The others' ratios are reported with a delay, so a larger step would slow down the
    /// changes that all of them make.
    #[must_use]
    pub fn towards(self, others: &[Self]) -> Self {
        let Some(mean) = Self::mean(others) else {
            return self;
        };
        Self {
            zone: CONVERGENCE.mul_add(mean.zone - self.zone, self.zone),
            region: CONVERGENCE.mul_add(mean.region - self.region, self.region),
        }
    }

    /// Returns the mean of `spills`, or `None` if there are none.
    #[must_use]
    pub fn mean(spills: &[Self]) -> Option<Self> {
        let count = to_f64(spills.len());
        let sum = |of: fn(&Self) -> f64| spills.iter().map(of).sum::<f64>();
        (!spills.is_empty()).then(|| Self {
            zone: sum(|spill| spill.zone) / count,
            region: sum(|spill| spill.region) / count,
        })
    }
}

/// Returns the ratio of the callers' requests that exceeds the capacity of the slots.
fn excess(slots: f64, callers: f64) -> f64 {
    if callers <= slots {
        return 0.0;
    }
    (1.0 - slots / callers).min(MAX_INITIAL)
}

/// Returns `ratio` after a change over `elapsed_s` seconds, given the utilization of the nearer and the
/// farther servers.
fn adjust(ratio: f64, near: f64, farther: Option<f64>, elapsed_s: f64) -> f64 {
    let Some(farther) = farther else {
        return 0.0;
    };
    let change = if near > HIGH_UTILIZATION && farther < near - MIN_DIFFERENCE {
        GROWTH_PER_S
    } else if near < LOW_UTILIZATION || farther > near + MIN_DIFFERENCE {
        -DECLINE_PER_S
    } else {
        0.0
    };
    change.mul_add(elapsed_s, ratio).clamp(0.0, 1.0)
}
