//! Workspace keys.

use std::hint::black_box;

use key::{Hasher, KeySet};
use wire::Secret;
use wire::keyring::{Keyring, Record};

use super::{float, shortest_us};
use crate::slope::{Slope, Slopes};

/// Keys that are measured.
const SIZES: [usize; 4] = [1_000, 4_000, 16_000, 64_000];

/// Checks that are timed together.
const CHECKS: usize = 100_000;

/// Runs of which the shortest counts.
const RUNS: usize = 3;

/// Measures the time of a key check and the bytes of the records on the wire.
pub fn measure(slopes: &mut Slopes) {
    let mut time = Slope::new("keys", "hash and look-up of a presented key, ns");
    let mut bytes = Slope::new("keys", "all records on the wire, bytes");
    for size in SIZES {
        let hasher = Hasher::new(&Secret::new([3; 32]));
        let records: Vec<Record> = (0..size).map(|number| record(&hasher, number)).collect();
        let keyring = Keyring { records };
        let sent = postcard::to_stdvec(&keyring).map_or(0, |bytes| bytes.len());
        let mut ring = KeySet::new();
        ring.merge(&keyring);
        let took_us = shortest_us(RUNS, || {
            for check in 0..CHECKS {
                let presented = token(check % size);
                black_box(ring.check(&hasher.hash(presented.as_bytes())));
            }
        });
        time.push(float(size), took_us * 1e3 / float(CHECKS));
        bytes.push(float(size), float(sent));
    }
    slopes.insert("key-check-ns".to_owned(), time);
    slopes.insert("key-bytes".to_owned(), bytes);
}

fn token(number: usize) -> String {
    format!("td_{number:064}")
}

fn record(hasher: &Hasher, number: usize) -> Record {
    Record {
        id: format!("{number:08x}"),
        workspace: format!("workspace-{}", number % 100),
        hash: hasher.hash(token(number).as_bytes()),
        withdrawn: number.is_multiple_of(10),
    }
}
