//! A backend server of the users' platform.
//!
//! It registers in the store and writes a heartbeat there, runs `slots` requests at a time and queues a few
//! more, answers 421 to a request for another instance, and says with `Not-Executed` what it has not run. It
//! drops a request when its connection closes. Its entry is removed after three heartbeat intervals of silence.

use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Conn, Head};
use crate::record::Record;
use crate::store::Store;

/// Interval of the heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Time after its start for which a server is cold.
const WARMUP: Duration = Duration::from_secs(3);

/// Time for which a crashed server is down.
const DOWN: Duration = Duration::from_secs(3);

const STEP: Duration = Duration::from_millis(3);

/// What a server does with a request.
#[derive(Debug, Clone, Copy)]
pub enum Act {
    /// It runs it for this time and answers.
    Run(Duration),
    /// It begins to run it with its head, reads its body after this time, and answers then.
    ReadLate(Duration),
    /// It begins to run it and crashes.
    Crash,
    /// It rejects it without running it.
    Shed,
}

/// What a server with a fault does beside its answers.
#[derive(Clone)]
pub struct Fault {
    /// Returns whether the server sends a stray answer after the present one.
    pub sends_stray: Arc<dyn Fn() -> bool + Send + Sync>,
    /// The stray answer. It arrives where the answer to the next request on the connection is expected.
    pub stray: &'static str,
    /// Whether the server goes on with a request whose connection closes.
    pub keeps_working: bool,
}

/// A request as a server receives it.
#[derive(Debug)]
pub struct Request {
    pub path: String,
}

/// A run that a server began.
#[derive(Debug, Clone)]
pub struct Run {
    pub attempt: String,
    pub path: String,
    pub server: String,
    /// Time since the start of the record at which it began.
    pub at: Duration,
    pub ending: Ending,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// It goes on.
    Open,
    /// It was answered.
    Answered,
    /// It crashed its server.
    Crashed,
    /// Its server crashed because of another request.
    LostWithServer,
    /// Its connection closed.
    Dropped,
}

/// All runs of all servers.
#[derive(Debug, Default)]
pub struct Runs(Mutex<Vec<Run>>);

impl Runs {
    fn lock(&self) -> MutexGuard<'_, Vec<Run>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn begin(&self, run: Run) -> usize {
        let mut runs = self.lock();
        runs.push(run);
        runs.len() - 1
    }

    fn end(&self, index: usize, ending: Ending) {
        self.lock()[index].ending = ending;
    }

    pub fn all(&self) -> Vec<Run> {
        self.lock().clone()
    }
}

type Script = dyn Fn(&Request) -> Act + Send + Sync;

/// A backend server.
pub struct Server {
    id: String,
    addr: SocketAddr,
    service: String,
    zone: String,
    slots: usize,
    store: Arc<Store>,
    record: Arc<Record>,
    runs: Arc<Runs>,
    script: Arc<Script>,
    fault: Option<Fault>,
    /// Number of the incarnation; odd while it is up.
    life: AtomicU64,
    born: Mutex<(u64, Instant)>,
    sequence: AtomicU64,
    at_work: AtomicUsize,
    waiting: AtomicUsize,
}

impl Server {
    /// Starts a server of `service` at a free port of `ip`.
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        id: &str,
        ip: IpAddr,
        zone: &str,
        slots: usize,
        store: &Arc<Store>,
        record: &Arc<Record>,
        runs: &Arc<Runs>,
        script: Arc<Script>,
    ) -> io::Result<Arc<Self>> {
        Self::start_with(id, ip, zone, slots, store, record, runs, script, None)
    }

    /// Does the same with a fault.
    #[allow(clippy::too_many_arguments)]
    pub fn start_with(
        id: &str,
        ip: IpAddr,
        zone: &str,
        slots: usize,
        store: &Arc<Store>,
        record: &Arc<Record>,
        runs: &Arc<Runs>,
        script: Arc<Script>,
        fault: Option<Fault>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let server = Arc::new(Self {
            id: id.to_owned(),
            addr: listener.local_addr()?,
            service: "desk".to_owned(),
            zone: zone.to_owned(),
            slots,
            store: Arc::clone(store),
            record: Arc::clone(record),
            runs: Arc::clone(runs),
            script,
            fault,
            life: AtomicU64::new(0),
            born: Mutex::new((0, Instant::now())),
            sequence: AtomicU64::new(0),
            at_work: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
        });
        server.live(listener, false);
        Ok(server)
    }

    fn is_alive(&self, life: u64) -> bool {
        self.life.load(Ordering::SeqCst) == life
    }

    /// Begins an incarnation.
    fn live(self: &Arc<Self>, listener: TcpListener, is_cold: bool) {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let born_ms = since.unwrap_or_default().as_millis() as u64;
        let warm_at = Instant::now() + if is_cold { WARMUP } else { Duration::ZERO };
        *self.born.lock().unwrap_or_else(PoisonError::into_inner) = (born_ms, warm_at);
        self.sequence.store(0, Ordering::SeqCst);
        self.at_work.store(0, Ordering::SeqCst);
        self.waiting.store(0, Ordering::SeqCst);
        let life = self.life.fetch_add(1, Ordering::SeqCst) + 1;
        let server = Arc::clone(self);
        thread::spawn(move || server.accept(&listener, life));
        let server = Arc::clone(self);
        thread::spawn(move || server.beat(life));
    }

    fn beat(&self, life: u64) {
        while self.is_alive(life) {
            self.register();
            let next = Instant::now() + HEARTBEAT;
            while self.is_alive(life) && Instant::now() < next {
                sleep(STEP);
            }
        }
        // The platform removes the entry of a server that is silent.
        sleep(HEARTBEAT * 3 - HEARTBEAT / 2);
        if self.is_alive(life + 1) {
            self.store.remove(&format!("servers/{}", self.id));
        }
    }

    fn register(&self) {
        let (born, warm_at) = *self.born.lock().unwrap_or_else(PoisonError::into_inner);
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let left = warm_at
            .saturating_duration_since(Instant::now())
            .as_millis();
        let (service, addr, zone, slots) = (&self.service, self.addr, &self.zone, self.slots);
        self.store.put(
            &format!("servers/{}", self.id),
            &format!(
                r#"{{"service":"{service}","address":"{addr}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","warmup_left":"{left}ms","sequence":{sequence},"born":{born}}}"#
            ),
        );
    }

    fn accept(self: Arc<Self>, listener: &TcpListener, life: u64) {
        if listener.set_nonblocking(true).is_err() {
            return;
        }
        while self.is_alive(life) {
            let Ok((stream, _)) = listener.accept() else {
                sleep(STEP);
                continue;
            };
            let server = Arc::clone(&self);
            thread::spawn(move || server.serve(stream, life));
        }
    }

    /// Ends this incarnation; the next one begins at the same address some seconds later.
    fn crash(self: &Arc<Self>, life: u64) {
        let ended = self
            .life
            .compare_exchange(life, life + 1, Ordering::SeqCst, Ordering::SeqCst);
        if ended.is_err() {
            return;
        }
        let server = Arc::clone(self);
        thread::spawn(move || {
            sleep(DOWN);
            while let Err(error) = TcpListener::bind(server.addr).map(|it| server.live(it, true)) {
                server
                    .record
                    .note(format!("server {} cannot listen: {error}", server.id));
                sleep(DOWN / 10);
            }
            server.record.note(format!("server {} is back", server.id));
        });
    }

    fn serve(self: Arc<Self>, stream: TcpStream, life: u64) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_read_timeout(Some(STEP * 10));
        let mut conn = Conn::new(stream);
        let mut owes_stray = false;
        while self.is_alive(life) {
            let head = match conn.read_head() {
                Ok(Some(head)) => head,
                Err(error) if is_timeout(&error) => continue,
                _ => return,
            };
            let request = Request {
                path: head.word(1).to_owned(),
            };
            let act = (self.script)(&request);
            if let Act::ReadLate(pause) = act {
                if !self.run_while_reading(&mut conn, &head, pause, life) {
                    return;
                }
                continue;
            }
            if !self.read_body(&mut conn, &head, life) {
                return;
            }
            if let Some(fault) = self.fault.as_ref().filter(|_| owes_stray) {
                let attempt = head.field("Attempt-Id").unwrap_or_default();
                let line = format!("{}: a stray answer comes before that to {attempt}", self.id);
                self.record.note(line);
                let _ = conn.write(fault.stray.as_bytes());
            }
            let Some(answer) = self.answer(&head, act, &conn.stream, life) else {
                return;
            };
            if conn.write(answer.as_bytes()).is_err() {
                return;
            }
            owes_stray = self
                .fault
                .as_ref()
                .is_some_and(|fault| (fault.sends_stray)());
        }
    }

    /// Reads a body; returns false if the connection or this incarnation ends before.
    fn read_body(&self, conn: &mut Conn, head: &Head, life: u64) -> bool {
        while let Err(error) = conn.read_body(head) {
            if !is_timeout(&error) || !self.is_alive(life) {
                return false;
            }
        }
        true
    }

    /// Runs a request whose body is read after `pause`; returns whether the connection can be used further.
    fn run_while_reading(&self, conn: &mut Conn, head: &Head, pause: Duration, life: u64) -> bool {
        let attempt = head.field("Attempt-Id").unwrap_or_default();
        let run = self.runs.begin(Run {
            attempt: attempt.to_owned(),
            path: head.word(1).to_owned(),
            server: self.id.clone(),
            at: self.record.elapsed(),
            ending: Ending::Open,
        });
        self.record.note(format!(
            "{attempt}: {} runs it, its body is read later",
            self.id
        ));
        sleep(pause);
        if !self.read_body(conn, head, life) {
            self.runs.end(run, Ending::Dropped);
            let line = format!(
                "{attempt}: the connection to {} ended within the body",
                self.id
            );
            self.record.note(line);
            return false;
        }
        let is_answered = conn.write(success(attempt, &self.id).as_bytes()).is_ok();
        self.runs.end(run, Ending::Answered);
        self.record.note(format!("{attempt}: {} answers", self.id));
        is_answered
    }

    /// Returns the answer, or `None` if the connection ends without one.
    fn answer(
        self: &Arc<Self>,
        head: &Head,
        act: Act,
        stream: &TcpStream,
        life: u64,
    ) -> Option<String> {
        let Some(attempt) = head.field("Attempt-Id") else {
            return Some(rejection(400, ""));
        };
        if head
            .field("Target-Instance")
            .is_some_and(|id| id != self.id)
        {
            return Some(rejection(421, attempt));
        }
        let work = match act {
            Act::Shed => return Some(rejection(503, attempt)),
            Act::Crash => Duration::ZERO,
            Act::Run(work) | Act::ReadLate(work) => work,
        };
        if !self.wait_for_slot(stream, life) {
            return self.is_alive(life).then(|| rejection(503, attempt));
        }
        let run = Run {
            attempt: attempt.to_owned(),
            path: head.word(1).to_owned(),
            server: self.id.clone(),
            at: self.record.elapsed(),
            ending: Ending::Open,
        };
        let run = self.runs.begin(run);
        if work.is_zero() {
            self.runs.end(run, Ending::Crashed);
            self.crash(life);
            // The listener closes before the connections, as at the end of a process.
            sleep(STEP * 3);
            return None;
        }
        let ending = self.work(work, stream, life);
        self.runs.end(run, ending);
        if ending == Ending::Answered {
            self.at_work.fetch_sub(1, Ordering::SeqCst);
            return Some(success(attempt, &self.id));
        }
        if ending == Ending::Dropped {
            self.at_work.fetch_sub(1, Ordering::SeqCst);
        } else {
            sleep(STEP * 3);
        }
        None
    }

    /// Waits for a slot; returns false if the queue is full, the connection closes or the server crashes.
    fn wait_for_slot(&self, stream: &TcpStream, life: u64) -> bool {
        if self.waiting.fetch_add(1, Ordering::SeqCst) >= self.slots * 3 {
            self.waiting.fetch_sub(1, Ordering::SeqCst);
            return false;
        }
        loop {
            if !self.is_alive(life) {
                return false;
            }
            let take = |running| (running < self.slots).then_some(running + 1);
            let taken = self
                .at_work
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, take);
            if taken.is_ok() || is_closed(stream) {
                self.waiting.fetch_sub(1, Ordering::SeqCst);
                return taken.is_ok();
            }
            sleep(STEP);
        }
    }

    fn work(&self, work: Duration, stream: &TcpStream, life: u64) -> Ending {
        let until = Instant::now() + work;
        while Instant::now() < until {
            if !self.is_alive(life) {
                return Ending::LostWithServer;
            }
            let keeps_working = self.fault.as_ref().is_some_and(|fault| fault.keeps_working);
            if !keeps_working && is_closed(stream) {
                return Ending::Dropped;
            }
            sleep(STEP);
        }
        Ending::Answered
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0]);
    let is_closed = match peeked {
        Ok(length) => length == 0,
        Err(error) => !is_timeout(&error),
    };
    stream.set_nonblocking(false).is_err() || is_closed
}

fn rejection(status: u16, attempt: &str) -> String {
    format!(
        "HTTP/1.1 {status} Rejected\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n"
    )
}

fn success(attempt: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: {attempt}.{length}\r\nKeep-Alive: timeout=10\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
