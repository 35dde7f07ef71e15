//! Responses of the platform that are broken or never end.

use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;
use standin::memory::peak_kb;
use standin::raw::{Server, endless};
use store::{Client, StoreError, Versioned};

/// Memory that the process may use, in kilobytes: that of the smallest entry VM, 112 MB.
const MAX_MEMORY_KB: u64 = 112 << 10;

/// Time after which a call that does not end, or a connection that stays open, fails the test.
const TEST_TIMEOUT: Duration = Duration::from_secs(6);

/// An entry whose value is `7`.
const ENTRY: &str = r#"[{"Key":"k","Value":"Nw==","ModifyIndex":1}]"#;

/// Reads a key at `server`, and waits until the connection has ended.
fn read(server: &Server) -> Result<Versioned<Value>, StoreError> {
    let begin = Instant::now();
    let client = Client::new(&format!("http://{}", server.addr()));
    let value = client.read("k");
    drop(client);
    while server.ended() == 0 && begin.elapsed() < TEST_TIMEOUT {
        thread::sleep(Duration::from_millis(20));
    }
    assert!(begin.elapsed() < TEST_TIMEOUT, "{:?}", begin.elapsed());
    value
}

#[test]
fn response_without_end_is_given_up() {
    for response in endless("") {
        let name = response.name;
        let server = Server::start(response.first, response.rest).expect("platform starts");
        let value = read(&server);
        assert!(value.is_err(), "{name}: {value:?}");
        let peak_kb = peak_kb(std::process::id()).expect("status of the process");
        assert!(peak_kb < MAX_MEMORY_KB, "{name}: {peak_kb} kB");
    }
}

#[test]
fn broken_response_is_no_value() {
    let part = &ENTRY[..ENTRY.len() - 1];
    let length = ENTRY.len();
    for response in [
        format!("HTTP/1.1 200 OK\r\n\r\n{part}"),
        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{part}"),
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2c\r\n{ENTRY}\r\n"),
        format!("HTTP/1.1 000 OK\r\nContent-Length: {length}\r\n\r\n{ENTRY}"),
        format!("HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: {length}\r\n\r\n{ENTRY}"),
        format!("HTTP/1.1 200 OK\r\nX\x01: 1\r\nContent-Length: {length}\r\n\r\n{ENTRY}"),
    ] {
        let server = Server::start(response.clone().into_bytes(), Vec::new());
        let value = read(&server.expect("platform starts"));
        assert!(value.is_err(), "{response:?}: {value:?}");
    }
}

#[test]
fn whole_response_without_length_is_a_value() {
    let response = format!("HTTP/1.1 200 OK\r\n\r\n{ENTRY}");
    let server = Server::start(response.into_bytes(), Vec::new()).expect("platform starts");
    let value = read(&server).expect("value");
    assert_eq!(value.value, Some(Value::from(7)));
}
