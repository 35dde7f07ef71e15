//! `teaseldoor trace` on logs of several VMs.

use std::process::{Command, Output};

const FIRST: &str = r#"{"time_unix_ms":1000,"event":3005,"level":"info","name":"ServerJoined","server":"i-1","service":"s","zone":"a","backend":"10.0.0.1:80"}
1.5 vm-1 {"time_unix_ms":1500,"event":2007,"level":"warn","name":"BackendFailed","request":"abc","service":"s","backend":"10.0.0.1:80","error":"reset"}
{"time_unix_ms":1600,"event":3011,"level":"info","name":"RequestEnded","request":"other","status":200,"server":"i-1"}
{"time_unix_ms":16
"#;

const SECOND: &str = r#"{"time_unix_ms":1700,"event":3011,"level":"info","name":"RequestEnded","request":"abc","status":502,"reason":"answer-lost","server":"i-1"}
{"time_unix_ms":1900,"event":3007,"level":"info","name":"ServerGone","server":"i-1"}
"#;

fn trace(options: &[&str]) -> Output {
    let directory = tempfile::tempdir().expect("a directory");
    for (name, log) in [("vm-1.log", FIRST), ("vm-2.log", SECOND)] {
        std::fs::write(directory.path().join(name), log).expect("a log");
    }
    Command::new(env!("CARGO_BIN_EXE_teaseldoor"))
        .current_dir(directory.path())
        .arg("trace")
        .args(options)
        .args(["vm-2.log", "vm-1.log"])
        .output()
        .expect("it runs")
}

#[test]
fn a_request_s_way_is_printed_in_order_of_time() {
    let output = trace(&["abc"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{text}");
    let places = [
        "ServerJoined",
        "BackendFailed",
        "RequestEnded",
        "ServerGone",
    ]
    .map(|name| text.find(name).expect("each line is printed"));
    assert!(places.is_sorted(), "{text}");
    assert!(!text.contains("other"), "{text}");
    assert!(text.contains("vm-1:4: not a line of a log"), "{text}");
}

#[test]
fn it_prints_json() {
    let output = trace(&["--json", "abc"]);
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(json["lines"].as_array().map(Vec::len), Some(4));
    assert_eq!(json["damaged"][0], "vm-1:4");
}

#[test]
fn an_unknown_request_is_an_error() {
    let output = trace(&["nobody"]);
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("no line is about request nobody"));
}
