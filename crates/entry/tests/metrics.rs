//! Checks that docs/METRICS-ENTRY.md contains the catalogue of metrics, and that the catalogue is valid.

use entry::metrics::{CATALOGUE, Metrics, markdown_table};

#[test]
fn docs_page_contains_catalogue() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/METRICS-ENTRY.md");
    let text = std::fs::read_to_string(path).expect("docs/METRICS-ENTRY.md should be readable");
    assert!(
        text.contains(&markdown_table()),
        "docs/METRICS-ENTRY.md should contain:\n{}",
        markdown_table()
    );
}

#[test]
fn metric_names_are_unique_and_rendered() {
    let metrics = Metrics::default();
    metrics.note_request("s", "passed-on", std::time::Duration::from_millis(70));
    let text = String::from_utf8(metrics.render()).expect("metrics should be UTF-8");
    assert!(text.contains("teaseldoor_requests_total{outcome=\"passed-on\",service=\"s\"} 1"));
    for (index, entry) in CATALOGUE.iter().enumerate() {
        assert!(
            CATALOGUE[index + 1..]
                .iter()
                .all(|other| other.name != entry.name)
        );
    }
}
