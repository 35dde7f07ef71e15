//! The cases.

mod poison;
mod slow_reader;
mod stray;

use std::io;

use crate::{Stage, Verdict};

/// Plays the case `name`.
pub fn play(name: &str, stage: &mut Stage) -> io::Result<Verdict> {
    match name {
        "poison" => poison::play(stage),
        "slow-reader" => slow_reader::play(stage),
        "stray" => stray::play(stage),
        _ => Err(io::Error::other(format!("no case {name}"))),
    }
}

/// Returns a configuration with one service and one route for requests that must not run twice.
fn config(version: u32, max_body_bytes: u64) -> String {
    config_with(version, max_body_bytes, "3000ms")
}

/// Does the same with the given timeout of the route.
fn config_with(version: u32, max_body_bytes: u64, timeout: &str) -> String {
    format!(
        r#"{{"version":"{version:08x}","services":[{{"name":"desk","health_path":"/health","max_conns":330,"protocol":"h1","tls":false,"warmup":"3s","warmup_per_s":18.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":{max_body_bytes},"header_timeout":"3000ms","idle_timeout":"15000ms"}},"tenants":[{{"name":"t1","api_keys":["k1"],"priority":1,"rate_per_s":0,"burst":0,"home_regions":[]}}],"hosts":[{{"host":"h.example","paths":[{{"name":"r-pay","prefix":"/pay/","type":"unsafe","timeout":"{timeout}","target_latency":"1000ms","priority":1,"service":"desk","max_attempts":2,"public":false,"sticky":false,"home_regions":[]}}]}}]}}"#
    )
}
