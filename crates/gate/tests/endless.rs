//! Backend servers whose bytes never end: the gate keeps few of them, gives the response up, and completes
//! none.

mod common;

use std::time::Duration;

use common::{Client, gate_for, keyed};
use load::fixture::Fixture;
use standin::raw::{Server, endless};
use tokio::time::{Instant, sleep};

/// Most bytes that the gate may take of a response that nobody reads: its own limits, and what the buffers of
/// the sockets hold.
const MAX_SENT_BYTES: usize = 48 << 20;

/// Time after which a response has to be given up: the deadline of five seconds, and a margin.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Time for which a caller does not read a response.
const UNREAD_TIME: Duration = Duration::from_secs(1);

/// Waits until a connection to `backend` has ended and returns whether one has.
async fn closes(backend: &Server) -> bool {
    let begin = Instant::now();
    while backend.ended() == 0 && begin.elapsed() < MAX_WAIT {
        sleep(Duration::from_millis(20)).await;
    }
    backend.ended() > 0
}

/// Starts a backend server with the endless response `name`.
fn start(name: &str) -> Server {
    let mut responses = endless("").into_iter();
    let response = responses.find(|response| response.name == name);
    let response = response.expect("a known response");
    Server::start(response.first, response.rest).expect("a free port")
}

/// Sends a request that must not repeat through a gate to `backend`.
async fn ask(backend: &Server) -> (Fixture, Client) {
    let fixture = gate_for(&[backend.addr()]).await;
    let mut client = Client::connect(fixture.addr()).await;
    let request = keyed(&fixture, "POST", "/reader", "", "");
    client.send(request).await;
    (fixture, client)
}

/// The gate kept all interim responses, and read on after the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn response_without_end_is_given_up() {
    for name in [
        "bytes that are no response",
        "one header",
        "headers",
        "interim responses",
        "trailers",
        "a body without length",
    ] {
        let backend = start(name);
        let (_fixture, mut client) = ask(&backend).await;
        assert!(closes(&backend).await, "{name}");
        assert!(backend.sent() < MAX_SENT_BYTES, "{name}");
        let response = client.response().await;
        let is_answer =
            response.is_some_and(|response| response.status == 200 && response.complete);
        assert!(!is_answer, "{name}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn chunks_without_end_wait_for_the_caller() {
    let backend = start("chunks");
    let (_fixture, client) = ask(&backend).await;
    sleep(UNREAD_TIME).await;
    assert!(backend.sent() < MAX_SENT_BYTES);
    drop(client);
    assert!(closes(&backend).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn chunk_size_without_end_ends_with_the_caller() {
    let backend = start("a chunk size");
    let (_fixture, client) = ask(&backend).await;
    sleep(UNREAD_TIME).await;
    drop(client);
    assert!(closes(&backend).await);
}
