//! Division of a resource into base shares, a reserve and a pool of lent shares.

/// Fraction of each resource that is assigned as base shares, in percent.
const BASE_PERCENT: u64 = 10;

/// Fraction of each resource that its owner keeps as a reserve, in percent.
const RESERVE_PERCENT: u64 = 60;

/// Division of a resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Split {
    /// Total amount of the resource.
    total: u64,
    /// Base share of each zone.
    zone_share: u64,
    zones: u64,
    /// Amount that the owner keeps; at most the remainder after the base shares.
    reserve: u64,
}

impl Split {
    /// Divides `total`, with the base shares distributed evenly over `zones` zones.
    #[must_use]
    pub fn new(total: u64, zones: u64) -> Self {
        Self::with_percents(total, zones, BASE_PERCENT, RESERVE_PERCENT)
    }

    /// Like [`Split::new`], with `base_percent` percent of the total as base shares and `reserve` percent
    /// as reserve.
    #[must_use]
    pub fn with_percents(total: u64, zones: u64, base_percent: u64, reserve: u64) -> Self {
        let base_percent = base_percent.min(100);
        let zone_share = (total / 100 * base_percent).checked_div(zones).unwrap_or(0);
        Self {
            total,
            zone_share,
            zones,
            reserve: total / 100 * reserve.min(100 - base_percent),
        }
    }

    /// Returns the base share of one VM in a zone with `ordinals` ordinals.
    #[must_use]
    pub fn base_share(&self, ordinals: u64) -> u64 {
        self.zone_share.checked_div(ordinals).unwrap_or(0)
    }

    /// Returns the amount that the owner keeps.
    #[must_use]
    pub fn reserve(&self) -> u64 {
        self.reserve
    }

    /// Returns the amount that is lent.
    #[must_use]
    pub fn pool(&self) -> u64 {
        self.total - self.zone_share * self.zones - self.reserve
    }
}
