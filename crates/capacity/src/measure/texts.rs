//! Reading the operators' text.

use std::fmt::Write as _;
use std::hint::black_box;

use eyre::eyre;
use text::patch::{self, Edit};

use super::{float, shortest_us};
use crate::slope::{Slope, Slopes};

/// Backend lists in the texts that are measured.
const SITES: [usize; 4] = [90, 370, 1_500, 3_000];

/// Runs of which the shortest counts.
const RUNS: usize = 5;

/// Measures the time to read and check a text.
pub fn measure(slopes: &mut Slopes) -> eyre::Result<()> {
    let mut time = Slope::new("bytes of text", "reading and checking, ms of one core");
    let mut patch = Slope::new(
        "bytes of text",
        "difference of a change of two lines, bytes",
    );
    for sites in SITES {
        let source = source(sites);
        let check = text::parse(&source);
        check.map_err(|problems| eyre!("the measured text is wrong: {}", problems[0]))?;
        let took_us = shortest_us(RUNS, || {
            let _ = black_box(text::parse(&source));
        });
        time.push(float(source.len()), took_us / 1e3);
        patch.push(float(source.len()), float(difference(&source)));
    }
    slopes.insert("text-read-ms".to_owned(), time);
    slopes.insert("text-patch-bytes".to_owned(), patch);
    Ok(())
}

/// Writes a text with a service for each of `sites` lists of backend servers.
fn source(sites: usize) -> String {
    let mut text = String::from(
        "name = \"large\"\n[[region]]\nname = \"r\"\n[[zone]]\nname = \"z\"\nregion = \"r\"\n\
         [[workspace]]\nname = \"w\"\nrate = 10.0\nburst = 5.0\n",
    );
    for site in 0..sites {
        let _ = write!(
            text,
            "[[service]]\nname = \"service-{site}\"\nslots = 4\n\
             [[route]]\npath = \"/service-{site}\"\nmethods = [\"GET\"]\n\
             service = \"service-{site}\"\naccess = \"keyed\"\nrepeat = \"safe\"\n\
             [[backend]]\nservice = \"service-{site}\"\nzone = \"z\"\naddrs = [\"10.{}.{}.1:80\"]\n",
            site / 250,
            site % 250,
        );
    }
    text
}

/// Returns the bytes of the lines that a small change inserts, and of the steps around them.
fn difference(source: &str) -> usize {
    let changed = source.replacen("slots = 4", "slots = 5", 1);
    let changed = changed.replacen("burst = 5.0", "burst = 6.0", 1);
    let bytes = |edit: &Edit| match edit {
        Edit::Keep(_) | Edit::Skip(_) => size_of::<u32>(),
        Edit::Insert(text) => text.len(),
    };
    patch::between(source, &changed).iter().map(bytes).sum()
}
