//! Concurrent edits of the text are linearizable, whatever answers are lost.

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

/// A call of an operator.
#[derive(Debug, Clone)]
enum Call {
    /// Reads the text.
    Read,
    /// Replaces the text that was read as `before`.
    Replace { before: String, write_id: String },
}

/// What an operator was told.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Answer {
    Text(String),
    Replaced(bool),
}

/// The text, named by the write id of its last edit.
struct Text;

impl Model for Text {
    type State = String;
    type Call = Call;
    type Answer = Answer;

    fn start(&self) -> String {
        String::new()
    }

    fn apply(&self, state: &String, call: &Call) -> (String, Answer) {
        match call {
            Call::Read => (state.clone(), Answer::Text(state.clone())),
            Call::Replace { before, write_id } if before == state => {
                (write_id.clone(), Answer::Replaced(true))
            }
            Call::Replace { .. } => (state.clone(), Answer::Replaced(false)),
        }
    }
}

type History = Vec<Record<Call, Answer>>;

struct Operator {
    client: Client,
    origin: Instant,
    history: Arc<Mutex<History>>,
    /// Whether texts are read by plain reads, which may be stale.
    plainly: bool,
}

impl Operator {
    fn now(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_nanos()).expect("a short test")
    }

    fn note(&self, call: Call, answer: Option<Answer>, start: u64) {
        let end = self.now();
        let record = Record {
            call,
            answer,
            start,
            end,
        };
        self.history.lock().expect("no panic").push(record);
    }

    fn read(&self) -> Option<(u64, ConfigRecord)> {
        let start = self.now();
        let found = if self.plainly {
            self.client.read::<ConfigRecord>(CONFIG_KEY)
        } else {
            self.client.watch::<ConfigRecord>(CONFIG_KEY, 1, 5)
        };
        let found = found.ok()?;
        let record = found.value.unwrap_or_else(|| record(0, ""));
        let answer = Answer::Text(record.write_id.clone());
        self.note(Call::Read, Some(answer), start);
        Some((found.version, record))
    }

    fn edit(&self, write_id: &str) {
        let Some((version, current)) = self.read() else {
            return;
        };
        let next = record(current.revision + 1, write_id);
        let start = self.now();
        let settled = self.client.write_with_read_back(CONFIG_KEY, version, &next);
        let answer = match settled.expect("the call is made") {
            WriteOutcome::Done => Some(Answer::Replaced(true)),
            WriteOutcome::Conflict => Some(Answer::Replaced(false)),
            WriteOutcome::Unknown => None,
        };
        let call = Call::Replace {
            before: current.write_id,
            write_id: write_id.to_owned(),
        };
        self.note(call, answer, start);
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
    Platform::start(addr, Settings::default()).expect("the stand-in starts")
}

/// Runs operators against a platform with faults and returns what they saw.
fn run(seed: u64) -> History {
    let platform = platform();
    let history = Arc::new(Mutex::new(History::new()));
    let origin = Instant::now();
    let operator = || Operator {
        client: Client::new(&format!("http://{}", platform.addr())),
        origin,
        history: Arc::clone(&history),
        plainly: false,
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
        scope.spawn(|| break_things(&platform, seed, &done));
        let writers: Vec<_> = (0..WRITERS)
            .map(|number| scope.spawn(writer(number)))
            .collect();
        let readers: Vec<_> = (0..READERS).map(|_| scope.spawn(reader())).collect();
        for thread in writers.into_iter().chain(readers) {
            thread.join().expect("no panic");
        }
        done.store(true, Ordering::Relaxed);
    });
    let history = history.lock().expect("no panic");
    history.clone()
}

fn break_things(platform: &Platform, seed: u64, done: &AtomicBool) {
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
    let mut overtaken = 0;
    for seed in 0..ROUNDS {
        let history = run(seed);
        let answers = |answer: &Answer| {
            history
                .iter()
                .filter(|record| record.answer.as_ref() == Some(answer))
                .count()
        };
        replaced += answers(&Answer::Replaced(true));
        overtaken += answers(&Answer::Replaced(false));
        assert!(
            is_linearizable(&Text, &history),
            "seed {seed}: {history:#?}"
        );
    }
    assert!(
        replaced > 0 && overtaken > 0,
        "{replaced} edits, {overtaken} conflicts"
    );
}

#[test]
fn stale_read_is_found_out() {
    let platform = platform();
    let operator = Operator {
        client: Client::new(&format!("http://{}", platform.addr())),
        origin: Instant::now(),
        history: Arc::default(),
        plainly: true,
    };
    operator.edit("first");
    assert!(is_linearizable(
        &Text,
        &operator.history.lock().expect("no panic")
    ));
    platform.faults().set_stale_reads(true);
    let other = Operator {
        plainly: false,
        client: operator.client.clone(),
        history: Arc::clone(&operator.history),
        ..operator
    };
    other.edit("second");
    let stale = Operator {
        plainly: true,
        ..other
    };
    stale.read();
    assert!(!is_linearizable(
        &Text,
        &stale.history.lock().expect("no panic")
    ));
}

#[test]
fn lost_update_is_found_out() {
    let replace = |before: &str, write_id: &str, start, end| Record {
        call: Call::Replace {
            before: before.to_owned(),
            write_id: write_id.to_owned(),
        },
        answer: Some(Answer::Replaced(true)),
        start,
        end,
    };
    let history = [replace("", "a", 0, 10), replace("", "b", 5, 15)];
    assert!(!is_linearizable(&Text, &history));
    let history = [replace("", "a", 0, 10), replace("a", "b", 5, 15)];
    assert!(is_linearizable(&Text, &history));
}
