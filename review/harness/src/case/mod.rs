//! The cases.

use crate::{Problem, Setting, Verdict};

mod cold_again;
mod late_heartbeat;
mod odd_entry;

/// Configuration with the idempotent route `/read/` and the route `/pay/`, whose requests run once at most.
pub fn config(version: u32, key: &str) -> String {
    let route = |name: &str, kind: &str| {
        format!(
            r#"{{"name":"{name}","prefix":"/{name}/","type":"{kind}","timeout":"4000ms","target_latency":"400ms","priority":1,"service":"records","max_attempts":2,"public":false,"sticky":true,"home_regions":[]}}"#
        )
    };
    let routes = [route("read", "safe"), route("pay", "unsafe")].join(",");
    format!(
        r#"{{"version":"{version:08x}","services":[{{"name":"records","health_path":"/health","max_conns":330,"warmup":"3s","warmup_per_s":18.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3s","idle_timeout":"15s"}},"tenants":[{{"name":"t1","api_keys":["{key}"],"priority":1,"rate_per_s":0,"burst":0,"home_regions":[]}}],"hosts":[{{"host":"h.example","paths":[{routes}]}}]}}"#
    )
}

/// Plays the case of the given name.
pub fn play(name: &str, setting: &Setting) -> Result<Verdict, Problem> {
    match name {
        "cold-again" => cold_again::play(setting),
        "late-heartbeat" => late_heartbeat::play(setting),
        "odd-entry" => odd_entry::play(setting),
        _ => Err(format!("no case {name}").into()),
    }
}
