//! The page of metrics agrees with the code.

use entry::metrics::{CATALOGUE, Metrics, page};

#[test]
fn the_page_lists_the_catalogue() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/METRICS-ENTRY.md");
    let text = std::fs::read_to_string(path).expect("the page can be read");
    assert!(
        text.contains(&page()),
        "docs/METRICS-ENTRY.md should contain:\n{}",
        page()
    );
}

#[test]
fn names_are_unique_and_rendered() {
    let metrics = Metrics::default();
    metrics.note_request("s", "passed-on", std::time::Duration::from_millis(70));
    let text = String::from_utf8(metrics.render()).expect("text");
    assert!(text.contains("teaseldoor_requests_total{outcome=\"passed-on\",service=\"s\"} 1"));
    for (index, entry) in CATALOGUE.iter().enumerate() {
        assert!(
            CATALOGUE[index + 1..]
                .iter()
                .all(|other| other.name != entry.name)
        );
    }
}
