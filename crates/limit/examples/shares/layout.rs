//! Regions, zones and VMs of the simulated fleet, and the connections between them.

/// Number of zones.
pub const ZONES: usize = 6;

/// VMs in each zone.
pub const VMS_PER_ZONE: usize = 2;

/// Number of VMs.
pub const VMS: usize = ZONES * VMS_PER_ZONE;

const ZONES_PER_REGION: usize = 2;

/// Zone of the fleet's first leader.
pub const LEADER_ZONE: usize = 0;

/// Zone to partition if it is not the leader's zone.
const FOLLOWER_ZONE: usize = 3;

/// Start of the partition, in milliseconds.
pub const PARTITIONED_AT_MS: u64 = 90_000;

/// End of the partition, in milliseconds.
pub const RECONNECTED_AT_MS: u64 = 150_000;

/// Zone that is partitioned for a minute.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Partition {
    None,
    Zone,
    LeaderZone,
}

impl Partition {
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "nothing",
            Self::Zone => "a zone",
            Self::LeaderZone => "the leader's zone",
        }
    }

    /// Returns the zone that is partitioned at `now`.
    pub fn zone(self, now: u64) -> Option<usize> {
        if !(PARTITIONED_AT_MS..RECONNECTED_AT_MS).contains(&now) {
            return None;
        }
        match self {
            Self::None => None,
            Self::Zone => Some(FOLLOWER_ZONE),
            Self::LeaderZone => Some(LEADER_ZONE),
        }
    }

    pub fn reaches(self, from: usize, to: usize, now: u64) -> bool {
        let partition = self.zone(now);
        from == to || (partition != Some(from) && partition != Some(to))
    }
}

/// Returns the one-way delay between two zones, in milliseconds.
pub fn delay_ms(from: usize, to: usize) -> u64 {
    if from / ZONES_PER_REGION == to / ZONES_PER_REGION {
        1
    } else {
        6
    }
}

/// Returns the round trip between two zones, in milliseconds.
pub fn round_trip_ms(from: usize, to: usize) -> f64 {
    if from / ZONES_PER_REGION == to / ZONES_PER_REGION {
        1.0
    } else {
        12.0
    }
}

pub fn zone_of(vm: usize) -> usize {
    vm / VMS_PER_ZONE
}
