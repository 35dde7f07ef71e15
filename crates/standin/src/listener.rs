//! A listening address whose connections can be broken on purpose.
//!
//! A `Listener` accepts callers' connections and relays their bytes to the HTTP server behind it.
//! `rouille` neither closes a connection nor sends half an answer, so both happen here.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::linux::net::TcpStreamExt;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Size of the buffer that each direction of a connection copies through.
const BUFFER_BYTES: usize = 32 * 1024;
/// Stack size of the threads that copy bytes.
const STACK_BYTES: usize = 128 * 1024;
/// Body limit of a connection that is not to be cut.
const NO_LIMIT: usize = usize::MAX;
/// End of an HTTP message's head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Bytes that a slow link passes on at once.
const SLOW_LINK_BYTES: usize = 2 * 1024;

/// The rate at which answers pass, all connections of a listener together.
#[derive(Clone, Debug, Default)]
struct Pace {
    inner: Arc<Mutex<Schedule>>,
}

#[derive(Debug, Default)]
struct Schedule {
    /// Bytes a second; absent: no limit.
    rate: Option<u32>,
    /// When the bytes passed on so far have left the link.
    free_at: Option<Instant>,
}

impl Pace {
    fn set(&self, rate: Option<u32>) {
        *lock(&self.inner) = Schedule {
            rate,
            free_at: None,
        };
    }

    /// Returns how many bytes may be passed on at once.
    fn max_bytes(&self) -> usize {
        let is_slow = lock(&self.inner).rate.is_some();
        if is_slow {
            SLOW_LINK_BYTES
        } else {
            BUFFER_BYTES
        }
    }

    /// Waits until `bytes` bytes have passed.
    fn pass(&self, bytes: usize) {
        let free_at = {
            let mut schedule = lock(&self.inner);
            let Some(rate) = schedule.rate else { return };
            let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
            let span = Duration::from_secs(1) * bytes / rate;
            let now = Instant::now();
            let free_at = schedule.free_at.map_or(now, |at| at.max(now)) + span;
            schedule.free_at = Some(free_at);
            free_at
        };
        thread::sleep(free_at.saturating_duration_since(Instant::now()));
    }
}

/// Locks `mutex`, also after a panic of another holder.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The open connections of one or more listeners that share an HTTP server.
///
/// A connection's key is the port that its relayed half uses towards the HTTP server, which is
/// the peer port that the server's handlers see.
#[derive(Clone, Debug, Default)]
pub(crate) struct Connections {
    open: Arc<Mutex<HashMap<u16, Connection>>>,
}

#[derive(Debug)]
struct Connection {
    /// Port of the listener that accepted the connection.
    listener: u16,
    caller: TcpStream,
    server: TcpStream,
    /// Bytes of the next answer's body after which the connection closes; [`NO_LIMIT`] for none.
    body_limit: Arc<AtomicUsize>,
}

impl Connection {
    fn close(&self) {
        let _ = self.caller.shutdown(Shutdown::Both);
        let _ = self.server.shutdown(Shutdown::Both);
    }
}

impl Connections {
    /// Closes the connection that the HTTP server sees as `peer`.
    pub(crate) fn close(&self, peer: SocketAddr) {
        if let Some(connection) = lock(&self.open).remove(&peer.port()) {
            connection.close();
        }
    }

    /// Whether the caller of the connection that the server sees as `peer` is still there.
    pub(crate) fn is_open(&self, peer: SocketAddr) -> bool {
        lock(&self.open).contains_key(&peer.port())
    }

    /// Closes the connection that the server sees as `peer` once `bytes` of the next answer's
    /// body have reached the caller.
    pub(crate) fn cut_body(&self, peer: SocketAddr, bytes: usize) {
        if let Some(connection) = lock(&self.open).get(&peer.port()) {
            connection.body_limit.store(bytes, Ordering::SeqCst);
        }
    }

    /// Closes all connections.
    pub(crate) fn close_all(&self) {
        for (_, connection) in lock(&self.open).drain() {
            connection.close();
        }
    }

    fn add(&self, peer: u16, connection: Connection) {
        lock(&self.open).insert(peer, connection);
    }

    fn close_accepted_by(&self, listener: u16) {
        lock(&self.open).retain(|_, connection| {
            let keep = connection.listener != listener;
            if !keep {
                connection.close();
            }
            keep
        });
    }

    /// Closes the connection with this key and body limit. A later connection may have the same
    /// key, but never the same limit.
    fn forget(&self, peer: u16, body_limit: &Arc<AtomicUsize>) {
        let mut open = lock(&self.open);
        let own = |connection: &Connection| Arc::ptr_eq(&connection.body_limit, body_limit);
        if open.get(&peer).is_some_and(own)
            && let Some(connection) = open.remove(&peer)
        {
            connection.close();
        }
    }
}

/// An address that callers connect to. Dropping it stops listening and closes its connections.
#[derive(Debug)]
pub struct Listener {
    addr: SocketAddr,
    server: SocketAddr,
    connections: Connections,
    pace: Pace,
    /// `None` while the listener is cut.
    accepting: Mutex<Option<Accepting>>,
}

impl Listener {
    /// Listens on `addr` and relays to the HTTP server at `server`.
    pub(crate) fn start(
        addr: SocketAddr,
        server: SocketAddr,
        connections: Connections,
    ) -> io::Result<Self> {
        let socket = TcpListener::bind(addr)?;
        let addr = socket.local_addr()?;
        let pace = Pace::default();
        let accepting = Accepting::start(socket, server, connections.clone(), pace.clone())?;
        Ok(Self {
            addr,
            server,
            connections,
            pace,
            accepting: Mutex::new(Some(accepting)),
        })
    }

    /// Listens on `addr` and relays to `target`, apart from other listeners.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub fn link(addr: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        Self::start(addr, target, Connections::default())
    }

    /// The address that callers connect to.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Lets answers pass at `rate` bytes a second, all connections together; with `None`, without limit.
    pub fn set_rate(&self, rate: Option<u32>) {
        self.pace.set(rate);
    }

    /// Cuts the callers of this listener off: open connections break and new ones are refused.
    pub fn cut(&self) {
        // The lock is held to the end, so that no connection made after a restore is closed.
        let mut accepting = lock(&self.accepting);
        if let Some(accepting) = accepting.take() {
            accepting.stop(self.addr);
        }
        self.connections.close_accepted_by(self.addr.port());
    }

    /// Ends a [`cut`](Self::cut).
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on again. That can happen on 127.0.0.1 with a
    /// port of the ephemeral range, as an outgoing connection may have taken the port meanwhile;
    /// other loopback addresses, such as 127.0.0.2, are free of this.
    pub fn restore(&self) -> io::Result<()> {
        let mut accepting = lock(&self.accepting);
        if accepting.is_none() {
            let socket = TcpListener::bind(self.addr)?;
            let connections = self.connections.clone();
            let started = Accepting::start(socket, self.server, connections, self.pace.clone())?;
            *accepting = Some(started);
        }
        Ok(())
    }

    /// Whether the listener's callers are cut off.
    #[must_use]
    pub fn is_cut(&self) -> bool {
        lock(&self.accepting).is_none()
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.cut();
    }
}

/// The thread that accepts connections.
#[derive(Debug)]
struct Accepting {
    stopping: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Accepting {
    fn start(
        socket: TcpListener,
        server: SocketAddr,
        connections: Connections,
        pace: Pace,
    ) -> io::Result<Self> {
        let stopping = Arc::new(AtomicBool::new(false));
        let acceptor = Acceptor {
            port: socket.local_addr()?.port(),
            server,
            connections,
            pace,
            stopping: Arc::clone(&stopping),
        };
        let thread = thread::Builder::new()
            .name("standin-accept".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || acceptor.run(&socket))?;
        Ok(Self { stopping, thread })
    }

    fn stop(self, mut addr: SocketAddr) {
        self.stopping.store(true, Ordering::SeqCst);
        if addr.ip().is_unspecified() {
            addr.set_ip(Ipv4Addr::LOCALHOST.into());
        }
        // A last connection ends the blocking accept call.
        let _ = TcpStream::connect(addr);
        let _ = self.thread.join();
    }
}

#[derive(Clone, Debug)]
struct Acceptor {
    port: u16,
    server: SocketAddr,
    connections: Connections,
    pace: Pace,
    stopping: Arc<AtomicBool>,
}

impl Acceptor {
    fn run(&self, socket: &TcpListener) {
        while !self.stopping.load(Ordering::SeqCst) {
            let Ok((caller, _)) = socket.accept() else {
                continue;
            };
            if !self.stopping.load(Ordering::SeqCst) {
                // A connection that cannot be relayed is closed, as an overloaded host would.
                // Each is relayed by threads of its own, so that bursts do not fill the backlog.
                let acceptor = self.clone();
                let _ = spawn_relay(move || acceptor.relay(caller));
            }
        }
    }

    /// Relays a connection until either side closes.
    fn relay(&self, caller: TcpStream) -> io::Result<()> {
        let server = TcpStream::connect(self.server)?;
        caller.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let peer = server.local_addr()?.port();
        let body_limit = Arc::new(AtomicUsize::new(NO_LIMIT));
        let connection = Connection {
            listener: self.port,
            caller: caller.try_clone()?,
            server: server.try_clone()?,
            body_limit: Arc::clone(&body_limit),
        };
        let request = Copy::new(
            caller.try_clone()?,
            server.try_clone()?,
            None,
            Pace::default(),
        );
        let limit = Some(Arc::clone(&body_limit));
        let answer = Copy::new(server, caller, limit, self.pace.clone());
        self.connections.add(peer, connection);
        if self.stopping.load(Ordering::SeqCst) {
            self.connections.forget(peer, &body_limit);
        }
        let connections = self.connections.clone();
        let limit = Arc::clone(&body_limit);
        let answering = spawn_relay(move || {
            let copied = answer.run();
            connections.forget(peer, &limit);
            copied
        });
        let copied = answering.and_then(|()| request.run());
        self.connections.forget(peer, &body_limit);
        copied
    }
}

fn spawn_relay(relay: impl FnOnce() -> io::Result<()> + Send + 'static) -> io::Result<()> {
    let thread = thread::Builder::new().name("standin-relay".to_owned());
    thread.stack_size(STACK_BYTES).spawn(move || {
        // A broken connection is the callers' matter.
        let _ = relay();
    })?;
    Ok(())
}

/// One direction of a connection.
#[derive(Debug)]
struct Copy {
    from: TcpStream,
    to: TcpStream,
    body_limit: Option<Arc<AtomicUsize>>,
    pace: Pace,
}

impl Copy {
    fn new(
        from: TcpStream,
        to: TcpStream,
        body_limit: Option<Arc<AtomicUsize>>,
        pace: Pace,
    ) -> Self {
        Self {
            from,
            to,
            body_limit,
            pace,
        }
    }

    /// Copies until either side closes or the body limit is reached.
    fn run(mut self) -> io::Result<()> {
        let mut buffer = vec![0; BUFFER_BYTES];
        let mut left = None;
        loop {
            let max_bytes = self.pace.max_bytes();
            let read = self.from.read(&mut buffer[..max_bytes])?;
            if read == 0 {
                return Ok(());
            }
            // The HTTP server writes head and body separately with Nagle's algorithm on, so a
            // delayed acknowledgement would hold each body back for 40 ms.
            self.from.set_quickack(true)?;
            let allowed = match left {
                Some(left) => left,
                None => self.allowance(&buffer[..read]),
            };
            self.pace.pass(read.min(allowed));
            self.to.write_all(&buffer[..read.min(allowed)])?;
            if read >= allowed {
                return Ok(());
            }
            if allowed != NO_LIMIT {
                left = Some(allowed - read);
            }
        }
    }

    /// How many bytes may be copied, of which `chunk` is the start.
    fn allowance(&self, chunk: &[u8]) -> usize {
        let limit = self
            .body_limit
            .as_ref()
            .map(|limit| limit.load(Ordering::SeqCst));
        match limit {
            None | Some(NO_LIMIT) => NO_LIMIT,
            Some(limit) => head_bytes(chunk) + limit,
        }
    }
}

/// Length of the answer's head, which the HTTP server writes at once.
fn head_bytes(chunk: &[u8]) -> usize {
    let end = chunk
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END);
    end.map_or(chunk.len(), |end| end + HEAD_END.len())
}
