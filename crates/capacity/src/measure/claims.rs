//! Claims of operations that must not repeat.

use std::hint::black_box;

use once::{Claims, Id};
use wire::Vm;

use super::{float, shortest_us};
use crate::slope::{Slope, Slopes};

/// Claims in a shard that are measured.
const SIZES: [usize; 4] = [1_000, 4_000, 12_000, 24_000];

/// Owners that the claims are spread over.
const OWNERS: u64 = 100;

/// Runs of which the shortest counts.
const RUNS: usize = 3;

/// Measures the size of a shard's record and the time to read and write it.
pub fn measure(slopes: &mut Slopes) -> eyre::Result<()> {
    let mut bytes = Slope::new("claims in a shard", "record at the platform, bytes");
    let mut time = Slope::new(
        "claims in a shard",
        "reading and writing the record, ms of one core",
    );
    for size in SIZES {
        let mut claims = Claims::new();
        for number in 0..size as u64 {
            let mut id = [7; 16];
            id[..8].copy_from_slice(&number.wrapping_mul(0x9E37_79B9_7F4A_7C15).to_le_bytes());
            let vm = Vm::new("north-a-vm", number % OWNERS);
            claims.claim(Id(id), &vm, 1_700_000_000);
        }
        let record = serde_json::to_vec(&claims)?;
        bytes.push(float(size), float(record.len()));
        let took_us = shortest_us(RUNS, || {
            let read: Result<Claims, _> = serde_json::from_slice(&record);
            let _ = black_box(read.map(|read| serde_json::to_vec(&read)));
        });
        time.push(float(size), took_us / 1e3);
    }
    slopes.insert("claim-bytes".to_owned(), bytes);
    slopes.insert("claim-write-ms".to_owned(), time);
    Ok(())
}
