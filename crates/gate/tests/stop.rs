//! Tests that a graceful shutdown aborts no request in flight.

mod common;

use std::time::Duration;

use common::{Client, keyed};
use load::echo::Echo;
use load::fixture::{Fixture, text};
use tokio::net::TcpStream;
use tokio::time::sleep;

#[tokio::test(flavor = "multi_thread")]
async fn stop_finishes_requests_in_flight_and_closes_connections() {
    let echo = Echo::start().await.expect("an echo server starts");
    let text = text(&[echo.addr()], 64, 60_000);
    let fixture = Fixture::start(&text, gate::Limits::default()).await;
    let fixture = fixture.expect("a gate starts");
    let addr = fixture.addr();
    let quick = keyed(&fixture, "GET", "/reader/quick", "", "");
    let long = keyed(&fixture, "POST", "/reader/wait/4000", "", "some body");
    let late = keyed(&fixture, "GET", "/reader/wait/1500", "", "");
    let large = keyed(
        &fixture,
        "POST",
        "/reader",
        "content-length: 400000\r\n",
        "",
    );
    let mut idle = Client::connect(addr).await;
    let mut kept = Client::connect(addr).await;
    for client in [&mut idle, &mut kept] {
        client.send(&quick).await;
        let response = client.response().await.expect("a response");
        assert_eq!(
            (response.status, response.header("connection")),
            (200, None)
        );
    }
    let mut silent = Client::connect(addr).await;
    let mut waiting = Client::connect(addr).await;
    waiting.send(&long).await;
    let mut uploading = Client::connect(addr).await;
    uploading.send(large + &"x".repeat(100_000)).await;
    sleep(Duration::from_millis(200)).await;
    let stopping = tokio::spawn(fixture.stop());
    sleep(Duration::from_millis(300)).await;
    kept.send(&late).await;
    let response = kept.response().await.expect("a response");
    assert_eq!(
        (response.status, response.header("connection")),
        (200, Some("close"))
    );
    assert!(kept.is_closed().await);
    assert!(idle.is_closed().await);
    for part in ["x".repeat(150_000), "x".repeat(150_000)] {
        uploading.send(part).await;
        sleep(Duration::from_millis(200)).await;
    }
    let response = uploading.response().await.expect("a response");
    assert_eq!(
        (response.status, response.header("x-received")),
        (200, Some("400000"))
    );
    assert!(silent.is_closed().await);
    let response = waiting.response().await.expect("a response");
    assert_eq!((response.status, response.complete), (200, true));
    assert_eq!(response.header("connection"), Some("close"));
    assert_eq!(stopping.await.expect("the stop task ends"), 0);
    assert!(TcpStream::connect(addr).await.is_err());
}
