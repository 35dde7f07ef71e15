//! Tests of request recording and burn rates.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use text::Text;

use crate::{Alert, Burn, Ending, History, Recorder, Report, Sample, WINDOWS};

/// Start of the recordings, as Unix time in seconds.
const START_S: u64 = 1_700_000_000;

const TEXT: &str = r#"
name = "t"
[[region]]
name = "r"
[[zone]]
name = "z"
region = "r"
[[service]]
name = "reader"
slots = 4
[[backend]]
service = "reader"
zone = "z"
addrs = ["10.0.0.1:80"]
[[route]]
path = "/reader"
methods = ["GET"]
service = "reader"
access = "keyed"
repeat = "safe"
[[workspace]]
name = "a"
rate = 10.0
burst = 5.0
[[workspace]]
name = "b"
rate = 10.0
burst = 5.0
[[objective]]
service = "reader"
kind = "availability"
percent = 99.0
[[objective]]
service = "reader"
kind = "latency"
percent = 95.0
below_ms = 100
[[objective]]
service = "reader"
kind = "admission"
percent = 99.0
"#;

/// A generated request.
#[derive(Debug, Clone)]
struct Request {
    vm: usize,
    workspace: &'static str,
    at_s: u64,
    ending: Ending,
    latency_us: u64,
}

fn text() -> Text {
    text::parse(TEXT).expect("the text is valid")
}

fn request() -> impl Strategy<Value = Request> {
    let ending = prop_oneof![
        8 => Just(Ending::Served),
        1 => Just(Ending::Failed),
        1 => Just(Ending::Limited),
    ];
    let workspace = prop_oneof![Just("a"), Just("b")];
    (
        0..3_usize,
        workspace,
        0..400_000_u64,
        ending,
        1..300_000_u64,
    )
        .prop_map(|(vm, workspace, at_s, ending, latency_us)| Request {
            vm,
            workspace,
            at_s,
            ending,
            latency_us,
        })
}

/// Records `requests` on three VMs and computes the report at `now_s`.
fn report(requests: &[Request], now_s: u64) -> Report {
    let text = text();
    let mut recordings = Vec::new();
    for vm in 0..3 {
        let mut history = History::new(START_S);
        let mut recorder = Recorder::new();
        recorder.set_objectives(&text);
        for request in requests.iter().filter(|request| request.vm == vm) {
            recorder.record(Sample {
                service: "reader",
                workspace: request.workspace,
                ending: request.ending,
                latency_us: request.latency_us,
            });
            history.add(&recorder.take(), START_S + request.at_s);
        }
        recordings.push(history.recording(START_S + now_s));
    }
    Report::new(&text, &recordings, 3)
}

fn burn(report: &Report, workspace: &str, goal: text::model::Goal, window: usize) -> Burn {
    let mut rows = report.rows.iter();
    let row = rows.find(|row| row.workspace == workspace && row.goal == goal);
    row.expect("the row exists").burns[window]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn merged_recordings_equal_direct_count(
        mut requests in proptest::collection::vec(request(), 1..120)
    ) {
        requests.sort_by_key(|request| request.at_s);
        let now_s = requests.last().map_or(0, |request| request.at_s);
        let report = report(&requests, now_s);
        for (index, window) in WINDOWS.iter().enumerate() {
            for workspace in ["a", "b"] {
                let is_included = |request: &&Request| {
                    let bucket = window.index(START_S + request.at_s);
                    request.workspace == workspace && window.includes(bucket, START_S + now_s)
                };
                let included: Vec<&Request> = requests.iter().filter(is_included).collect();
                if !requests.iter().any(|request| request.workspace == workspace) {
                    continue;
                }
                let count_of = |ending: Ending| {
                    included.iter().filter(|request| request.ending == ending).count() as u64
                };
                let late = included.iter().filter(|request| {
                    request.ending == Ending::Served && request.latency_us > 100_000
                });
                let availability = burn(&report, workspace, text::model::Goal::Availability, index);
                prop_assert_eq!(
                    availability.total,
                    count_of(Ending::Served) + count_of(Ending::Failed)
                );
                prop_assert_eq!(availability.bad, count_of(Ending::Failed));
                let latency = burn(&report, workspace, text::model::Goal::Latency, index);
                prop_assert_eq!(latency.total, count_of(Ending::Served));
                prop_assert_eq!(latency.bad, late.count() as u64);
            }
        }
    }
}

/// Returns one request per second of `range`, all with the same outcome.
fn steady(range: std::ops::Range<u64>, ending: Ending) -> impl Iterator<Item = Request> {
    range.map(move |at_s| Request {
        vm: usize::try_from(at_s % 3).expect("the remainder is less than three"),
        workspace: "a",
        at_s,
        ending,
        latency_us: 1_000,
    })
}

#[test]
fn outage_counts_only_in_windows_that_include_it() {
    let day_s = 86_400;
    let mut requests: Vec<Request> = steady(0..day_s, Ending::Served).collect();
    requests.extend(steady(day_s..day_s + 600, Ending::Failed));
    requests.extend(steady(day_s + 600..day_s + 1_200, Ending::Served));
    let goal = text::model::Goal::Availability;

    let during = report(&requests[..86_400 + 600], day_s + 599);
    assert!(burn(&during, "a", goal, 0).rate > 99.0);
    assert!(burn(&during, "a", goal, 1).rate > 14.4);
    assert_eq!(during.rows[0].alert, Alert::Page);

    let after = report(&requests, day_s + 1_199);
    assert_eq!(burn(&after, "a", goal, 0).bad, 0);
    assert_eq!(burn(&after, "a", goal, 1).bad, 600);
    assert_eq!(burn(&after, "a", goal, 2).bad, 600);
    assert_eq!(burn(&after, "a", goal, 3).bad, 600);
}

#[test]
fn admission_counts_only_refusals_within_rate() {
    // Ten requests per second are within the rate. At 20 per second, half are correctly refused.
    let requests_with = |ending: Ending, count: u64| {
        (0..count).map(move |number| Request {
            vm: 0,
            workspace: "a",
            at_s: number % 10,
            ending,
            latency_us: 1_000,
        })
    };
    let goal = text::model::Goal::Admission;
    let mut requests: Vec<Request> = requests_with(Ending::Served, 100).collect();
    requests.extend(requests_with(Ending::Limited, 100));
    requests.sort_by_key(|request| request.at_s);
    assert_eq!(burn(&report(&requests, 9), "a", goal, 0).bad, 0);

    let mut requests: Vec<Request> = requests_with(Ending::Served, 60).collect();
    requests.extend(requests_with(Ending::Limited, 30));
    requests.sort_by_key(|request| request.at_s);
    assert_eq!(burn(&report(&requests, 9), "a", goal, 0).bad, 30);
}

#[test]
fn coverage_shows_missing_recordings() {
    let text = text();
    let old = History::new(START_S).recording(START_S + 300);
    let new = History::new(START_S + 150).recording(START_S + 300);
    let report = Report::new(&text, &[old, new], 4);
    assert_eq!(report.coverage.answered, 2);
    assert_eq!(report.coverage.listed, 4);
    assert!((report.coverage.windows[0] - 0.375).abs() < 1e-9);
}
