//! Choice of a backend server for a request.
//!
//! Two load patterns:
//!
//! *Many objects on servers that cache few of them.* A server is several times faster with an object
//! that it handled recently. For each object, every entry VM computes the same order of the servers
//! (rendezvous hashing), independent of the callers' zone, and uses only the first two. A separate
//! order per zone would load each object into a cache once per zone: more slow first requests, and more
//! objects than the servers of a small zone can cache. A request waits for a slot of the first server
//! rather than run on the second, where its object is cold. Under overload it is rejected: on any other
//! server it would take several times the work and evict other objects from that server's cache, and so
//! worsen the overload. Only where the first server's machine is slow, and the second one is clearly faster
//! and has a free slot, does the second one get the request.
//!
//! A server's share of the objects follows its size, by which its hash is weighted (weighted rendezvous
//! hashing). A server that comes takes its share from all others, and one that goes leaves its share to
//! them; no other object moves. A server that is cold gets objects only if no warm one has capacity, so
//! that an object moves once, when the server is warm, and not back and forth before. `docs/design/placement.md`
//! compares the alternatives.
//!
//! The order is of the whole fleet's servers, which spreads the load best, unless the target latency is
//! so short that the way to another region takes a large part of it ([`is_regional`]). Then it is of the
//! region's servers, as callers of one object are mostly in one region. Regions with fewer slots than
//! their callers need have a ratio of their objects, always the same ones, in the other regions; see
//! [`crate::spill`].
//!
//! *Requests that every server handles equally well.* They are served nearby: each request gets a
//! random order of servers, nearest first, and goes to the less loaded of the first two, or to any
//! server with capacity in the region of the first. The ratio of requests that spill to other zones
//! or regions changes slowly, see [`crate::spill`], so that no burst moves to another region at once.

use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::spill::Spill;

/// Distance of a backend server from the entry VM.
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
    /// Estimated number of requests at the server, running and waiting.
    pub load: f64,
    /// Requests that the server can run concurrently without slowing down.
    pub slots: f64,
    /// Size of the server, in slots by its registration: its share of the objects follows it.
    pub weight: f64,
    /// Whether the server is cold or suspected to be.
    pub is_cold: bool,
    /// How long work takes on the server's machine now, compared with the usual time.
    pub slowdown: f64,
    /// Requests that may wait at the server, per slot, for it to get this one.
    pub max_queue: f64,
}

/// The servers that may have an object.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reach {
    /// All servers.
    Fleet,
    /// Those of the callers' region, and for the given ratio of the objects those of other regions.
    Region(f64),
}

/// Longest target latency of objects that stay in the region of their callers. The way to another
/// region and back, with a new connection, takes up to a third of it.
const MAX_REGIONAL_TARGET: Duration = Duration::from_millis(300);

/// Returns whether objects of a route with the given target latency stay in the region of their callers.
/// Servers have to report their load, by which a full region gives objects away.
#[must_use]
pub fn is_regional(target_latency: Duration, reports_load: bool) -> bool {
    target_latency <= MAX_REGIONAL_TARGET && reports_load
}

/// How the servers are ordered for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Strategy {
    /// By object, for servers that are faster with recently handled objects.
    Affinity {
        /// Hash of the object.
        object: u64,
        /// Which servers may have the object.
        reach: Reach,
    },
    /// By distance.
    Proximity {
        /// Random number of the request.
        sample: u64,
        /// Ratios of requests that spill to other zones and regions.
        spill: Spill,
    },
}

/// Servers per object: the home server, and the one used while the home server is full.
const SERVERS_PER_OBJECT: usize = 2;

/// Slowdown from which a request may leave its object's first server. Below it, waiting there takes at most
/// 2.6 times the usual time, which is less than the work for an object that is not warm takes elsewhere,
/// over three times as long.
const MIN_SLOWDOWN: f64 = 1.3;

/// Ratio of the expected times at the first and the second server from which the second one is used.
const MIN_TIME_RATIO: f64 = 1.5;

/// Requests that may wait at a server, per slot, for it to get a request without restrictions.
pub const MAX_QUEUE: f64 = 1.0;

/// Returns the hash of a name.
#[must_use]
pub fn hash(name: &[u8]) -> u64 {
    xxh3_64(name)
}

/// Returns a number between 0 and 1 that is determined by `object` alone.
#[must_use]
pub fn unit_hash(object: u64) -> f64 {
    let upper_bits = xxh3_64_with_seed(&object.to_le_bytes(), 1) >> 32;
    f64::from(u32::try_from(upper_bits).unwrap_or(u32::MAX)) / f64::from(u32::MAX)
}

fn score(object: u64, server: u64) -> u64 {
    xxh3_64_with_seed(&object.to_le_bytes(), server)
}

/// Returns the index of the candidate for a request, or `None` if no candidate has capacity.
#[must_use]
pub fn choose(candidates: &[Candidate], strategy: Strategy) -> Option<usize> {
    match strategy {
        Strategy::Affinity { object, reach } => choose_by_affinity(candidates, object, reach),
        Strategy::Proximity { sample, spill } => choose_by_proximity(candidates, sample, spill),
    }
}

fn choose_by_affinity(candidates: &[Candidate], object: u64, reach: Reach) -> Option<usize> {
    let is_warm = |candidate: &Candidate| !candidate.is_cold;
    let among_warm = choose_in_order(candidates, object, reach, is_warm);
    if among_warm.is_some() || candidates.iter().all(is_warm) {
        return among_warm;
    }
    choose_in_order(candidates, object, reach, |_| true)
}

/// Chooses one of the first two servers in the object's order of the candidates that match `filter`.
fn choose_in_order(
    candidates: &[Candidate],
    object: u64,
    reach: Reach,
    filter: impl Fn(&Candidate) -> bool,
) -> Option<usize> {
    let is_far = |candidate: &Candidate| candidate.distance == Distance::Far;
    let mut servers = match reach {
        Reach::Fleet => Vec::new(),
        Reach::Region(spill) => {
            let is_away = unit_hash(object) < spill;
            servers_of(candidates, object, |candidate| {
                is_far(candidate) == is_away && filter(candidate)
            })
        }
    };
    if servers.is_empty() {
        servers = servers_of(candidates, object, filter);
    }
    let (home, others) = servers.split_first()?;
    let has_free_slot = |index: &&usize| has_free_slot(&candidates[**index]);
    let second = others.iter().find(has_free_slot).copied();
    let home_server = &candidates[*home];
    if !has_queue_capacity(home_server) {
        return second;
    }
    let faster = second.filter(|second| gives_way(home_server, &candidates[*second]));
    Some(faster.unwrap_or(*home))
}

/// Returns whether a request leaves its object's first server, which is slow, for the second one, which has
/// a free slot.
fn gives_way(first: &Candidate, second: &Candidate) -> bool {
    first.slowdown >= MIN_SLOWDOWN && expected_time(first) >= MIN_TIME_RATIO * expected_time(second)
}

/// Returns the expected time of one more request, in multiples of the usual time of its work.
fn expected_time(candidate: &Candidate) -> f64 {
    candidate.slowdown * ((candidate.load + 1.0) / candidate.slots.max(1.0)).max(1.0)
}

fn choose_by_proximity(candidates: &[Candidate], sample: u64, spill: Spill) -> Option<usize> {
    let mut order = by_distance(candidates, sample, spill);
    let is_far = |index: &usize| candidates[*index].distance == Distance::Far;
    let starts_far = is_far(order.first()?);
    order.retain(|index| is_far(index) == starts_far);
    let utilization = |index: &usize| candidates[*index].load / candidates[*index].slots.max(1.0);
    let by_utilization = |a: &&usize, b: &&usize| utilization(a).total_cmp(&utilization(b));
    let has_free_slot = |index: &&usize| has_free_slot(&candidates[**index]);
    let has_queue_capacity = |index: &&usize| has_queue_capacity(&candidates[**index]);
    let near = order
        .iter()
        .take(2)
        .filter(has_free_slot)
        .min_by(by_utilization);
    let free = near.or_else(|| order.iter().find(has_free_slot));
    free.or_else(|| {
        order
            .iter()
            .filter(has_queue_capacity)
            .min_by(by_utilization)
    })
    .copied()
}

fn has_free_slot(candidate: &Candidate) -> bool {
    has_capacity(candidate, 1.0)
}

/// Returns whether the request may run on the server or wait there.
fn has_queue_capacity(candidate: &Candidate) -> bool {
    has_capacity(candidate, 1.0 + candidate.max_queue)
}

/// Returns whether one more request stays within `per_slot` requests per slot.
fn has_capacity(candidate: &Candidate, per_slot: f64) -> bool {
    candidate.load + 1.0 <= (candidate.slots * per_slot).max(1.0)
}

/// Returns the indices of the candidates that match `filter` and serve an object, in the object's order.
fn servers_of(
    candidates: &[Candidate],
    object: u64,
    filter: impl Fn(&Candidate) -> bool,
) -> Vec<usize> {
    let matching = candidates.iter().enumerate();
    let matching = matching.filter(|(_, candidate)| filter(candidate));
    let is_weighted = has_sizes(matching.clone().map(|(_, candidate)| candidate));
    let mut best: Vec<((f64, u64), usize)> = Vec::with_capacity(SERVERS_PER_OBJECT + 1);
    for (index, candidate) in matching {
        let hash = score(object, candidate.server);
        let weighted = if is_weighted {
            weighted_score(hash, candidate.weight)
        } else {
            0.0
        };
        let score = (weighted, hash);
        let position = best.partition_point(|(higher, _)| *higher >= score);
        if position < SERVERS_PER_OBJECT {
            best.insert(position, (score, index));
            best.truncate(SERVERS_PER_OBJECT);
        }
    }
    best.into_iter().map(|(_, index)| index).collect()
}

/// Returns whether the candidates differ in size. If not, the hashes alone give the same order, without a
/// logarithm for each of them and without rounding.
#[allow(clippy::float_cmp)]
fn has_sizes<'a>(mut candidates: impl Iterator<Item = &'a Candidate>) -> bool {
    let first = candidates.next().map(|candidate| candidate.weight);
    first.is_some_and(|first| candidates.any(|candidate| candidate.weight != first))
}

/// Returns the score of a server of the given weight: of a set of servers, each has the highest one for a
/// share of the objects equal to its share of the weights. Grows with `hash`.
fn weighted_score(hash: u64, weight: f64) -> f64 {
    -weight.max(1.0) / open_unit(hash).ln()
}

/// Maps the upper 52 bits of `hash` to the middle of their interval, so that the result is neither 0 nor 1
/// and is exact.
fn open_unit(hash: u64) -> f64 {
    let upper = u32::try_from(hash >> 32).unwrap_or(u32::MAX);
    let lower = u32::try_from(hash >> 12 & 0xF_FFFF).unwrap_or(u32::MAX);
    let steps = f64::from(upper).mul_add(f64::from(1_u32 << 20), f64::from(lower));
    (steps + 0.5) / (f64::from(1_u32 << 26) * f64::from(1_u32 << 26))
}

/// Returns the indices of the candidates by distance, in an order determined by `sample` within each
/// distance. If the request spills, candidates of other zones or regions come first.
fn by_distance(candidates: &[Candidate], sample: u64, spill: Spill) -> Vec<usize> {
    let unit = unit_hash(sample);
    let rank = |distance: Distance| match distance {
        Distance::Far if unit < spill.region => 0,
        Distance::Region if unit < spill.zone => 1,
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
