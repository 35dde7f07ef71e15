//! What a backend server has received and run.

use std::collections::VecDeque;
use std::sync::Mutex;

use serde::Serialize;

use crate::listener::lock;

/// Bytes of each body that are kept for searches.
pub(crate) const BODY_KEPT_BYTES: usize = 64 * 1024;
/// Bytes of all bodies together that are kept for searches.
const BODIES_KEPT_BYTES: usize = 64 * 1024 * 1024;

/// A header as received.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Name as received.
    pub name: String,
    /// Value.
    pub value: String,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The run has not ended.
    Running,
    /// The run took its whole time; its effect counts.
    Completed,
    /// The run was cancelled by a call.
    Cancelled,
    /// The run's deadline passed.
    TimedOut,
    /// The caller closed its connection before the run ended.
    CallerGone,
    /// The backend server crashed during the run.
    Crashed,
}

/// A request that took a slot.
#[derive(Clone, Debug, Serialize)]
pub struct Run {
    /// Number of the run, from 1.
    pub number: u64,
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers as received.
    pub headers: Vec<Header>,
    /// Value of `x-request-id`.
    pub request_id: Option<String>,
    /// Value of `idempotency-key`.
    pub operation: Option<String>,
    /// Bytes of the body that were received.
    pub body_bytes: u64,
    /// BLAKE3 hash of the body in hexadecimal; empty until the body is received.
    pub body_hash: String,
    /// How the run ended.
    pub outcome: Outcome,
}

/// Requests by what became of them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Runs that were started.
    pub started: u64,
    /// Runs that were completed.
    pub completed: u64,
    /// Runs that were cancelled by a call.
    pub cancelled: u64,
    /// Runs whose deadline passed.
    pub timed_out: u64,
    /// Runs whose caller went away.
    pub caller_gone: u64,
    /// Runs that a crash ended.
    pub crashed: u64,
    /// Requests that were refused without running.
    pub shed: u64,
    /// Bytes of bodies received.
    pub body_bytes: u64,
    /// Bodies that were not kept whole for searches.
    pub bodies_cut: u64,
    /// Runs and refused requests that were dropped from the record.
    pub dropped: u64,
}

/// All that was received.
#[derive(Debug)]
pub struct Record {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    counts: Counts,
    runs: VecDeque<Run>,
    runs_kept: usize,
    /// Target and headers of refused requests, one a line.
    refused_heads: VecDeque<String>,
    /// Kept parts of bodies.
    bodies: Vec<Vec<u8>>,
    bodies_bytes: usize,
}

impl Record {
    /// An empty record that keeps up to `runs_kept` runs and as many refused requests.
    pub fn new(runs_kept: usize) -> Self {
        let inner = Inner {
            counts: Counts::default(),
            runs: VecDeque::new(),
            runs_kept,
            refused_heads: VecDeque::new(),
            bodies: Vec::new(),
            bodies_bytes: 0,
        };
        Self {
            inner: Mutex::new(inner),
        }
    }

    /// Notes a refused request.
    pub fn refuse(&self, target: &str, headers: &[Header]) {
        let mut head = target.to_owned();
        for header in headers {
            head.push('\n');
            head.push_str(&header.name);
            head.push_str(": ");
            head.push_str(&header.value);
        }
        let mut inner = lock(&self.inner);
        inner.counts.shed += 1;
        inner.refused_heads.push_back(head);
        if inner.refused_heads.len() > inner.runs_kept {
            inner.refused_heads.pop_front();
            inner.counts.dropped += 1;
        }
    }

    /// Notes the start of a run and returns its number. `run.number` is set here.
    pub fn start(&self, mut run: Run) -> u64 {
        let mut inner = lock(&self.inner);
        inner.counts.started += 1;
        run.number = inner.counts.started;
        let number = run.number;
        inner.runs.push_back(run);
        if inner.runs.len() > inner.runs_kept {
            inner.runs.pop_front();
            inner.counts.dropped += 1;
        }
        number
    }

    /// Notes the received body of a run; `kept` is its first part.
    pub fn receive(&self, number: u64, bytes: u64, hash: String, kept: Vec<u8>) {
        let mut inner = lock(&self.inner);
        inner.counts.body_bytes += bytes;
        inner.keep(kept, bytes);
        if let Some(run) = inner.run(number) {
            run.body_bytes = bytes;
            run.body_hash = hash;
        }
    }

    /// Notes the end of a run.
    pub fn finish(&self, number: u64, outcome: Outcome) {
        let mut inner = lock(&self.inner);
        let counts = &mut inner.counts;
        match outcome {
            Outcome::Running => {}
            Outcome::Completed => counts.completed += 1,
            Outcome::Cancelled => counts.cancelled += 1,
            Outcome::TimedOut => counts.timed_out += 1,
            Outcome::CallerGone => counts.caller_gone += 1,
            Outcome::Crashed => counts.crashed += 1,
        }
        if let Some(run) = inner.run(number) {
            run.outcome = outcome;
        }
    }

    /// The kept runs, oldest first.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.inner).runs.iter().cloned().collect()
    }

    /// Counts so far.
    pub fn counts(&self) -> Counts {
        lock(&self.inner).counts
    }

    /// Whether `text` occurs in what was received and kept.
    pub fn saw(&self, text: &str) -> bool {
        let inner = lock(&self.inner);
        let in_runs = inner.runs.iter().any(|run| run.contains(text));
        let in_refused = inner.refused_heads.iter().any(|head| head.contains(text));
        let in_bodies = inner
            .bodies
            .iter()
            .any(|body| contains(body, text.as_bytes()));
        in_runs || in_refused || in_bodies
    }
}

impl Run {
    fn contains(&self, text: &str) -> bool {
        let in_header = |header: &Header| header.name.contains(text) || header.value.contains(text);
        self.target.contains(text) || self.headers.iter().any(in_header)
    }
}

impl Inner {
    fn run(&mut self, number: u64) -> Option<&mut Run> {
        let first = self.runs.front()?.number;
        let position = usize::try_from(number.checked_sub(first)?).ok()?;
        self.runs.get_mut(position)
    }

    fn keep(&mut self, kept: Vec<u8>, bytes: u64) {
        let whole = u64::try_from(kept.len()).is_ok_and(|kept| kept == bytes);
        let room = self.bodies_bytes + kept.len() <= BODIES_KEPT_BYTES;
        if !whole || !room {
            self.counts.bodies_cut += 1;
        }
        if room && !kept.is_empty() {
            self.bodies_bytes += kept.len();
            self.bodies.push(kept);
        }
    }
}

/// Whether `needle` occurs in `bytes`; an empty needle does.
pub(crate) fn contains(bytes: &[u8], needle: &[u8]) -> bool {
    needle.is_empty() || bytes.windows(needle.len()).any(|window| window == needle)
}
