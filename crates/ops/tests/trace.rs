//! `teaseldoor trace` with the logs of several VMs.

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
    let directory = tempfile::tempdir().expect("the directory is created");
    for (name, log) in [("vm-1.log", FIRST), ("vm-2.log", SECOND)] {
        std::fs::write(directory.path().join(name), log).expect("the log is written");
    }
    Command::new(env!("CARGO_BIN_EXE_teaseldoor"))
        .current_dir(directory.path())
        .arg("trace")
        .args(options)
        .args(["vm-2.log", "vm-1.log"])
        .output()
        .expect("the client runs")
}

#[test]
fn prints_lines_of_request_in_order_of_time() {
    let output = trace(&["abc"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{text}");
    let positions = [
        "ServerJoined",
        "BackendFailed",
        "RequestEnded",
        "ServerGone",
    ]
    .map(|name| text.find(name).expect("each line is printed"));
    assert!(positions.is_sorted(), "{text}");
    assert!(!text.contains("other"), "{text}");
    assert!(text.contains("vm-1:4: not a valid log line"), "{text}");
}

#[test]
fn prints_json() {
    let output = trace(&["--json", "abc"]);
    let json: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("the output is JSON");
    assert_eq!(json["lines"].as_array().map(Vec::len), Some(4));
    assert_eq!(json["damaged"][0], "vm-1:4");
}

#[test]
fn fails_if_no_line_is_about_request() {
    let output = trace(&["nobody"]);
    assert!(!output.status.success());
    assert!(
        String::from_utf8_lossy(&output.stderr).contains("no log line is about request nobody")
    );
}
