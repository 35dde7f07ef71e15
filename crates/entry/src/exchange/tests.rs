//! Tests of responses of other entry VMs that are broken or never end.

use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, TcpListener};
use std::thread::{self, JoinHandle};

use super::*;
use crate::fixture::run_local;

/// Most bytes that a response may take: the largest body and what the buffers of both sockets hold.
const MAX_SENT_BYTES: usize = 64 << 20;

/// Longest time to wait for the next bytes.
const STEP_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a response without end fails the test.
const TEST_TIMEOUT: Duration = Duration::from_secs(6);

/// Accepts one connection, sends `first`, and `rest` again and again until the caller closes; returns the
/// number of bytes sent. An empty `rest` ends the connection at once.
fn start_peer(first: Vec<u8>, rest: Vec<u8>) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("listener");
    let addr = listener.local_addr().expect("address");
    let sending = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("connection");
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).expect("request");
        stream.write_all(&first).expect("response begins");
        let mut sent = 0;
        while !rest.is_empty() && sent < 2 * MAX_SENT_BYTES && stream.write_all(&rest).is_ok() {
            sent += rest.len();
        }
        sent
    });
    (addr, sending)
}

async fn get(addr: SocketAddr) -> Result<Bytes, String> {
    let mut connection = Connection::open(addr, STEP_TIMEOUT).await?;
    let progress = Progress::default();
    let (_, body) = connection.get("/state", "", &progress).await?;
    Ok(body)
}

#[test]
fn response_without_end_is_given_up() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let filler = "x".repeat(16 << 10);
    let chunk = format!("4000\r\n{filler}\r\n");
    let cases = [
        ("bytes that are no response", String::new(), filler.clone()),
        (
            "one header",
            "HTTP/1.1 200 OK\r\nX: ".to_owned(),
            filler.clone(),
        ),
        (
            "headers",
            "HTTP/1.1 200 OK\r\n".to_owned(),
            "X: y\r\n".repeat(1_000),
        ),
        (
            "interim responses",
            String::new(),
            "HTTP/1.1 100 Continue\r\n\r\n".repeat(500),
        ),
        ("a chunk size", chunked.to_owned(), "0".repeat(16 << 10)),
        ("chunks", chunked.to_owned(), chunk),
        (
            "trailers",
            format!("{chunked}0\r\n"),
            "X: y\r\n".repeat(1_000),
        ),
        (
            "a body without length",
            "HTTP/1.1 200 OK\r\n\r\n".to_owned(),
            filler,
        ),
    ];
    for (name, first, rest) in cases {
        let (addr, sending) = start_peer(first.into_bytes(), rest.into_bytes());
        run_local(async move {
            let got = timeout(TEST_TIMEOUT, get(addr)).await;
            assert!(matches!(got, Ok(Err(_))), "{name}: {got:?}");
        });
        let sent = sending.join().expect("peer ends");
        assert!(sent < MAX_SENT_BYTES, "{name}: {sent} bytes");
    }
}

#[test]
fn broken_response_is_no_state() {
    for response in [
        "HTTP/1.1 200 OK\r\n\r\npart",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
        "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\npart",
        "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 4\r\n\r\npart",
        "HTTP/1.1 200 OK\r\nX\x01: 1\r\nContent-Length: 4\r\n\r\npart",
        "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\npart",
    ] {
        let (addr, _) = start_peer(response.as_bytes().to_vec(), Vec::new());
        run_local(async move {
            let got = get(addr).await;
            assert!(got.is_err(), "{response:?}: {got:?}");
        });
    }
}
