//! Choosing a backend server.
//!
//! Answers two load patterns.
//!
//! *Requests for many objects on servers that keep few of them warm.* A server that handled an
//! object lately is several times faster with it. Each object has an order of all servers that
//! every entry VM computes alike (rendezvous hashing), wherever its callers are, and is served by
//! the first two of that order only. An order for each zone would warm an object once in each
//! zone: more first requests, each slow, and more objects than the servers of a small zone keep.
//! A request waits for a slot of the first rather than run at the second, where its object is
//! cold. Under overload it is rejected: sent to any other server, it would take several times the
//! work, push other objects out of that server's cache, and so deepen the overload.
//!
//! *Requests that any server handles alike.* They stay near: each draws an order of its own,
//! nearest servers first, and goes to the less loaded of the first two, or to any with room in the
//! region of the first. How many begin away from their zone or region changes slowly, see
//! [`crate::spill`], so that no burst moves to another region at once.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::spill::Spill;

/// How far a backend server is from the entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same zone.
    Zone,
    /// In the same region.
    Region,
    /// In another region.
    Far,
}

/// A backend server that may take a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Hash of the server's name.
    pub server: u64,
    /// Distance from this entry VM.
    pub distance: Distance,
    /// Requests that it is believed to have, running and waiting.
    pub load: f64,
    /// Requests that it can run at once without slowing down.
    pub slots: f64,
}

/// How a request's servers are ordered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Strategy {
    /// By the object, since servers are faster with objects that they handled lately.
    Affinity {
        /// Hash of the object.
        object: u64,
    },
    /// By distance.
    Proximity {
        /// A number drawn for the request.
        sample: u64,
        /// Requests that begin away from the zone.
        spill: Spill,
    },
}

/// Servers of an object: its home, and the one it goes to while its home is full.
const HOMES: usize = 2;

/// Requests that may wait at a server, for each of its slots.
const QUEUE: f64 = 1.0;

/// Returns the hash of an object's or a server's name.
#[must_use]
pub fn hash(name: &[u8]) -> u64 {
    xxh3_64(name)
}

/// Returns a number between 0 and 1 that depends on `object` alone.
#[must_use]
pub fn mix(object: u64) -> f64 {
    let mixed = xxh3_64_with_seed(&object.to_le_bytes(), 1) >> 32;
    f64::from(u32::try_from(mixed).unwrap_or(u32::MAX)) / f64::from(u32::MAX)
}

fn score(object: u64, server: u64) -> u64 {
    xxh3_64_with_seed(&object.to_le_bytes(), server)
}

/// Returns the index of the candidate for a request, or nothing if there is no room for it.
#[must_use]
pub fn choose(candidates: &[Candidate], way: Strategy) -> Option<usize> {
    match way {
        Strategy::Affinity { object } => choose_warm(candidates, object),
        Strategy::Proximity { sample, spill } => choose_near(candidates, sample, spill),
    }
}

fn choose_warm(candidates: &[Candidate], object: u64) -> Option<usize> {
    let homes = homes(candidates, object);
    let (home, others) = homes.split_first()?;
    if fits(&candidates[*home], 1.0 + QUEUE) {
        return Some(*home);
    }
    let is_free = |index: &&usize| fits(&candidates[**index], 1.0);
    others.iter().find(is_free).copied()
}

fn choose_near(candidates: &[Candidate], sample: u64, spill: Spill) -> Option<usize> {
    let mut order = by_distance(candidates, sample, spill);
    let is_far = |index: &usize| candidates[*index].distance == Distance::Far;
    let begins_far = is_far(order.first()?);
    order.retain(|index| is_far(index) == begins_far);
    let busy = |index: &usize| candidates[*index].load / candidates[*index].slots.max(1.0);
    let less = |a: &&usize, b: &&usize| busy(a).total_cmp(&busy(b));
    let is_free = |index: &&usize| fits(&candidates[**index], 1.0);
    let is_short = |index: &&usize| fits(&candidates[**index], 1.0 + QUEUE);
    let near = order.iter().take(2).filter(is_free).min_by(less);
    let free = near.or_else(|| order.iter().find(is_free));
    free.or_else(|| order.iter().filter(is_short).min_by(less))
        .copied()
}

fn fits(candidate: &Candidate, per_slot: f64) -> bool {
    candidate.load + 1.0 <= (candidate.slots * per_slot).max(1.0)
}

/// Returns the candidates that serve an object, in its order.
fn homes(candidates: &[Candidate], object: u64) -> Vec<usize> {
    let mut homes: Vec<(u64, usize)> = Vec::with_capacity(HOMES + 1);
    for (index, candidate) in candidates.iter().enumerate() {
        let score = score(object, candidate.server);
        let place = homes.partition_point(|(better, _)| *better >= score);
        if place < HOMES {
            homes.insert(place, (score, index));
            homes.truncate(HOMES);
        }
    }
    homes.into_iter().map(|(_, index)| index).collect()
}

/// Returns the candidates in the order of a request that stays near.
fn by_distance(candidates: &[Candidate], sample: u64, spill: Spill) -> Vec<usize> {
    let part = mix(sample);
    let rank = |distance: Distance| match distance {
        Distance::Far if part < spill.region => 0,
        Distance::Region if part < spill.zone => 1,
        Distance::Zone => 2,
        Distance::Region => 3,
        Distance::Far => 4,
    };
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_cached_key(|index| {
        let candidate = &candidates[*index];
        let score = score(sample, candidate.server);
        (rank(candidate.distance), std::cmp::Reverse(score))
    });
    order
}
