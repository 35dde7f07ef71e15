//! Other methods of placing objects on servers, over the whole fleet.

use std::collections::{BTreeMap, HashMap};

use steer::placement::{Strategy, choose, hash};
use steer::to_f64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::{Fleet, object};

/// Objects that are placed.
const OBJECTS: u64 = 200_000;

/// Points of a server on the ring, for each slot.
const POINTS_PER_SLOT: u64 = 20;

/// Entries of the lookup table, a prime number: about 80 for each slot.
const ENTRIES: u64 = 65_537;

/// Load of a server that bounded loads permit, compared with the mean.
const BOUND: f64 = 1.1;

/// Returns the server of each object.
type Place = fn(&Fleet) -> Vec<u64>;

pub const ALTERNATIVES: [(&str, Place); 6] = [
    ("rendezvous, not weighted", rendezvous),
    ("rendezvous, weighted", weighted),
    ("ring, 20 points per slot", ring),
    ("jump hashing over slots", jump),
    ("lookup table (Maglev), 65,537 entries", table),
    ("weighted rendezvous, loads bounded at 1.1", bounded),
];

fn objects() -> impl Iterator<Item = u64> {
    (0..OBJECTS).map(|number| object(0, number))
}

fn servers(fleet: &Fleet) -> Vec<(u64, f64)> {
    let server = |server: &crate::fleet::Server| (hash(server.name.as_bytes()), server.slots);
    fleet.servers().iter().map(server).collect()
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(value: f64) -> u64 {
    value as u64
}

fn rendezvous(fleet: &Fleet) -> Vec<u64> {
    let candidates = fleet.seen_from(0);
    let reach = steer::placement::Reach::Fleet;
    let home = |object| crate::earlier::choose_by_affinity(&candidates, object, reach);
    let homes = objects().filter_map(home);
    homes.map(|index| candidates[index].server).collect()
}

fn weighted(fleet: &Fleet) -> Vec<u64> {
    let candidates = fleet.seen_from(0);
    let reach = steer::placement::Reach::Fleet;
    let home = |object| choose(&candidates, Strategy::Affinity { object, reach });
    let homes = objects().filter_map(home);
    homes.map(|index| candidates[index].server).collect()
}

fn ring(fleet: &Fleet) -> Vec<u64> {
    let mut points = BTreeMap::new();
    for (server, slots) in servers(fleet) {
        for point in 0..whole(slots) * POINTS_PER_SLOT {
            points.insert(xxh3_64_with_seed(&point.to_le_bytes(), server), server);
        }
    }
    let first = points
        .values()
        .next()
        .copied()
        .expect("the ring has points");
    let next = |object| {
        points
            .range(object..)
            .next()
            .map_or(first, |(_, server)| *server)
    };
    objects().map(next).collect()
}

fn jump(fleet: &Fleet) -> Vec<u64> {
    let mut slots = Vec::new();
    for (server, count) in servers(fleet) {
        slots.extend((0..whole(count)).map(|_| server));
    }
    objects()
        .map(|object| slots[jump_to(object, slots.len())])
        .collect()
}

/// Returns the bucket of a key among `count` buckets.
fn jump_to(mut key: u64, count: usize) -> usize {
    let mut bucket = 0;
    let mut next = 0;
    while next < count {
        bucket = next;
        key = key.wrapping_mul(2_862_933_555_777_941_757).wrapping_add(1);
        let scale = f64::from(1_u32 << 31) / to_f64(usize::try_from((key >> 33) + 1).unwrap_or(1));
        next = usize::try_from(whole(to_f64(bucket + 1) * scale)).unwrap_or(count);
    }
    bucket
}

fn table(fleet: &Fleet) -> Vec<u64> {
    let servers = servers(fleet);
    let largest = servers.iter().map(|(_, slots)| *slots).fold(0.0, f64::max);
    let mut table = vec![0; usize::try_from(ENTRIES).unwrap_or_default()];
    let mut filled = 0;
    let mut next = vec![0_u64; servers.len()];
    let mut credit = vec![0.0; servers.len()];
    while filled < table.len() {
        for (index, (server, slots)) in servers.iter().enumerate() {
            credit[index] += slots / largest;
            if credit[index] < 1.0 || filled == table.len() {
                continue;
            }
            credit[index] -= 1.0;
            let offset = xxh3_64_with_seed(b"offset", *server) % ENTRIES;
            let skip = xxh3_64_with_seed(b"skip", *server) % (ENTRIES - 1) + 1;
            loop {
                let entry = (offset + next[index] * skip) % ENTRIES;
                next[index] += 1;
                let entry = &mut table[usize::try_from(entry).unwrap_or_default()];
                if *entry == 0 {
                    *entry = *server;
                    filled += 1;
                    break;
                }
            }
        }
    }
    let entry = |object: u64| table[usize::try_from(object % ENTRIES).unwrap_or_default()];
    objects().map(entry).collect()
}

/// Places the objects one after the other, each at the first server of its order below the bound.
fn bounded(fleet: &Fleet) -> Vec<u64> {
    let candidates = fleet.seen_from(0);
    let servers: HashMap<u64, f64> = servers(fleet).into_iter().collect();
    let objects_per_slot = to_f64(usize::try_from(OBJECTS).unwrap_or(1)) / fleet.slots();
    let mut counts: HashMap<u64, f64> = HashMap::new();
    let reach = steer::placement::Reach::Fleet;
    let mut place = |object| {
        let mut remaining = candidates.clone();
        loop {
            let index = choose(&remaining, Strategy::Affinity { object, reach })?;
            let server = remaining[index].server;
            let count = counts.entry(server).or_default();
            if *count + 1.0 <= BOUND * objects_per_slot * servers[&server] {
                *count += 1.0;
                return Some(server);
            }
            remaining.swap_remove(index);
        }
    };
    objects().filter_map(&mut place).collect()
}
