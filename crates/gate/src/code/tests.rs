//! Tests of the refusal codes.

use super::{Refusal, table};

/// Markers around the table of codes in the page.
const MARKERS: [&str; 2] = ["<!-- codes: begin -->\n", "<!-- codes: end -->\n"];

#[test]
fn callers_page_matches_codes() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/CALLERS.md");
    let page = std::fs::read_to_string(path).expect("the page can be read");
    let (before, rest) = page.split_once(MARKERS[0]).expect("the table begins");
    let (found, after) = rest.split_once(MARKERS[1]).expect("the table ends");
    if std::env::var_os("TEASELDOOR_WRITE_DOCS").is_some() {
        let page = [before, MARKERS[0], &table(), MARKERS[1], after].concat();
        std::fs::write(path, page).expect("the page can be written");
    } else {
        assert_eq!(found, table(), "run the test with TEASELDOOR_WRITE_DOCS=1");
    }
}

#[test]
fn codes_are_unique() {
    for (index, refusal) in Refusal::ALL.iter().enumerate() {
        for other in &Refusal::ALL[index + 1..] {
            assert_ne!(refusal.code(), other.code());
        }
    }
}
