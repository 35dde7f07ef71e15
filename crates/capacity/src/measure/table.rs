//! The table of client blocks.

use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Instant;

use ipnet::Ipv4Net;
use lookup::{Block, Change, Shared, Site, Table};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

use super::{float, shortest_us};
use crate::slope::{Slope, Slopes};

/// Client blocks that are measured.
const SIZES: [usize; 4] = [600_000, 1_200_000, 2_400_000, 4_800_000];

/// Sites that the blocks are spread over.
const SITES: u16 = 370;

/// Look-ups that are timed together.
const LOOK_UPS: usize = 500_000;

/// Runs of which the shortest counts.
const RUNS: usize = 3;

/// Measures memory, look-up time and the time of a change of 1% of the blocks.
pub fn measure(slopes: &mut Slopes) -> eyre::Result<()> {
    let mut memory = Slope::new("client blocks", "table, bytes");
    let mut time = Slope::new("client blocks", "look-up in the table, ns");
    let mut change = Slope::new(
        "client blocks",
        "change of 1% of the blocks, ms of one core",
    );
    for size in SIZES {
        let mut random = StdRng::seed_from_u64(5);
        let nets: Vec<Ipv4Net> = (0..size)
            .map(|_| net(&mut random))
            .collect::<Result<_, _>>()?;
        let block = |net: &Ipv4Net| Block {
            net: (*net).into(),
            site: Site(u16::try_from(net.addr().to_bits() % u32::from(SITES)).unwrap_or(0)),
        };
        let table = Table::new(nets.iter().map(block))?;
        memory.push(float(size), float(table.heap_bytes()));
        let shared = Shared::new(table);
        let addrs: Vec<IpAddr> = (0..LOOK_UPS)
            .map(|_| Ipv4Addr::from_bits(random.random()).into())
            .collect();
        let took_us = shortest_us(RUNS, || {
            for addr in &addrs {
                black_box(shared.site(*addr));
            }
        });
        time.push(float(size), took_us * 1e3 / float(LOOK_UPS));
        let changes: Vec<Change> = nets
            .iter()
            .step_by(100)
            .map(|net| Change {
                net: (*net).into(),
                site: Some(Site(random.random_range(0..SITES))),
            })
            .collect();
        let start = Instant::now();
        shared.change(&changes)?;
        change.push(float(size), start.elapsed().as_secs_f64() * 1e3);
    }
    slopes.insert("table-bytes".to_owned(), memory);
    slopes.insert("table-look-up-ns".to_owned(), time);
    slopes.insert("table-change-ms".to_owned(), change);
    Ok(())
}

fn net(random: &mut StdRng) -> eyre::Result<Ipv4Net> {
    let bits = random.random_range(20..=28);
    let addr = Ipv4Addr::from_bits(random.random());
    Ok(Ipv4Net::new(addr, bits)?.trunc())
}
