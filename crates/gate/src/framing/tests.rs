//! Tests of the inspector. Verdicts must not depend on how the bytes are split over reads.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::{Framing, Inspector, MAX_HEAD_BYTES, Verdicts};
use Framing::{Ambiguous, Clear};

fn judge<'a>(reads: impl IntoIterator<Item = &'a [u8]>) -> Vec<Framing> {
    let verdicts = Verdicts::default();
    let mut inspector = Inspector::new(verdicts.clone());
    for read in reads {
        inspector.inspect(read);
    }
    let pending = verdicts.pending.lock().expect("the lock is not poisoned");
    pending.iter().copied().collect()
}

fn post(headers: &str, body: &str) -> String {
    format!("POST /p HTTP/1.1\r\nhost: h\r\n{headers}\r\n{body}")
}

#[test]
fn conflicting_or_malformed_lengths_are_ambiguous() {
    for headers in [
        "content-length: 3\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 3\r\n",
        "Transfer-Encoding:chunked\r\nx: y\r\nContent-Length:0\r\n",
        "content-length: 3\r\ncontent-length: 4\r\n",
        "content-length: 3\r\ncontent-length: 3\r\n",
        "content-length: 3, 3\r\n",
        "content-length: +3\r\n",
        "content-length: -0\r\n",
        "content-length: 0x3\r\n",
        "content-length:\r\n",
        "content-length: 99999999999999999999999\r\n",
        "transfer-encoding: gzip, chunked\r\n",
        "transfer-encoding: chunked, gzip\r\n",
        "transfer-encoding: identity\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: \x0bchunked\r\n",
    ] {
        let request = post(headers, "abc");
        let found = judge([request.as_bytes()]);
        assert!(
            found == [Ambiguous] || found.is_empty(),
            "{headers:?} gave {found:?}"
        );
    }
}

#[test]
fn gives_verdict_per_pipelined_request() {
    let clear = post("content-length: 3\r\n", "abc");
    let chunked = post(
        "transfer-encoding: Chunked\r\n",
        "2;x=y\r\nab\r\nA\r\n0123456789\r\n0\r\nt: v\r\n\r\n",
    );
    let without_trailer = post("transfer-encoding: chunked\r\n", "0\r\n\r\n");
    let both = post("content-length: 3\r\ntransfer-encoding: chunked\r\n", "");
    let requests = [&clear, &chunked, &without_trailer, "\r\n", &clear, &both].concat();
    let expected = [Clear, Clear, Clear, Clear, Ambiguous];
    assert_eq!(judge([requests.as_bytes()]), expected);
    assert_eq!(judge(requests.as_bytes().chunks(1)), expected);
}

#[test]
fn ignores_request_inside_body() {
    let hidden = post("content-length: 0\r\n", "");
    let outer = post(&format!("content-length: {}\r\n", hidden.len()), &hidden);
    let size = format!("{:x}\r\n", hidden.len());
    let chunked = [&size, &hidden, "\r\n0\r\n\r\n"].concat();
    let chunked = post("transfer-encoding: chunked\r\n", &chunked);
    assert_eq!(judge([outer.as_bytes(), chunked.as_bytes()]), [Clear; 2]);
}

#[test]
fn gives_no_verdicts_after_malformed_part() {
    let next = post("", "");
    let too_long = format!("0;{}\r\n\r\n", "x".repeat(1_000));
    for body in ["zz\r\n", "-1\r\n", &too_long] {
        let request = post("transfer-encoding: chunked\r\n", body);
        let reads = [request.as_bytes(), next.as_bytes()];
        assert_eq!(judge(reads), [Clear], "{body:?}");
    }
    let head = format!("GET / HTTP/1.1\r\nx: {}", "y".repeat(MAX_HEAD_BYTES));
    assert_eq!(judge([head.as_bytes(), b"\r\n\r\n", next.as_bytes()]), []);
}

#[test]
fn is_within_head_until_head_is_complete() {
    let mut inspector = Inspector::new(Verdicts::default());
    assert!(!inspector.is_within_head());
    inspector.inspect(b"GET / HT");
    assert!(inspector.is_within_head());
    inspector.inspect(b"TP/1.1\r\n\r\n");
    assert!(!inspector.is_within_head());
}

fn part() -> impl Strategy<Value = String> {
    prop_oneof![
        Just("POST /p HTTP/1.1\r\n".to_owned()),
        Just("content-length: 3\r\n".to_owned()),
        Just("transfer-encoding: chunked\r\n".to_owned()),
        Just("\r\n".to_owned()),
        Just("\n".to_owned()),
        Just("3\r\nabc\r\n".to_owned()),
        Just("0\r\n\r\n".to_owned()),
        Just("abc".to_owned()),
        "[ -~]{0,6}",
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(3),
        ..Config::default()
    })]

    #[test]
    fn verdicts_do_not_depend_on_the_reads(
        parts in proptest::collection::vec(part(), 0..24),
        lengths in proptest::collection::vec(1_usize..9, 1..40),
    ) {
        let bytes = parts.concat().into_bytes();
        let mut reads = Vec::new();
        let mut rest = bytes.as_slice();
        for length in lengths.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (read, after) = rest.split_at((*length).min(rest.len()));
            reads.push(read);
            rest = after;
        }
        prop_assert_eq!(judge(reads), judge([bytes.as_slice()]));
    }
}
