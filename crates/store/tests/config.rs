//! Concurrent edits of the configuration are linearizable even if responses are lost.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use standin::history::{Model, Record, is_linearizable};
use standin::platform::{Loss, Outage, Platform, Settings};
use store::{CONFIG_KEY, Client, ConfigRecord, WriteOutcome};

const WRITERS: u64 = 4;
const READERS: u64 = 2;
const CALLS: u64 = 12;
const ROUNDS: u64 = 8;

/// A call made by an operator.
#[derive(Debug, Clone)]
enum Call {
    /// Reads the configuration.
    Read,
    /// Replaces the configuration whose last write ID was `before`.
    Replace { before: String, write_id: String },
}

/// Response that an operator received.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Response {
    Text(String),
    Replaced(bool),
}

/// Model of the configuration; its state is the write ID of the last edit.
struct ConfigModel;

impl Model for ConfigModel {
    type State = String;
    type Call = Call;
    type Answer = Response;

    fn start(&self) -> String {
        String::new()
    }

    fn apply(&self, state: &String, call: &Call) -> (String, Response) {
        match call {
            Call::Read => (state.clone(), Response::Text(state.clone())),
            Call::Replace { before, write_id } if before == state => {
                (write_id.clone(), Response::Replaced(true))
            }
            Call::Replace { .. } => (state.clone(), Response::Replaced(false)),
        }
    }
}

type History = Vec<Record<Call, Response>>;

struct Operator {
    client: Client,
    origin: Instant,
    history: Arc<Mutex<History>>,
    /// Whether the operator uses plain reads, which may be stale.
    plain_reads: bool,
}

impl Operator {
    fn now(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_nanos()).expect("elapsed nanoseconds fit in u64")
    }

    fn note(&self, call: Call, response: Option<Response>, start: u64) {
        let end = self.now();
        let record = Record {
            call,
            answer: response,
            start,
            end,
        };
        self.history
            .lock()
            .expect("no thread panicked")
            .push(record);
    }

    fn read(&self) -> Option<(u64, ConfigRecord)> {
        let start = self.now();
        let found = if self.plain_reads {
            self.client.read::<ConfigRecord>(CONFIG_KEY)
        } else {
            self.client.watch::<ConfigRecord>(CONFIG_KEY, 1, 5)
        };
        let found = found.ok()?;
        let record = found.value.unwrap_or_else(|| record(0, ""));
        let response = Response::Text(record.write_id.clone());
        self.note(Call::Read, Some(response), start);
        Some((found.version, record))
    }

    fn edit(&self, write_id: &str) {
        let Some((version, current)) = self.read() else {
            return;
        };
        let next = record(current.revision + 1, write_id);
        let start = self.now();
        let outcome = self.client.write_with_read_back(CONFIG_KEY, version, &next);
        let response = match outcome.expect("the call is within the budget") {
            WriteOutcome::Done => Some(Response::Replaced(true)),
            WriteOutcome::Conflict => Some(Response::Replaced(false)),
            WriteOutcome::Unknown => None,
        };
        let call = Call::Replace {
            before: current.write_id,
            write_id: write_id.to_owned(),
        };
        self.note(call, response, start);
    }
}

fn record(revision: u64, write_id: &str) -> ConfigRecord {
    ConfigRecord {
        revision,
        write_id: write_id.to_owned(),
        author: "operator".to_owned(),
        at_unix_ms: 0,
        text: String::new(),
    }
}

fn platform() -> Platform {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Platform::start(addr, Settings::default()).expect("platform stand-in starts")
}

/// Runs operators against a platform with faults and returns the history of their calls.
fn run(seed: u64) -> History {
    let platform = platform();
    let history = Arc::new(Mutex::new(History::new()));
    let origin = Instant::now();
    let operator = || Operator {
        client: Client::new(&format!("http://{}", platform.addr())),
        origin,
        history: Arc::clone(&history),
        plain_reads: false,
    };
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        let writer = |number: u64| {
            let operator = operator();
            move || {
                for call in 0..CALLS / 2 {
                    operator.edit(&format!("{number}-{call}"));
                }
            }
        };
        let reader = || {
            let operator = operator();
            move || {
                for _ in 0..CALLS {
                    operator.read();
                }
            }
        };
        scope.spawn(|| inject_faults(&platform, seed, &done));
        let writers: Vec<_> = (0..WRITERS)
            .map(|number| scope.spawn(writer(number)))
            .collect();
        let readers: Vec<_> = (0..READERS).map(|_| scope.spawn(reader())).collect();
        for thread in writers.into_iter().chain(readers) {
            thread.join().expect("no thread panicked");
        }
        done.store(true, Ordering::Relaxed);
    });
    let history = history.lock().expect("no thread panicked");
    history.clone()
}

fn inject_faults(platform: &Platform, seed: u64, done: &AtomicBool) {
    let mut rng = StdRng::seed_from_u64(seed);
    while !done.load(Ordering::Relaxed) {
        let loss = if rng.random() {
            Loss::Close
        } else {
            Loss::Error
        };
        platform.faults().lose_answers(rng.random_range(0..3), loss);
        if rng.random_bool(0.2) {
            platform.faults().set_outage(Outage::Refuse);
            thread::sleep(Duration::from_millis(2));
            platform.faults().set_outage(Outage::None);
        }
        thread::sleep(Duration::from_millis(rng.random_range(1..5)));
    }
}

#[test]
fn concurrent_edits_are_linearizable() {
    let mut replaced = 0;
    let mut conflicts = 0;
    for seed in 0..ROUNDS {
        let history = run(seed);
        let count = |response: &Response| {
            history
                .iter()
                .filter(|record| record.answer.as_ref() == Some(response))
                .count()
        };
        replaced += count(&Response::Replaced(true));
        conflicts += count(&Response::Replaced(false));
        assert!(
            is_linearizable(&ConfigModel, &history),
            "seed {seed}: {history:#?}"
        );
    }
    assert!(
        replaced > 0 && conflicts > 0,
        "{replaced} edits, {conflicts} conflicts"
    );
}

#[test]
fn checker_detects_stale_read() {
    let platform = platform();
    let operator = Operator {
        client: Client::new(&format!("http://{}", platform.addr())),
        origin: Instant::now(),
        history: Arc::default(),
        plain_reads: true,
    };
    operator.edit("first");
    assert!(is_linearizable(
        &ConfigModel,
        &operator.history.lock().expect("no thread panicked")
    ));
    platform.faults().set_stale_reads(true);
    let other = Operator {
        plain_reads: false,
        client: operator.client.clone(),
        history: Arc::clone(&operator.history),
        ..operator
    };
    other.edit("second");
    let stale = Operator {
        plain_reads: true,
        ..other
    };
    stale.read();
    assert!(!is_linearizable(
        &ConfigModel,
        &stale.history.lock().expect("no thread panicked")
    ));
}

#[test]
fn checker_detects_lost_update() {
    let replace = |before: &str, write_id: &str, start, end| Record {
        call: Call::Replace {
            before: before.to_owned(),
            write_id: write_id.to_owned(),
        },
        answer: Some(Response::Replaced(true)),
        start,
        end,
    };
    let history = [replace("", "a", 0, 10), replace("", "b", 5, 15)];
    assert!(!is_linearizable(&ConfigModel, &history));
    let history = [replace("", "a", 0, 10), replace("a", "b", 5, 15)];
    assert!(is_linearizable(&ConfigModel, &history));
}
