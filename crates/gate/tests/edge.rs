//! Tests of misbehaving callers: slow, too many, malformed and ambiguous requests.

mod common;

use std::time::Duration;

use common::{Client, backend, exchange, gate_for, keyed};
use gate::Limits;
use load::fixture::{Fixture, text};
use standin::backend::Backend;
use tokio::time::{Instant, sleep};

fn short_limits() -> Limits {
    Limits {
        connections: 4,
        head_ms: 300,
        idle_ms: 600,
        body_ms: 300,
        body_bytes_per_s: 100,
        write_ms: 500,
    }
}

async fn start_with(backend: &Backend, limits: Limits) -> Fixture {
    let text = text(&[backend.addr()], 4, 60_000);
    let fixture = Fixture::start(&text, limits).await;
    fixture.expect("a gate starts")
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_connections_over_limit() {
    let backend = backend(4, 1);
    let limits = Limits {
        idle_ms: 60_000,
        ..short_limits()
    };
    let fixture = start_with(&backend, limits).await;
    let request = keyed(&fixture, "GET", "/reader", "", "");
    let mut held = Vec::new();
    for _ in 0..4 {
        let mut client = Client::connect(fixture.addr()).await;
        client.send(&request).await;
        assert_eq!(client.response().await.expect("a response").status, 200);
        held.push(client);
    }
    let mut refused = Client::connect(fixture.addr()).await;
    refused.send(&request).await;
    let response = refused.response().await.expect("a response");
    assert_eq!(response.status, 503);
    let expected = ("too-many-connections".to_owned(), "not-run".to_owned());
    assert_eq!(response.refusal(), expected);
    assert_eq!(response.header("retry-after"), Some("1"));
    assert!(refused.is_closed().await);
    assert_eq!(backend.counts().started, 4);
    held.pop();
    sleep(Duration::from_millis(100)).await;
    assert_eq!(exchange(fixture.addr(), &request).await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn disconnects_slow_callers() {
    let backend = backend(4, 1);
    let idle = Limits {
        head_ms: 60_000,
        ..short_limits()
    };
    let fixture = start_with(&backend, idle).await;
    assert!(Client::connect(fixture.addr()).await.is_closed().await);
    let half = Limits {
        idle_ms: 60_000,
        ..short_limits()
    };
    let fixture = start_with(&backend, half).await;
    let mut client = Client::connect(fixture.addr()).await;
    client.send("GET /reader HTTP/1.1\r\nhost:").await;
    assert!(client.is_closed().await);
    for pause_ms in [20, 60_000] {
        let mut trickling = Client::connect(fixture.addr()).await;
        let head = keyed(&fixture, "POST", "/reader", "content-length: 500\r\n", "");
        trickling.send(head).await;
        let began = Instant::now();
        let response = loop {
            if let Some(response) = trickling.response_within(pause_ms).await {
                break response;
            }
            assert!(
                began.elapsed() < Duration::from_secs(20),
                "not disconnected in time"
            );
            trickling.send("x").await;
        };
        let expected = ("request-timeout".to_owned(), "not-run".to_owned());
        assert_eq!((response.status, response.refusal()), (408, expected));
        assert!(trickling.is_closed().await);
    }
    assert_eq!(backend.counts().started, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_ambiguous_framing_and_closes_connection() {
    let backend = backend(4, 1);
    let fixture = gate_for(&[backend.addr()]).await;
    let chunked = "transfer-encoding: chunked\r\n";
    let hidden = "5\r\nhello\r\n0\r\n\r\n";
    for headers in [
        "content-length: 3\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 3\r\n",
        "content-length: 3\r\ncontent-length: 4\r\n",
        "content-length: 3\r\ncontent-length: 3\r\n",
        "content-length: +3\r\n",
        "transfer-encoding: gzip, chunked\r\n",
        "transfer-encoding: chunked, gzip\r\n",
        "transfer-encoding : chunked\r\n",
        "x: y\r\n z\r\ncontent-length: 3\r\n",
        "x: y\r\n\tcontent-length: 3\r\n",
    ] {
        let mut client = Client::connect(fixture.addr()).await;
        client
            .send(keyed(&fixture, "POST", "/reader", headers, ""))
            .await;
        client.send(hidden).await;
        let response = client.response().await.expect("a response");
        assert_eq!(response.status, 400, "{headers:?}");
        assert!(client.response().await.is_none(), "{headers:?}");
    }
    for body in [
        "z\r\n",
        "-5\r\nhello\r\n",
        "5\r\nhelloX\r\n0\r\n\r\n",
        "\r\n\r\n",
    ] {
        let request = keyed(&fixture, "POST", "/reader", chunked, "") + body;
        let response = exchange(fixture.addr(), request).await;
        let expected = ("bad-request".to_owned(), "not-run".to_owned());
        assert_eq!(
            (response.status, response.refusal()),
            (400, expected),
            "{body:?}"
        );
    }
    let old = "POST /reader HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";
    assert_eq!(exchange(fixture.addr(), old).await.status, 400);
    assert_eq!(backend.counts().started, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_ambiguous_pipelined_request() {
    let backend = backend(4, 1);
    let fixture = gate_for(&[backend.addr()]).await;
    let chunked = "transfer-encoding: chunked\r\n";
    let first = keyed(&fixture, "POST", "/reader/1", chunked, "") + "2\r\nab\r\n0\r\n\r\n";
    let second = keyed(&fixture, "GET", "/reader/2", "", "");
    let both = "content-length: 0\r\ntransfer-encoding: chunked\r\n";
    let third = keyed(&fixture, "POST", "/reader/3", both, "") + "0\r\n\r\n";
    for step in [1, 7, 100_000] {
        let mut client = Client::connect(fixture.addr()).await;
        for bytes in (first.clone() + &second + &third).as_bytes().chunks(step) {
            client.send(bytes).await;
        }
        for path in ["/reader/1", "/reader/2"] {
            let response = client.response().await.expect("a response");
            assert!(response.status == 200 && response.text().contains(path));
        }
        let refused = client.response().await.expect("a response");
        assert_eq!(
            (refused.status, refused.refusal().0.as_str()),
            (400, "bad-request")
        );
        assert!(client.is_closed().await);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_unsupported_protocols_and_targets() {
    let backend = backend(4, 1);
    let fixture = gate_for(&[backend.addr()]).await;
    let path = "/reader/public";
    for (request, status, code) in [
        (
            "CONNECT h:1 HTTP/1.1\r\nhost: h:1\r\n\r\n".to_owned(),
            501,
            "unsupported",
        ),
        (
            format!(
                "GET {path} HTTP/1.1\r\nhost: h\r\nupgrade: websocket\r\nconnection: upgrade\r\n\r\n"
            ),
            501,
            "unsupported",
        ),
        (
            format!("GET {path} HTTP/1.1\r\nhost: h\r\nexpect: a-miracle\r\n\r\n"),
            417,
            "expectation-failed",
        ),
        (
            format!("GET {path} HTTP/1.0\r\nhost: h\r\n\r\n"),
            505,
            "http-version",
        ),
        (format!("GET {path} HTTP/1.1\r\n\r\n"), 400, "bad-request"),
        (
            format!("GET {path} HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n"),
            400,
            "bad-request",
        ),
        (
            format!("GET http://other{path} HTTP/1.1\r\nhost: h\r\n\r\n"),
            400,
            "bad-request",
        ),
        (
            format!("GET {path}/../x HTTP/1.1\r\nhost: h\r\n\r\n"),
            400,
            "bad-request",
        ),
        (
            format!("GET {path}/%2e%2E/x HTTP/1.1\r\nhost: h\r\n\r\n"),
            400,
            "bad-request",
        ),
        (
            format!("GET {path}/%252e./x HTTP/1.1\r\nhost: h\r\n\r\n"),
            400,
            "bad-request",
        ),
        (
            format!("GET {path}/x%2f..%5Cy HTTP/1.1\r\nhost: h\r\n\r\n"),
            400,
            "bad-request",
        ),
        (
            format!("GET {path}/..;a=b/x HTTP/1.1\r\nhost: h\r\n\r\n"),
            400,
            "bad-request",
        ),
        (
            "OPTIONS * HTTP/1.1\r\nhost: h\r\n\r\n".to_owned(),
            404,
            "no-route",
        ),
    ] {
        let response = exchange(fixture.addr(), &request).await;
        let expected = (code.to_owned(), "not-run".to_owned());
        assert_eq!(
            (response.status, response.refusal()),
            (status, expected),
            "{request}"
        );
    }
    assert_eq!(backend.counts().started, 0);
    let own = format!("GET http://H{path} HTTP/1.1\r\nhost: h\r\n\r\n");
    let response = exchange(fixture.addr(), own).await;
    assert!(response.status == 200 && response.text().contains(path));
}

#[tokio::test(flavor = "multi_thread")]
async fn rejects_oversized_heads() {
    let backend = backend(4, 1);
    let fixture = gate_for(&[backend.addr()]).await;
    let many = "x: y\r\n".repeat(200);
    let long = format!("x: {}\r\n", "y".repeat(64 << 10));
    for headers in [many, long] {
        let request = keyed(&fixture, "GET", "/reader", &headers, "");
        assert_eq!(exchange(fixture.addr(), request).await.status, 431);
    }
    assert_eq!(backend.counts().started, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn sends_continue_only_if_request_is_accepted() {
    let backend = backend(4, 1);
    let fixture = gate_for(&[backend.addr()]).await;
    let waits = "expect: 100-continue\r\ncontent-length: 4\r\n";
    let mut client = Client::connect(fixture.addr()).await;
    client
        .send(keyed(&fixture, "POST", "/reader", waits, ""))
        .await;
    assert_eq!(
        client.response().await.expect("an interim response").status,
        100
    );
    client.send("body").await;
    assert_eq!(client.response().await.expect("a response").status, 200);
    let run = backend.runs().pop().expect("a run");
    let names = run.headers.iter().map(|header| header.name.to_lowercase());
    assert!(run.body_bytes == 4 && !names.into_iter().any(|name| name == "expect"));
    let unwanted = keyed(&fixture, "POST", "/unknown", waits, "");
    assert_eq!(exchange(fixture.addr(), unwanted).await.status, 404);
}
