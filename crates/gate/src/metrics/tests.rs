//! Tests of metrics.

use std::net::UdpSocket;
use std::time::Duration;

use super::{Kind, Metric, Metrics, PREFIX, render};

#[test]
fn metrics_page_matches_metrics() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/METRICS.md");
    if std::env::var_os("TEASELDOOR_WRITE_DOCS").is_some() {
        std::fs::write(path, render()).expect("the page can be written");
    }
    let page = std::fs::read_to_string(path).expect("the page can be read");
    assert_eq!(page, render(), "run the test with TEASELDOOR_WRITE_DOCS=1");
}

#[test]
fn sends_each_metric_with_its_tags() {
    let collector = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let limit = Some(Duration::from_secs(10));
    collector.set_read_timeout(limit).expect("a valid limit");
    let addr = collector.local_addr().expect("an address");
    let metrics = Metrics::new(Some(addr), "vm1", "north-a").expect("a socket");
    for metric in Metric::ALL {
        let values = vec!["v"; metric.tags().len()];
        match metric.kind() {
            Kind::Counter => metrics.count(*metric, &values),
            Kind::Timer => metrics.time(*metric, Duration::from_millis(7), &values),
            Kind::Gauge => metrics.set(*metric, 3),
        }
    }
    drop(metrics);
    let mut received = String::new();
    for metric in Metric::ALL {
        let expected = expected(*metric);
        while !received.contains(&expected) {
            let mut datagram = [0; 4_096];
            let length = collector.recv(&mut datagram).expect("a datagram in time");
            received += &String::from_utf8_lossy(&datagram[..length]);
            received.push('\n');
        }
    }
}

fn expected(metric: Metric) -> String {
    let value = match metric.kind() {
        Kind::Counter => "1|c",
        Kind::Timer => "7|ms",
        Kind::Gauge => "3|g",
    };
    let tags: Vec<String> = metric
        .tags()
        .iter()
        .map(|tag| format!(",{tag}:v"))
        .collect();
    let name = metric.name();
    format!(
        "{PREFIX}.{name}:{value}|#vm:vm1,zone:north-a{}",
        tags.concat()
    )
}
