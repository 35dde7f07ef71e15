//! The example texts pass all checks and have the sizes that they describe.

use std::collections::HashSet;

use text::{Text, parse};

const ISARTAL: &str = include_str!("../../../examples/isartal.toml");
const NIGHTJAR: &str = include_str!("../../../examples/nightjar.toml");

const SERVERS: &str = "servers and slots of a service";

fn read(source: &str) -> Text {
    match parse(source) {
        Ok(text) => text,
        Err(problems) => panic!("{problems:#?}"),
    }
}

fn servers(text: &Text, service: &str) -> usize {
    let backends = text.backends.iter().filter(|b| b.service == service);
    backends.map(|backend| backend.addrs.len()).sum()
}

fn expect_layout(text: &Text) {
    assert_eq!(text.regions.len(), 3);
    assert_eq!(text.zones.len(), 6);
    assert_eq!(text.links.len(), 3);
    assert_eq!(text.services.len(), 4);
    assert_eq!(text.workspaces.len(), 8);
    for service in &text.services {
        let backends = text.backends.iter().filter(|b| b.service == service.name);
        let zones: HashSet<&str> = backends.map(|b| b.zone.as_str()).collect();
        assert_eq!(zones.len(), 6, "{}", service.name);
    }
    let large = text.workspaces.iter().filter(|w| w.rate >= 50.0).count();
    assert_eq!(large, 3);
}

fn expect_servers(text: &Text, expected: &[(&str, usize, u32)]) {
    for (name, count, slots) in expected {
        assert_eq!(servers(text, name), *count, "{SERVERS} {name}");
        let declared = text.service(name).map(|service| service.slots);
        assert_eq!(declared, Some(*slots), "{SERVERS} {name}");
    }
}

fn expect_once(text: &Text, requests: &[(&str, &str)]) {
    for (method, path) in requests {
        let route = text.route(method, path);
        let repeat = route.map(|route| route.repeat);
        assert_eq!(repeat, Some(text::model::Repeat::Once), "{method} {path}");
    }
}

#[test]
fn isartal_has_described_sizes() {
    let text = read(ISARTAL);
    expect_layout(&text);
    expect_servers(
        &text,
        &[
            ("reader", 12, 6),
            ("payments", 12, 4),
            ("videos", 12, 3),
            ("reactions", 12, 3),
        ],
    );
    expect_once(
        &text,
        &[
            ("POST", "/shares"),
            ("POST", "/swaps/7"),
            ("POST", "/likes"),
            ("POST", "/reports"),
        ],
    );
    assert!(text.links.iter().all(|link| link.mbit_per_s == 4_000));
}

#[test]
fn nightjar_has_described_sizes() {
    let text = read(NIGHTJAR);
    expect_layout(&text);
    expect_servers(
        &text,
        &[
            ("calendar", 20, 7),
            ("deposits", 14, 7),
            ("images", 12, 3),
            ("pads", 12, 3),
        ],
    );
    expect_once(&text, &[("POST", "/deposits"), ("POST", "/pads")]);
    assert!(text.links.iter().all(|link| link.mbit_per_s == 280));
}
