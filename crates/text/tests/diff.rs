//! Differences between texts are described in operators' terms.

use text::{Text, diff, parse};

const BASE: &str = include_str!("base.toml");

fn read(source: &str) -> Text {
    match parse(source) {
        Ok(text) => text,
        Err(problems) => panic!("{problems:#?}"),
    }
}

/// Replaces the first `from` in the base text by `to` and returns the lines that describe the
/// change.
fn lines(from: &str, to: &str) -> Vec<String> {
    assert!(
        BASE.contains(from),
        "the base text does not contain {from:?}"
    );
    let edited = read(&BASE.replacen(from, to, 1));
    let changes = diff(&read(BASE), &edited);
    changes.iter().map(ToString::to_string).collect()
}

#[test]
fn equal_texts_have_no_differences() {
    assert_eq!(diff(&read(BASE), &read(BASE)), []);
}

#[test]
fn reports_changed_limits_and_rates() {
    assert_eq!(
        lines("shift_cap_percent = 10.0", "shift_cap_percent = 5.0"),
        ["~ steering: shift cap 10 -> 5 %"]
    );
    assert_eq!(
        lines("rate = 10.0", "rate = 12.5"),
        ["~ workspace acme: rate 10 -> 12.5 requests/s"]
    );
    assert_eq!(
        lines("mbit_per_s = 100", "mbit_per_s = 80"),
        ["~ link north - south: bandwidth 100 -> 80 Mbit/s"]
    );
    assert_eq!(
        lines("below_ms = 250", "below_ms = 300"),
        ["~ latency objective of front: latency bound 250 -> 300 ms"]
    );
}

#[test]
fn reports_capacity_after_change_of_slots() {
    assert_eq!(
        lines("slots = 4", "slots = 6"),
        [
            "~ service front: slots 4 -> 6",
            "~ capacity of front in north-a: slots 4 -> 6"
        ]
    );
}

#[test]
fn reports_capacity_after_drain() {
    assert_eq!(
        lines("drain = [\"10.1.1.2:8080\"]\n", ""),
        [
            "~ capacity of front in north-a: slots 4 -> 8",
            "~ backend server 10.1.1.2:8080 of front in north-a: takes work again",
        ]
    );
    let second = "[\"10.2.1.1:8080\"]\n\n[[backend]]\nservice = \"ledger\"\nzone = \"north-a\"\naddrs = [\"10.1.2.1:8080\"]\n";
    let with_second = BASE.replace("[\"10.2.1.1:8080\"]\n", second);
    let drained = with_second.replace("region = \"south\"", "region = \"south\"\ndrain = true");
    let changes = diff(&read(&with_second), &read(&drained));
    let printed: Vec<String> = changes.iter().map(ToString::to_string).collect();
    assert_eq!(
        printed,
        [
            "~ zone south-a: drains",
            "~ capacity of ledger in south-a: slots 2 -> 0"
        ]
    );
}

#[test]
fn compares_routes_by_method() {
    assert_eq!(
        lines("methods = [\"GET\"]", "methods = [\"GET\", \"HEAD\"]"),
        ["+ route HEAD /read"]
    );
    assert_eq!(
        lines("access = \"open\"", "access = \"keyed\""),
        ["~ route GET /read: access open -> keyed"]
    );
    assert_eq!(
        lines("\"/pay\"", "\"/buy\""),
        ["- route POST /pay", "+ route POST /buy"]
    );
}

#[test]
fn reports_changed_dependencies_and_clients() {
    assert_eq!(
        lines("depends_on = [\"ledger\"]\n", ""),
        ["~ service front: dependencies ledger -> none"]
    );
    assert_eq!(
        lines("zone = \"north-a\"", "zone = \"south-a\""),
        ["~ clients 10.64.0.0/12: nearest zone north-a -> south-a"]
    );
}

#[test]
fn ignores_order_of_sections() {
    let mut text = read(BASE);
    text.services.reverse();
    text.backends.reverse();
    text.routes.reverse();
    text.links[0].between.reverse();
    assert_eq!(diff(&read(BASE), &text), []);
}
