//! Stand-in for backend servers.

use std::io::{ErrorKind, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, Reader};
use crate::record::Record;
use crate::store::Store;

/// How often a running request looks whether its connection has ended.
const POLL: Duration = Duration::from_millis(10);

/// Pause between two polls of a listener.
const ACCEPT_POLL: Duration = Duration::from_millis(2);

/// A request that a server received.
#[derive(Debug, Clone)]
pub struct Request {
    pub head: Head,
}

impl Request {
    pub fn attempt(&self) -> &str {
        self.head.header("Attempt-Id").unwrap_or_default()
    }
}

/// A request that a server began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub attempt: String,
    pub at: Instant,
    /// Whether its connection ended before the answer.
    pub was_aborted: bool,
}

/// What a server does with a request.
#[derive(Debug, Clone)]
pub struct Reaction {
    /// Time that the work takes.
    pub work: Duration,
    /// Bytes of the answer.
    pub answer: Vec<u8>,
    /// Whether it runs the request.
    pub runs: bool,
    /// Whether the server crashes when it begins to run the request.
    pub crashes: bool,
}

/// A backend server.
#[derive(Debug, Clone)]
pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
    has_crashed: Arc<AtomicBool>,
    record: Record,
}

impl Server {
    /// Starts a server that reacts to each request as `react` says.
    pub fn start(
        id: &str,
        ip: Ipv4Addr,
        record: &Record,
        react: impl Fn(&Request) -> Reaction + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        listener.set_nonblocking(true)?;
        let server = Self {
            id: id.to_owned(),
            addr: listener.local_addr()?,
            runs: Arc::default(),
            has_crashed: Arc::default(),
            record: record.clone(),
        };
        let own = server.clone();
        let react = Arc::new(react);
        thread::spawn(move || {
            while !own.has_crashed() {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(ACCEPT_POLL);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let (own, react) = (own.clone(), Arc::clone(&react));
                thread::spawn(move || own.serve(stream, &*react));
            }
        });
        Ok(server)
    }

    pub fn has_crashed(&self) -> bool {
        self.has_crashed.load(Ordering::Relaxed)
    }

    /// Ends the server: its listener closes, then its connections.
    pub fn end(&self) {
        if !self.has_crashed.swap(true, Ordering::Relaxed) {
            self.record.note(format!("server {}: ends", self.id));
        }
        thread::sleep(ACCEPT_POLL * 4);
    }

    /// Writes its registration as ready.
    pub fn register(
        &self,
        store: &Store,
        service: &str,
        zone: &str,
        sequence: u64,
        warmup_ms: u64,
    ) {
        self.put(store, service, zone, "ready", sequence, warmup_ms);
    }

    /// Writes its registration as draining.
    pub fn report_draining(&self, store: &Store, service: &str, zone: &str, sequence: u64) {
        self.put(store, service, zone, "draining", sequence, 0);
    }

    fn put(
        &self,
        store: &Store,
        service: &str,
        zone: &str,
        state: &str,
        sequence: u64,
        warmup_ms: u64,
    ) {
        let (id, addr) = (&self.id, self.addr);
        let value = format!(
            r#"{{"service":"{service}","address":"{addr}","zone":"{zone}","version":"v1","slots":20,"state":"{state}","warmup_left":"{warmup_ms}ms","sequence":{sequence},"born":1700000000000}}"#
        );
        self.record.note(format!(
            "store: servers/{id} is {state}, sequence {sequence}, warmup_left {warmup_ms} ms"
        ));
        store.put(&format!("servers/{id}"), value);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn serve(&self, stream: TcpStream, react: &(dyn Fn(&Request) -> Reaction + Send + Sync)) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(head) = reader.head() {
            if reader.body(head.length()).is_err() {
                return;
            }
            if head.word(1) == "/health" {
                let id = &self.id;
                let text =
                    format!("HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
                let _ = reader.stream.write_all(text.as_bytes());
                continue;
            }
            let request = Request { head };
            let is_own = request
                .head
                .header("Target-Instance")
                .is_none_or(|id| id == self.id);
            let reaction = if is_own {
                react(&request)
            } else {
                misdirected(request.attempt())
            };
            if !self.run(&mut reader.stream, request.attempt(), &reaction) {
                return;
            }
        }
    }

    /// Runs a request and answers; returns false if the connection ended before.
    fn run(&self, stream: &mut TcpStream, attempt: &str, reaction: &Reaction) -> bool {
        let number = reaction.runs.then(|| {
            self.record
                .note(format!("server {}: runs {attempt}", self.id));
            let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
            runs.push(Run {
                attempt: attempt.to_owned(),
                at: Instant::now(),
                was_aborted: false,
            });
            runs.len() - 1
        });
        if reaction.crashes {
            self.end();
        }
        let until = Instant::now() + reaction.work;
        while Instant::now() < until || self.has_crashed() {
            if self.has_crashed() {
                thread::sleep(ACCEPT_POLL * 4);
                return false;
            }
            if has_ended(stream) {
                self.record.note(format!(
                    "server {}: the connection of {attempt} ended while it ran",
                    self.id
                ));
                if let Some(number) = number {
                    let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
                    runs[number].was_aborted = true;
                }
                return false;
            }
            thread::sleep(POLL.min(until.saturating_duration_since(Instant::now())));
        }
        self.record
            .note(format!("server {}: answers {attempt}", self.id));
        stream.write_all(&reaction.answer).is_ok()
    }
}

fn has_ended(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

/// Returns the reaction of a server that runs a request for `work` and succeeds.
pub fn well(attempt: &str, work: Duration) -> Reaction {
    let body = format!("done {attempt}");
    let length = body.len();
    let answer = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: sig-{attempt}\r\nServer-Load: 1,0,20\r\nKeep-Alive: timeout=10\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    Reaction {
        work,
        answer: answer.into_bytes(),
        runs: true,
        crashes: false,
    }
}

fn misdirected(attempt: &str) -> Reaction {
    let answer = format!(
        "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    );
    Reaction {
        work: Duration::ZERO,
        answer: answer.into_bytes(),
        runs: false,
        crashes: false,
    }
}
