//! Servers that send given bytes, whether or not these are a response.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// Most bytes sent on one connection, so that a caller that reads them all ends.
const MAX_SENT_BYTES: usize = 256 << 20;

/// Bytes of a request that are read at once.
const READ_BYTES: usize = 4 << 10;

/// A server that reads the beginning of a request on each connection and sends bytes, until the caller
/// closes the connection if they have no end. It accepts connections until the process ends.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    sent: Arc<AtomicUsize>,
    ended: Arc<AtomicUsize>,
}

/// A response that never ends.
#[derive(Debug)]
pub struct Endless {
    /// What never ends.
    pub name: &'static str,
    /// Its first bytes.
    pub first: Vec<u8>,
    /// The bytes that follow again and again.
    pub rest: Vec<u8>,
}

impl Server {
    /// Starts a server that sends `first` and then `rest` again and again, or closes the connection if `rest`
    /// is empty.
    ///
    /// # Errors
    ///
    /// Fails if no address can be bound.
    pub fn start(first: Vec<u8>, rest: Vec<u8>) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let server = Self {
            addr: listener.local_addr()?,
            sent: Arc::default(),
            ended: Arc::default(),
        };
        let (sent, ended) = (Arc::clone(&server.sent), Arc::clone(&server.ended));
        let (first, rest) = (Arc::new(first), Arc::new(rest));
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let (sent, ended) = (Arc::clone(&sent), Arc::clone(&ended));
                let (first, rest) = (Arc::clone(&first), Arc::clone(&rest));
                thread::spawn(move || {
                    // It ends with the caller's connection.
                    let _ = send(stream, &first, &rest, &sent);
                    ended.fetch_add(1, Ordering::Relaxed);
                });
            }
        });
        Ok(server)
    }

    /// Returns the address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the number of bytes sent.
    #[must_use]
    pub fn sent(&self) -> usize {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that have ended.
    #[must_use]
    pub fn ended(&self) -> usize {
        self.ended.load(Ordering::Relaxed)
    }
}

fn send(mut stream: TcpStream, first: &[u8], rest: &[u8], sent: &AtomicUsize) -> io::Result<()> {
    let mut request = [0; READ_BYTES];
    let _ = stream.read(&mut request)?;
    stream.write_all(first)?;
    let count = MAX_SENT_BYTES.checked_div(rest.len()).unwrap_or_default();
    for _ in 0..count {
        stream.write_all(rest)?;
        sent.fetch_add(rest.len(), Ordering::Relaxed);
    }
    Ok(())
}

/// Returns a response of each kind that never ends. Their heads have the lines `fields`.
#[must_use]
pub fn endless(fields: &str) -> Vec<Endless> {
    let ok = format!("HTTP/1.1 200 OK\r\n{fields}");
    let chunked = format!("{ok}Transfer-Encoding: chunked\r\n\r\n");
    let filler = "x".repeat(16 << 10);
    let chunk = format!("4000\r\n{filler}\r\n");
    let lines = "X: y\r\n".repeat(1_000);
    let interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(500);
    let endless = |name, first: String, rest: &str| Endless {
        name,
        first: first.into_bytes(),
        rest: rest.as_bytes().to_vec(),
    };
    vec![
        endless("bytes that are no response", String::new(), &filler),
        endless("one header", format!("{ok}X: "), &filler),
        endless("headers", ok.clone(), &lines),
        endless("interim responses", String::new(), &interim),
        endless("a chunk size", chunked.clone(), &"0".repeat(16 << 10)),
        endless("chunks", chunked.clone(), &chunk),
        endless("trailers", format!("{chunked}0\r\n"), &lines),
        endless("a body without length", format!("{ok}\r\n"), &filler),
    ]
}
