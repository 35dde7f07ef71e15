//! Tests of the catalogue and of batches.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use crate::batch::{BYTES, Batch};
use crate::{CATALOGUE, render};

#[test]
fn page_matches_catalogue() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/EVENTS.md");
    if std::env::var_os("TEASELDOOR_WRITE_DOCS").is_some() {
        std::fs::write(path, render()).expect("writes docs/EVENTS.md");
    }
    let page = std::fs::read_to_string(path).expect("reads docs/EVENTS.md");
    assert_eq!(
        page,
        render(),
        "docs/EVENTS.md is outdated: run the test with TEASELDOOR_WRITE_DOCS=1"
    );
}

#[test]
fn numbers_and_names_are_unique() {
    for (index, entry) in CATALOGUE.iter().enumerate() {
        for other in &CATALOGUE[index + 1..] {
            assert_ne!(entry.number, other.number);
            assert_ne!(entry.name, other.name);
        }
    }
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(41), ..Config::with_cases(500) })]

    /// Batches keep every line complete and in order, and fit in one pipe write unless a single line
    /// is longer.
    #[test]
    fn batches_keep_lines_complete(lengths in prop::collection::vec(1_usize..6_000, 0..60)) {
        let lines: Vec<String> = lengths.iter().map(|length| "x".repeat(*length)).collect();
        let mut batch = Batch::default();
        let mut batches: Vec<String> = lines.iter().filter_map(|line| batch.push(line)).collect();
        batches.extend(batch.take());
        for batch in &batches {
            prop_assert!(batch.len() < BYTES || !batch.contains('\n'), "{}", batch.len());
        }
        let batched: Vec<&str> = batches.iter().flat_map(|batch| batch.lines()).collect();
        prop_assert_eq!(batched, lines);
    }
}
