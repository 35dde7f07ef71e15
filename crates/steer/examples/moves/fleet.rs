//! A fleet of servers, and the objects that they have.

use std::collections::{HashMap, HashSet};

use steer::placement::{Candidate, Distance, MAX_QUEUE, hash};
use steer::spill::{Shares, Spill};
use steer::to_f64;

/// Servers of each zone; two zones make a region.
const SERVERS: [usize; 6] = [4, 4, 18, 18, 22, 22];

/// A server.
#[derive(Debug, Clone)]
pub struct Server {
    pub name: String,
    pub zone: usize,
    pub slots: f64,
}

/// Sizes of the servers.
#[derive(Debug, Clone, Copy)]
pub enum Sizes {
    /// 9 slots each.
    Equal,
    /// 4, 9 and 18 slots in turn.
    Mixed,
}

impl Sizes {
    pub fn name(self) -> &'static str {
        match self {
            Self::Equal => "equal",
            Self::Mixed => "mixed",
        }
    }
}

/// The servers of a service.
#[derive(Debug, Clone)]
pub struct Fleet(Vec<Server>);

impl Fleet {
    /// Returns the servers of the tolls' largest service.
    pub fn tolls(sizes: Sizes) -> Self {
        let mut servers = Vec::new();
        for (zone, count) in SERVERS.into_iter().enumerate() {
            for number in 0..count {
                let slots = match sizes {
                    Sizes::Equal => 9.0,
                    Sizes::Mixed => [4.0, 9.0, 18.0][number % 3],
                };
                let name = format!("server-{zone}-{number}");
                servers.push(Server { name, zone, slots });
            }
        }
        Self(servers)
    }

    pub fn servers(&self) -> &[Server] {
        &self.0
    }

    pub fn with_server(&self, name: &str, zone: usize, slots: f64) -> Self {
        let name = name.to_owned();
        let mut servers = self.0.clone();
        servers.push(Server { name, zone, slots });
        Self(servers)
    }

    pub fn without(&self, name: &str) -> Self {
        let mut servers = self.0.clone();
        servers.retain(|server| server.name != name);
        Self(servers)
    }

    pub fn without_first_of(&self, zone: usize) -> Self {
        let first = self.0.iter().find(|server| server.zone == zone);
        self.without(&first.expect("the zone has servers").name)
    }

    pub fn without_zone(&self, zone: usize) -> Self {
        let mut servers = self.0.clone();
        servers.retain(|server| server.zone != zone);
        Self(servers)
    }

    pub fn slots(&self) -> f64 {
        self.0.iter().map(|server| server.slots).sum()
    }

    /// Returns the slots of a region's servers.
    pub fn slots_of(&self, region: usize) -> f64 {
        let of_region = self.0.iter().filter(|server| server.zone / 2 == region);
        of_region.map(|server| server.slots).sum()
    }

    /// Returns the ratios of the regions' objects that are away before any load is known.
    pub fn initial_spills(&self) -> [f64; 3] {
        [0, 1, 2].map(|region| {
            let shares = Shares {
                region_slots: self.slots_of(region) / self.slots(),
                region_callers: 1.0 / 3.0,
                ..Shares::default()
            };
            Spill::initial(shares).region
        })
    }

    /// Returns the idle servers as the VMs of `zone` see them.
    pub fn seen_from(&self, zone: usize) -> Vec<Candidate> {
        let candidate = |server: &Server| Candidate {
            server: hash(server.name.as_bytes()),
            distance: match server.zone {
                at if at == zone => Distance::Zone,
                at if at / 2 == zone / 2 => Distance::Region,
                _ => Distance::Far,
            },
            load: 0.0,
            slots: server.slots,
            weight: server.slots,
            is_cold: false,
            slowdown: 1.0,
            max_queue: MAX_QUEUE,
        };
        self.0.iter().map(candidate).collect()
    }

    fn hashes(&self) -> HashSet<u64> {
        let hash = |server: &Server| hash(server.name.as_bytes());
        self.0.iter().map(hash).collect()
    }

    /// Returns each server's share of the objects, compared with its share of the slots.
    fn relative_shares(&self, homes: &[u64]) -> Vec<f64> {
        let mut counts: HashMap<u64, usize> = HashMap::new();
        for home in homes {
            *counts.entry(*home).or_default() += 1;
        }
        let relative = |server: &Server| {
            let count = counts.get(&hash(server.name.as_bytes()));
            let share = to_f64(count.copied().unwrap_or_default()) / to_f64(homes.len());
            share / (server.slots / self.slots())
        };
        self.0.iter().map(relative).collect()
    }

    /// Returns the highest share of a server, compared with its share of the slots.
    pub fn busiest(&self, homes: &[u64]) -> f64 {
        self.relative_shares(homes).into_iter().fold(0.0, f64::max)
    }

    /// Returns the lowest one.
    pub fn idlest(&self, homes: &[u64]) -> f64 {
        let shares = self.relative_shares(homes);
        shares.into_iter().fold(f64::INFINITY, f64::min)
    }
}

/// Returns the hash of an object of a region.
pub fn object(region: usize, number: u64) -> u64 {
    hash(format!("object-{region}-{number}").as_bytes())
}

/// Returns the ratio of the objects whose home differs.
pub fn moved(then: &[u64], now: &[u64]) -> f64 {
    let pairs = then.iter().zip(now);
    to_f64(pairs.filter(|(then, now)| then != now).count()) / to_f64(then.len())
}

/// Returns the ratio of the objects that move between two servers of which neither came nor left.
pub fn moved_between(old: &Fleet, new: &Fleet, then: &[u64], now: &[u64]) -> f64 {
    let (old, new) = (old.hashes(), new.hashes());
    let is_between =
        |(then, now): &(&u64, &u64)| then != now && new.contains(*then) && old.contains(*now);
    to_f64(then.iter().zip(now).filter(is_between).count()) / to_f64(then.len())
}

/// Returns the ratio of the objects that have to move for the shares to follow the sizes.
pub fn needed(old: &Fleet, new: &Fleet) -> f64 {
    let shares = |fleet: &Fleet| -> HashMap<String, f64> {
        let share = |server: &Server| (server.name.clone(), server.slots / fleet.slots());
        fleet.0.iter().map(share).collect()
    };
    let then = shares(old);
    let gain = |(name, share): (String, f64)| {
        (share - then.get(&name).copied().unwrap_or_default()).max(0.0)
    };
    shares(new).into_iter().map(gain).sum()
}

/// Formats a ratio in percent.
pub fn percent(ratio: f64) -> String {
    format!("{:.2}%", 100.0 * ratio)
}
