//! Choosing a backend server.
//!
//! Answers requests for few objects on many servers: a server that handled an object lately is
//! several times faster with it, so each object has an order of servers that every entry VM
//! computes alike (rendezvous hashing), nearest servers first, and is served by the first few of
//! the order only. Under overload a request waits at those or is rejected: sent to any other, it
//! would take several times the work, push other objects out of that server's cache, and so
//! deepen the overload. See [`crate::spill`] for the objects that begin away from their zone.

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

/// Servers that take turns for an object while they have free slots.
const HOMES: usize = 2;

/// Servers of an object in all.
const HOMES_MOST: usize = 3;

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

/// Returns the index of the candidate for `object`, or nothing if its servers have no room.
#[must_use]
pub fn choose(candidates: &[Candidate], object: u64, spill: Spill) -> Option<usize> {
    let order = order(candidates, object, spill);
    let homes = &order[..order.len().min(HOMES)];
    let rest = &order[homes.len()..order.len().min(HOMES_MOST)];
    let is_free = |index: &&usize| fits(&candidates[**index], 1.0);
    let is_short = |index: &&usize| fits(&candidates[**index], 1.0 + QUEUE);
    let chosen = homes.iter().find(is_free);
    let chosen = chosen.or_else(|| homes.iter().find(is_short));
    chosen.or_else(|| rest.iter().find(is_free)).copied()
}

fn fits(candidate: &Candidate, per_slot: f64) -> bool {
    candidate.load + 1.0 <= (candidate.slots * per_slot).max(1.0)
}

/// Returns the candidates in the object's order.
fn order(candidates: &[Candidate], object: u64, spill: Spill) -> Vec<usize> {
    let part = mix(object);
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
        let score = score(object, candidate.server);
        (rank(candidate.distance), std::cmp::Reverse(score))
    });
    order
}
