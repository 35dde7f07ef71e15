//! Moving work away from zones and regions that have more of it than slots.
//!
//! Answers waves of load that reach zones of unequal size one after the other, on routes whose
//! requests stay near. A part of the requests begins in another zone of the region or in another
//! region; the part grows slowly while the nearer servers are busier than the further ones, and
//! shrinks slowly once they are not, so that no region's load changes abruptly.

use crate::window::to_f64;

/// Part of the requests that begin away from their zone, from 0 to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Spill {
    /// Part that begins in another zone of the region.
    pub zone: f64,
    /// Part that begins in another region.
    pub region: f64,
}

/// How busy servers are: requests for each slot.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Utilization {
    /// In the entry VM's zone.
    pub zone: f64,
    /// In the other zones of the region; absent if there are none.
    pub region: Option<f64>,
    /// In the other regions; absent if there are none.
    pub far: Option<f64>,
}

/// Requests for each slot above which work moves away.
const HIGH: f64 = 0.85;

/// Requests for each slot below which work comes back.
const LOW: f64 = 0.6;

/// Difference that is worth a move.
const GAP: f64 = 0.15;

/// Largest growth of a part in a second. Two seconds of it stay below a tenth of the requests,
/// within the bound on the change of a region's share.
const UP_PER_S: f64 = 0.045;

/// Largest decline of a part in a second.
const DOWN_PER_S: f64 = 0.03;

/// Largest part that is moved away before any load was seen.
const PRIOR_MOST: f64 = 0.9;

/// Where slots and callers are, as parts of the whole.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Shares {
    /// Slots of the zone.
    pub zone_slots: f64,
    /// Slots of the region.
    pub region_slots: f64,
    /// Callers of the zone.
    pub zone_callers: f64,
    /// Callers of the region.
    pub region_callers: f64,
}

impl Spill {
    /// Returns the parts to begin with before any load was seen: servers are cold then, and each
    /// region's slots take the part of the work that they are of all slots.
    #[must_use]
    pub fn initial(shares: Shares) -> Self {
        let zone_slots = shares.zone_slots / shares.region_slots.max(f64::MIN_POSITIVE);
        let zone_callers = shares.zone_callers / shares.region_callers.max(f64::MIN_POSITIVE);
        Self {
            zone: excess(zone_slots, zone_callers),
            region: excess(shares.region_slots, shares.region_callers),
        }
    }

    /// Returns the parts after `elapsed_s` seconds in which servers were as `busy` as given.
    #[must_use]
    pub fn after(self, busy: Utilization, elapsed_s: f64) -> Self {
        let near = busy
            .region
            .map_or(busy.zone, |region| f64::midpoint(busy.zone, region));
        Self {
            zone: adjust(self.zone, busy.zone, busy.region, elapsed_s),
            region: adjust(self.region, near, busy.far, elapsed_s),
        }
    }

    /// Returns the mean of `self` and what others chose, so that those who see the same servers
    /// agree.
    #[must_use]
    pub fn mean(self, others: &[Self]) -> Self {
        let count = to_f64(others.len()) + 1.0;
        let zone: f64 = others.iter().map(|other| other.zone).sum();
        let region: f64 = others.iter().map(|other| other.region).sum();
        Self {
            zone: (self.zone + zone) / count,
            region: (self.region + region) / count,
        }
    }
}

/// Returns the part of the callers' work that the slots have no room for.
fn excess(slots: f64, callers: f64) -> f64 {
    if callers <= slots {
        return 0.0;
    }
    (1.0 - slots / callers).min(PRIOR_MOST)
}

fn adjust(part: f64, near: f64, further: Option<f64>, elapsed_s: f64) -> f64 {
    let Some(further) = further else {
        return 0.0;
    };
    let change = if near > HIGH && further < near - GAP {
        UP_PER_S
    } else if near < LOW || further > near + GAP {
        -DOWN_PER_S
    } else {
        0.0
    };
    change.mul_add(elapsed_s, part).clamp(0.0, 1.0)
}
