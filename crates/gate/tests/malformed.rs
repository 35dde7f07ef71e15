//! Fuzz test with malformed requests: the gate keeps serving, disconnects the caller in time, and
//! sends no caller another caller's response.

mod common;

use std::time::Duration;

use common::{Client, Response, find, keyed};
use futures::future::join_all;
use gate::Limits;
use load::echo::Echo;
use load::fixture::{Fixture, text};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use tokio::time::timeout;

/// Number of callers that send malformed requests at the same time.
const CALLERS: usize = 24;

/// Maximum time for the gate to disconnect a caller, in seconds.
const DISCONNECT_S: u64 = 15;

/// A mutation of the bytes of some requests; positions are taken modulo the length.
#[derive(Debug, Clone)]
enum Mutation {
    Remove { at: usize, length: usize },
    Insert { at: usize, bytes: Vec<u8> },
    Replace { at: usize, byte: u8 },
    Repeat { at: usize, length: usize },
    Cut { at: usize },
}

#[derive(Debug, Clone)]
struct Caller {
    requests: Vec<usize>,
    mutations: Vec<Mutation>,
    read_bytes: usize,
}

fn mutation() -> impl Strategy<Value = Mutation> {
    let at = 0..4_000_usize;
    let fragment = prop_oneof![
        Just(b"\r\n".to_vec()),
        Just(b"\r\n\r\n".to_vec()),
        Just(b"\n".to_vec()),
        Just(b"\0".to_vec()),
        Just(b"content-length: 7\r\n".to_vec()),
        Just(b"transfer-encoding: chunked\r\n".to_vec()),
        Just(b"connection: close\r\n".to_vec()),
        Just(b"expect: 100-continue\r\n".to_vec()),
        Just(b"GET /reader/public HTTP/1.1\r\nhost: h\r\n\r\n".to_vec()),
        proptest::collection::vec(any::<u8>(), 1..20),
    ];
    prop_oneof![
        (at.clone(), 1..60_usize).prop_map(|(at, length)| Mutation::Remove { at, length }),
        (at.clone(), fragment).prop_map(|(at, bytes)| Mutation::Insert { at, bytes }),
        (at.clone(), any::<u8>()).prop_map(|(at, byte)| Mutation::Replace { at, byte }),
        (at.clone(), 1..200_usize).prop_map(|(at, length)| Mutation::Repeat { at, length }),
        at.prop_map(|at| Mutation::Cut { at }),
    ]
}

fn caller() -> impl Strategy<Value = Caller> {
    let requests = proptest::collection::vec(0..4_usize, 1..5);
    let mutations = proptest::collection::vec(mutation(), 0..4);
    (requests, mutations, 1..2_000_usize).prop_map(|(requests, mutations, read_bytes)| Caller {
        requests,
        mutations,
        read_bytes,
    })
}

impl Mutation {
    fn apply(&self, bytes: &mut Vec<u8>) {
        let position = |at: usize| at % bytes.len().max(1);
        match self {
            _ if bytes.is_empty() => {}
            Self::Remove { at, length } => {
                let at = position(*at);
                let end = (at + length).min(bytes.len());
                bytes.drain(at..end);
            }
            Self::Insert { at, bytes: new } => {
                let at = position(*at);
                bytes.splice(at..at, new.iter().copied());
            }
            Self::Replace { at, byte } => {
                let at = position(*at);
                bytes[at] = *byte;
            }
            Self::Repeat { at, length } => {
                let at = position(*at);
                let end = (at + length).min(bytes.len());
                let part = bytes[at..end].to_vec();
                bytes.splice(at..at, part);
            }
            Self::Cut { at } => bytes.truncate(position(*at)),
        }
    }
}

/// A well-formed request whose response body is `token`.
fn request(fixture: &Fixture, kind: usize, token: &str) -> String {
    let echo = format!("x-echo: {token}\r\n");
    let chunked = format!("{echo}transfer-encoding: chunked\r\n");
    match kind {
        0 => keyed(fixture, "GET", "/reader", &echo, ""),
        1 => keyed(fixture, "POST", "/reader", &echo, "some body"),
        2 => {
            let head = keyed(fixture, "POST", "/reader", &chunked, "");
            head + "4\r\nbody\r\n3;x=y\r\nend\r\n0\r\nt: v\r\n\r\n"
        }
        _ => keyed(fixture, "PUT", "/reader", &echo, &"x".repeat(2_000)),
    }
}

async fn send_malformed(
    fixture: &Fixture,
    index: usize,
    caller: &Caller,
) -> (Vec<u8>, Vec<Response>) {
    let kinds = caller.requests.iter().enumerate();
    let requests =
        kinds.map(|(position, kind)| request(fixture, *kind, &format!("<{index}.{position}>")));
    let mut bytes = requests.collect::<String>().into_bytes();
    for mutation in &caller.mutations {
        mutation.apply(&mut bytes);
    }
    let mut client = Client::connect(fixture.addr()).await;
    for part in bytes.chunks(caller.read_bytes) {
        client.send(part).await;
    }
    let mut responses = Vec::new();
    while let Some(response) = client.response().await {
        responses.push(response);
    }
    (bytes, responses)
}

async fn send_well_formed(fixture: &Fixture) {
    let mut client = Client::connect(fixture.addr()).await;
    for number in 0..20 {
        let token = format!("<good.{number}>");
        client.send(request(fixture, number % 4, &token)).await;
        let response = client.response().await.expect("a response");
        assert_eq!((response.status, response.text()), (200, token));
    }
}

async fn check(fixture: &Fixture, callers: &[Caller]) -> Result<(), TestCaseError> {
    let malformed = callers.iter().enumerate();
    let malformed =
        join_all(malformed.map(|(index, caller)| send_malformed(fixture, index, caller)));
    let both = async { tokio::join!(malformed, send_well_formed(fixture)) };
    let done = timeout(Duration::from_secs(DISCONNECT_S), both).await;
    let Ok((exchanges, ())) = done else {
        return Err(TestCaseError::fail(
            "the gate did not disconnect a caller in time",
        ));
    };
    for (sent, responses) in &exchanges {
        for response in responses.iter().filter(|response| response.status == 200) {
            let plain = response.body == b"{\"ok\":true}";
            let own = find(sent, &response.body).is_some();
            prop_assert!(
                response.complete && (plain || own),
                "{response:?} for {sent:?}"
            );
        }
    }
    Ok(())
}

#[test]
fn malformed_requests_neither_block_gate_nor_mix_responses() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let limits = Limits {
        head_ms: 400,
        idle_ms: 400,
        body_ms: 400,
        ..Limits::default()
    };
    let (_echo, fixture) = runtime.block_on(async {
        let echo = Echo::start().await.expect("an echo server starts");
        let text = text(&[echo.addr()], 1_000, 5_000);
        let fixture = Fixture::start(&text, limits).await;
        (echo, fixture.expect("a gate starts"))
    });
    let config = Config {
        cases: 16,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        max_shrink_iters: 64,
        ..Config::default()
    };
    let callers = proptest::collection::vec(caller(), CALLERS);
    let outcome = TestRunner::new(config).run(&callers, |callers| {
        runtime.block_on(check(&fixture, &callers))
    });
    if let Err(failure) = outcome {
        panic!("{failure}");
    }
}
