//! Stand-in of a backend server that registers itself in the store and that one kind of request crashes.

use std::io::Write;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;

/// Interval between two registrations.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Time after which the store removes the entry of a server that says nothing.
const SILENCE: Duration = Duration::from_millis(4_500);

/// Time for which a crashed server is away.
const AWAY: Duration = Duration::from_millis(2_500);

/// Time for which a server that has started is cold.
const WARMUP: Duration = Duration::from_secs(3);

/// Requests that it runs at a time.
const SLOTS: u32 = 8;

/// Text in the target of a request that crashes the server that begins to run it.
pub const DEADLY: &str = "/deadly";

/// A backend server, as its runs are counted.
#[derive(Debug)]
pub struct Server {
    name: String,
    ip: Ipv4Addr,
    zone: &'static str,
    store: Store,
    record: Record,
    /// Time that a request takes.
    work: Duration,
    incarnations: AtomicU64,
    /// Arrivals of requests that crash servers, at any server.
    deaths: Deaths,
}

/// Arrivals of requests that crash servers: seconds since the start, and the client's attempt.
pub type Deaths = Arc<Mutex<Vec<(f64, String)>>>;

/// One run of a server.
#[derive(Debug)]
struct Incarnation {
    id: String,
    is_up: AtomicBool,
    /// Requests that run.
    running: AtomicU32,
    connections: Mutex<Vec<TcpStream>>,
}

impl Server {
    /// Starts a server of `zone`.
    pub fn start(
        number: usize,
        zone: &'static str,
        store: &Store,
        record: &Record,
        work: Duration,
        deaths: &Deaths,
    ) {
        let server = Arc::new(Self {
            name: format!("i-{number}"),
            ip: crate::vm::unique_ip(),
            zone,
            store: store.clone(),
            record: record.clone(),
            work,
            incarnations: AtomicU64::new(0),
            deaths: Arc::clone(deaths),
        });
        thread::spawn(move || {
            let mut port = 0;
            let mut is_first = true;
            loop {
                port = server.run(port, is_first);
                is_first = false;
                thread::sleep(AWAY);
            }
        });
    }

    /// Runs one incarnation until it crashes; returns its port.
    fn run(self: &Arc<Self>, port: u16, is_first: bool) -> u16 {
        let listener = TcpListener::bind((self.ip, port)).expect("address of a server");
        listener.set_nonblocking(true).expect("listener");
        let addr = listener.local_addr().expect("address of a server");
        let number = self.incarnations.fetch_add(1, Ordering::Relaxed);
        let incarnation = Arc::new(Incarnation {
            id: format!("{}-{number}", self.name),
            is_up: AtomicBool::new(true),
            running: AtomicU32::new(0),
            connections: Mutex::default(),
        });
        let warmup = if is_first { Duration::ZERO } else { WARMUP };
        self.register(&incarnation, addr, warmup);
        while incarnation.is_up.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => self.accept(&incarnation, stream),
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
        drop(listener);
        for connection in incarnation
            .connections
            .lock()
            .expect("connections")
            .drain(..)
        {
            let _ = connection.shutdown(Shutdown::Both);
        }
        addr.port()
    }

    /// Registers the incarnation again and again until it crashes, and removes its entry some time later.
    fn register(
        self: &Arc<Self>,
        incarnation: &Arc<Incarnation>,
        addr: SocketAddr,
        warmup: Duration,
    ) {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("time of day");
        let born = born.as_millis();
        let key = format!("servers/{}", incarnation.id);
        let write = {
            let (store, key, zone) = (self.store.clone(), key.clone(), self.zone);
            move |sequence: u32| {
                let left = warmup.saturating_sub(HEARTBEAT * sequence).as_millis();
                let value = format!(
                    r#"{{"service":"s","address":"{addr}","zone":"{zone}","version":"v1","slots":{SLOTS},"state":"ready","warmup_left":"{left}ms","sequence":{sequence},"born":{born}}}"#
                );
                store.put(&key, &value);
            }
        };
        write(0);
        let (store, incarnation) = (self.store.clone(), Arc::clone(incarnation));
        thread::spawn(move || {
            let mut sequence = 0;
            loop {
                thread::sleep(HEARTBEAT);
                if !incarnation.is_up.load(Ordering::Relaxed) {
                    break;
                }
                sequence += 1;
                write(sequence);
            }
            thread::sleep(SILENCE.saturating_sub(HEARTBEAT));
            store.remove(&key);
        });
    }

    fn accept(self: &Arc<Self>, incarnation: &Arc<Incarnation>, stream: TcpStream) {
        let Ok(kept) = stream.try_clone() else { return };
        if stream.set_nonblocking(false).is_err() {
            return;
        }
        incarnation
            .connections
            .lock()
            .expect("connections")
            .push(kept);
        let (server, incarnation) = (Arc::clone(self), Arc::clone(incarnation));
        thread::spawn(move || server.serve(&incarnation, stream));
    }

    fn serve(&self, incarnation: &Incarnation, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = http::read(&mut stream, &mut buffer) {
            if !self.answer(incarnation, &mut stream, &request) {
                return;
            }
        }
    }

    /// Answers a request; returns whether the connection goes on.
    fn answer(&self, incarnation: &Incarnation, stream: &mut TcpStream, request: &Message) -> bool {
        let id = &incarnation.id;
        let load = |running: u32| {
            format!("Keep-Alive: timeout=10\r\nServer-Load: {running},0,{SLOTS}\r\n")
        };
        if request.target() == "/health" {
            let running = incarnation.running.load(Ordering::Relaxed);
            let fields = format!("Instance-Id: {id}\r\n{}", load(running));
            return http::respond(stream, "200 OK", &fields, b"").is_ok();
        }
        let attempt = request.field("attempt-id").unwrap_or_default();
        let echo = format!("Attempt-Id: {attempt}\r\n");
        if request
            .field("target-instance")
            .is_some_and(|target| target != id)
        {
            let running = incarnation.running.load(Ordering::Relaxed);
            let fields = format!("{echo}{}Not-Executed: 1\r\n", load(running));
            return http::respond(stream, "421 Misdirected Request", &fields, b"").is_ok();
        }
        if request.target().contains(DEADLY) {
            self.record
                .note(&format!("server {id} begins to run {attempt} and crashes"));
            let arrival = (self.record.seconds(), attempt.to_owned());
            self.deaths.lock().expect("deaths").push(arrival);
            incarnation.is_up.store(false, Ordering::Relaxed);
            return false;
        }
        let running = incarnation.running.fetch_add(1, Ordering::Relaxed) + 1;
        thread::sleep(self.work);
        incarnation.running.fetch_sub(1, Ordering::Relaxed);
        if !incarnation.is_up.load(Ordering::Relaxed) {
            self.record.note(&format!(
                "server {id} loses {attempt}, at which it was at work"
            ));
            return false;
        }
        self.record.note(&format!("server {id} has run {attempt}"));
        let fields = format!(
            "{echo}{}Response-Signature: {attempt}.{id}\r\n",
            load(running)
        );
        http::respond(stream, "200 OK", &fields, b"done").is_ok() && stream.flush().is_ok()
    }
}
