//! Measures memory, lookup time and change time of tables with up to 4.8 million blocks.
#![allow(clippy::cast_precision_loss)]

use std::net::{IpAddr, Ipv4Addr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use hdrhistogram::Histogram;
use ipnet::Ipv4Net;
use lookup::{Block, Change, Shared, Site, Table};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

/// Numbers of blocks in the measured tables.
const SIZES: [usize; 4] = [600_000, 1_200_000, 2_400_000, 4_800_000];

/// Number of sites to which the blocks are assigned.
const SITES: u16 = 370;

/// Number of timed lookups.
const LOOKUPS: usize = 1_000_000;

/// Number of lookups per time measurement, which keeps the overhead of reading the clock small.
const BATCH: usize = 16;

/// Duration in nanoseconds above which a read counts as delayed.
const DELAYED_NS: u64 = 1_000_000;

fn main() {
    println!(
        "    blocks  table MB   ns/lookup p50     p99  change of 1% ms  reader max µs  reads > 1 ms"
    );
    for size in SIZES {
        measure(size);
    }
}

fn measure(size: usize) {
    let mut rng = StdRng::seed_from_u64(5);
    let nets: Vec<Ipv4Net> = (0..size).map(|_| net(&mut rng)).collect();
    let block = |net: &Ipv4Net| Block {
        net: (*net).into(),
        site: Site(u16::try_from(net.addr().to_bits() % u32::from(SITES)).unwrap_or(0)),
    };
    let table = Table::new(nets.iter().map(block)).expect("IPv4 blocks always fit");
    let megabytes = table.heap_bytes() as f64 / 1e6;
    let shared = Shared::new(table);
    let lookup_times = time_lookups(&shared, &mut rng);
    let changes: Vec<Change> = nets
        .iter()
        .step_by(100)
        .map(|net| Change {
            net: (*net).into(),
            site: Some(Site(rng.random_range(0..SITES))),
        })
        .collect();
    let done = AtomicBool::new(false);
    let mut change_ms = 0.0;
    let mut read_times = Histogram::<u64>::new(3).expect("three digits are valid");
    std::thread::scope(|scope| {
        let reader = scope.spawn(|| read_until(&shared, &done));
        let start = Instant::now();
        shared.change(&changes).expect("IPv4 blocks always fit");
        change_ms = start.elapsed().as_secs_f64() * 1e3;
        done.store(true, Ordering::Release);
        read_times = reader.join().expect("the reader does not panic");
    });
    let delayed = read_times.count_between(DELAYED_NS, u64::MAX);
    println!(
        "{size:>10}  {megabytes:>8.1}  {:>14}  {:>6}  {change_ms:>15.1}  {:>13.1}  {delayed:>12}",
        lookup_times.value_at_quantile(0.5),
        lookup_times.value_at_quantile(0.99),
        read_times.max() as f64 / 1e3,
    );
}

fn net(rng: &mut StdRng) -> Ipv4Net {
    let bits = rng.random_range(20..=28);
    let addr = Ipv4Addr::from_bits(rng.random());
    Ipv4Net::new(addr, bits)
        .expect("the length is valid")
        .trunc()
}

/// Times batches of lookups and returns the nanoseconds per lookup.
fn time_lookups(shared: &Shared, rng: &mut StdRng) -> Histogram<u64> {
    let addrs: Vec<IpAddr> = (0..LOOKUPS)
        .map(|_| IpAddr::from(Ipv4Addr::from_bits(rng.random())))
        .collect();
    let mut lookup_times = Histogram::new(3).expect("three digits are valid");
    for batch in addrs.chunks(BATCH) {
        let start = Instant::now();
        for addr in batch {
            std::hint::black_box(shared.site(*addr));
        }
        let elapsed_ns = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
        lookup_times.saturating_record(elapsed_ns / batch.len() as u64);
    }
    lookup_times
}

/// Performs lookups until `done` is set and returns their durations in nanoseconds.
fn read_until(shared: &Shared, done: &AtomicBool) -> Histogram<u64> {
    let mut rng = StdRng::seed_from_u64(6);
    let mut lookup_times = Histogram::new(3).expect("three digits are valid");
    while !done.load(Ordering::Acquire) {
        let addr = IpAddr::from(Ipv4Addr::from_bits(rng.random()));
        let start = Instant::now();
        std::hint::black_box(shared.site(addr));
        let elapsed_ns = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
        lookup_times.saturating_record(elapsed_ns);
    }
    lookup_times
}
