//! Turns HTTP requests into runs.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use eyre::eyre;
use rouille::{Request, Response, ResponseBody};
use serde::Serialize;

use super::control::Control;
use super::health::Board;
use super::load::{Load, Slot};
use super::record::{Header, Outcome, Record, Run};
use super::transfer::{self, Filler};
use super::{
    CRASH_HEADER, DEADLINE_HEADER, OPERATION_HEADER, REQUEST_ID_HEADER, SHED_HEADER, SHED_NOT_RUN,
    Settings,
};
use crate::listener::{Connections, Listener, lock};

/// How often a run looks whether it has to end early.
const RUN_STEP_MS: u64 = 5;

/// Answers all requests of one backend server.
#[derive(Debug)]
pub struct Handler {
    settings: Settings,
    connections: Connections,
    listener: OnceLock<Listener>,
    load: Load,
    board: Board,
    record: Record,
    running: Mutex<Vec<Running>>,
    /// Number of crashes; a run ends when it rises.
    crashes: AtomicU64,
}

/// A run that can be cancelled.
#[derive(Debug)]
struct Running {
    request_id: String,
    cancelled: Arc<AtomicBool>,
}

/// The body of an ordinary answer.
#[derive(Debug, Serialize)]
struct Echo<'a> {
    backend: &'a str,
    service: &'a str,
    path: String,
    method: &'a str,
    body_bytes: u64,
    request_id: Option<&'a str>,
    run: u64,
}

/// What a run looks at while it waits.
#[derive(Debug)]
struct Watch {
    peer: SocketAddr,
    crashes: u64,
    deadline: Option<Instant>,
    cancelled: Arc<AtomicBool>,
}

impl Handler {
    /// A handler of a backend server that starts now.
    pub fn new(settings: Settings, connections: Connections) -> Self {
        Self {
            connections,
            listener: OnceLock::new(),
            load: Load::new(&settings, Instant::now()),
            board: Board::new(settings.health_lag),
            record: Record::new(settings.runs_kept),
            running: Mutex::new(Vec::new()),
            crashes: AtomicU64::new(0),
            settings,
        }
    }

    /// Sets the listener that crashes and restarts act on.
    pub fn attach(&self, listener: Listener) {
        let first = self.listener.set(listener);
        assert!(first.is_ok(), "a handler has one listener");
    }

    /// Slots and speed.
    pub fn load(&self) -> &Load {
        &self.load
    }

    /// What the health endpoint shows.
    pub fn board(&self) -> &Board {
        &self.board
    }

    /// What was received.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Whether the backend server has crashed and not been restarted.
    pub fn is_crashed(&self) -> bool {
        self.listener.get().is_some_and(Listener::is_cut)
    }

    /// Breaks all connections and refuses new ones.
    pub fn crash(&self) {
        self.crashes.fetch_add(1, Ordering::SeqCst);
        if let Some(listener) = self.listener.get() {
            listener.cut();
        }
    }

    /// Accepts connections again, cold.
    pub fn restart(&self) -> eyre::Result<()> {
        let listener = self
            .listener
            .get()
            .ok_or_else(|| eyre!("there is no listener"))?;
        self.crash();
        self.load.restart(Instant::now());
        listener.restore()?;
        Ok(())
    }

    /// Answers one request.
    pub fn answer(&self, request: &Request) -> Response {
        let url = request.url();
        if request.method() == "GET" && url == "/health" {
            let now = Instant::now();
            let health = self.board.show(self.load.health(now), now);
            return Response::json(&health);
        }
        if let Some(operation) = url.strip_prefix("/standin/") {
            return self.operate(request, operation);
        }
        let headers = headers_of(request);
        let Some(slot) = self.load.take() else {
            self.record.refuse(request.raw_url(), &headers);
            return shed();
        };
        self.note_health();
        let response = self.run(request, &url, headers, slot);
        self.note_health();
        response
    }

    /// Changes settings.
    pub fn control(&self, control: Control) {
        if let Some(draining) = control.draining {
            self.load.set_draining(draining);
        }
        if let Some(shedding) = control.shedding {
            self.load.set_shedding(shedding);
        }
        if let Some(service_time_ms) = control.service_time_ms {
            self.load
                .set_service_time(Duration::from_millis(service_time_ms));
        }
        if let Some(health_lag_ms) = control.health_lag_ms {
            self.board.set_lag(Duration::from_millis(health_lag_ms));
        }
        if control.false_health.is_some() {
            self.board.set_false_health(control.false_health);
        }
        self.note_health();
    }

    fn operate(&self, request: &Request, operation: &str) -> Response {
        let method = request.method();
        if operation == "control" && method == "PUT" {
            let Some(Ok(control)) = request.data().map(serde_json::from_reader) else {
                return Response::empty_400();
            };
            self.control(control);
            return Response::json(&control);
        }
        if operation == "counts" && method == "GET" {
            return Response::json(&self.record.counts());
        }
        match operation.split_once('/') {
            Some(("cancel", request_id)) if method == "POST" => self.cancel(request_id),
            Some(("saw", text)) if method == "GET" => Response::json(&self.record.saw(text)),
            _ => Response::empty_404(),
        }
    }

    fn note_health(&self) {
        let now = Instant::now();
        self.board.note(self.load.health(now), now);
    }

    fn cancel(&self, request_id: &str) -> Response {
        let running = lock(&self.running);
        let mut found = running
            .iter()
            .filter(|run| run.request_id == request_id)
            .peekable();
        if found.peek().is_none() {
            return Response::empty_404();
        }
        for run in found {
            run.cancelled.store(true, Ordering::SeqCst);
        }
        Response::text("cancelled")
    }

    fn run(&self, request: &Request, url: &str, headers: Vec<Header>, slot: Slot) -> Response {
        let started = Instant::now();
        let deadline_ms = request
            .header(DEADLINE_HEADER)
            .and_then(|value| value.parse().ok())
            .filter(|_| self.settings.honours_deadlines);
        let watch = Watch {
            peer: *request.remote_addr(),
            crashes: self.crashes.load(Ordering::SeqCst),
            deadline: deadline_ms.map(|ms| started + Duration::from_millis(ms)),
            cancelled: Arc::default(),
        };
        let number = self.record.start(new_run(request, headers));
        let request_id = request.header(REQUEST_ID_HEADER);
        if let Some(request_id) = request_id {
            self.enlist(request_id, &watch.cancelled);
        }
        let (outcome, body_bytes) = self.execute(request, &watch, number);
        self.delist(&watch.cancelled);
        self.record.finish(number, outcome);
        match outcome {
            Outcome::Completed => {}
            Outcome::Cancelled => return Response::text("cancelled").with_status_code(499),
            Outcome::TimedOut => return Response::text("deadline passed").with_status_code(504),
            Outcome::Running | Outcome::CallerGone | Outcome::Crashed => {
                self.connections.close(watch.peer);
                return Response::text("connection closed").with_status_code(500);
            }
        }
        if let Some(bytes) = length_in(url, "/bytes/") {
            return filler(bytes, slot);
        }
        if let Some(bytes) = length_in(url, "/cut/") {
            self.connections.cut_body(watch.peer, bytes / 2);
            return filler(bytes, slot);
        }
        Response::json(&Echo {
            backend: &self.settings.name,
            service: &self.settings.service,
            path: url.to_owned(),
            method: request.method(),
            body_bytes,
            request_id,
            run: number,
        })
    }

    /// Receives the body and waits the service time. Returns the outcome and the body's length.
    fn execute(&self, request: &Request, watch: &Watch, number: u64) -> (Outcome, u64) {
        if request.header(CRASH_HEADER) == Some("1") {
            self.crash();
            return (Outcome::Crashed, 0);
        }
        let announced = request
            .header("content-length")
            .and_then(|value| value.parse().ok());
        let marker = self.settings.crash_marker.as_deref();
        let Some(body) = request.data() else {
            return (Outcome::CallerGone, 0);
        };
        let received = transfer::receive(body, announced, marker);
        let bytes = received.bytes;
        self.record
            .receive(number, bytes, received.hash, received.kept);
        if received.marked {
            self.crash();
            return (Outcome::Crashed, bytes);
        }
        if !received.whole {
            return (self.early_end(watch).unwrap_or(Outcome::CallerGone), bytes);
        }
        (self.wait(watch), bytes)
    }

    fn wait(&self, watch: &Watch) -> Outcome {
        let started = Instant::now();
        let end = started + self.load.service_time(started);
        loop {
            if let Some(outcome) = self.early_end(watch) {
                return outcome;
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Outcome::Completed;
            }
            thread::sleep(left.min(Duration::from_millis(RUN_STEP_MS)));
        }
    }

    /// Why a run has to end now, if it has to.
    fn early_end(&self, watch: &Watch) -> Option<Outcome> {
        if self.crashes.load(Ordering::SeqCst) != watch.crashes {
            return Some(Outcome::Crashed);
        }
        if watch.cancelled.load(Ordering::SeqCst) {
            return Some(Outcome::Cancelled);
        }
        if watch
            .deadline
            .is_some_and(|deadline| deadline <= Instant::now())
        {
            return Some(Outcome::TimedOut);
        }
        if !self.connections.is_open(watch.peer) {
            return Some(Outcome::CallerGone);
        }
        None
    }

    fn enlist(&self, request_id: &str, cancelled: &Arc<AtomicBool>) {
        lock(&self.running).push(Running {
            request_id: request_id.to_owned(),
            cancelled: Arc::clone(cancelled),
        });
    }

    fn delist(&self, cancelled: &Arc<AtomicBool>) {
        lock(&self.running).retain(|run| !Arc::ptr_eq(&run.cancelled, cancelled));
    }
}

fn new_run(request: &Request, headers: Vec<Header>) -> Run {
    Run {
        number: 0,
        method: request.method().to_owned(),
        target: request.raw_url().to_owned(),
        headers,
        request_id: request.header(REQUEST_ID_HEADER).map(str::to_owned),
        operation: request.header(OPERATION_HEADER).map(str::to_owned),
        body_bytes: 0,
        body_hash: String::new(),
        outcome: Outcome::Running,
    }
}

fn headers_of(request: &Request) -> Vec<Header> {
    let header = |(name, value): (&str, &str)| Header {
        name: name.to_owned(),
        value: value.to_owned(),
    };
    request.headers().map(header).collect()
}

fn shed() -> Response {
    Response::text("no free slot")
        .with_status_code(503)
        .with_additional_header(SHED_HEADER, SHED_NOT_RUN)
}

fn length_in(url: &str, prefix: &str) -> Option<usize> {
    url.strip_prefix(prefix)?.parse().ok()
}

fn filler(bytes: usize, slot: Slot) -> Response {
    let mut response = Response::from_data("application/octet-stream", Vec::new());
    response.data = ResponseBody::from_reader_and_size(Filler::new(bytes, slot), bytes);
    response
}
