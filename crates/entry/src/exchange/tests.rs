//! Tests of responses of other entry VMs that are broken or never end.

use standin::raw::{Server, endless};

use super::*;
use crate::fixture::run_local;

/// Most bytes that a response may take: the largest body and what the buffers of both sockets hold.
const MAX_SENT_BYTES: usize = 64 << 20;

/// Longest time to wait for the next bytes.
const STEP_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a response without end fails the test.
const TEST_TIMEOUT: Duration = Duration::from_secs(6);

async fn get(addr: SocketAddr) -> Result<Bytes, String> {
    let mut connection = Connection::open(addr, STEP_TIMEOUT).await?;
    let progress = Progress::default();
    let (_, body) = connection.get("/state", "", &progress).await?;
    Ok(body)
}

#[test]
fn response_without_end_is_given_up() {
    for response in endless("") {
        let name = response.name;
        let peer = Server::start(response.first, response.rest).expect("peer starts");
        run_local(async {
            let got = timeout(TEST_TIMEOUT, get(peer.addr())).await;
            assert!(matches!(got, Ok(Err(_))), "{name}: {got:?}");
        });
        assert!(peer.sent() < MAX_SENT_BYTES, "{name}: {}", peer.sent());
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
        let peer = Server::start(response.into(), Vec::new()).expect("peer starts");
        run_local(async {
            let got = get(peer.addr()).await;
            assert!(got.is_err(), "{response:?}: {got:?}");
        });
    }
}
