//! Clients of an entry VM.

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::Reader;

/// What a client gets for a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    Complete {
        status: u16,
        /// `Response-Signature`, if there is one.
        signature: Option<String>,
        /// Whether the answer says that the connection closes.
        closes: bool,
        body: String,
    },
    /// The connection ended without a complete answer.
    Ended(String),
    /// Nothing complete came in time.
    TimedOut,
}

impl Answer {
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Complete { status, .. } => Some(*status),
            _ => None,
        }
    }
}

/// A client with one connection.
#[derive(Debug)]
pub struct Caller(Reader);

impl Caller {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self(Reader::new(stream))
    }

    pub fn connect(addr: SocketAddr) -> std::io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(
            &addr,
            Duration::from_secs(1),
        )?))
    }

    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.0.stream.write_all(bytes)
    }

    pub fn answer(&mut self, limit: Duration) -> Answer {
        let until = Instant::now() + limit;
        match self.read(until) {
            Ok(answer) => answer,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Answer::TimedOut
            }
            Err(error) => Answer::Ended(error.to_string()),
        }
    }

    pub fn call(&mut self, request: &str, limit: Duration) -> Answer {
        match self.send(request.as_bytes()) {
            Ok(()) => self.answer(limit),
            Err(error) => Answer::Ended(error.to_string()),
        }
    }

    fn read(&mut self, until: Instant) -> std::io::Result<Answer> {
        let left = until.saturating_duration_since(Instant::now());
        self.0
            .stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let head = self.0.head()?;
        let body = self.0.body(head.length())?;
        Ok(Answer::Complete {
            status: head.status(),
            signature: head.header("Response-Signature").map(str::to_owned),
            closes: head.header("Connection") == Some("close"),
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }
}

/// Returns a request with the key `k1`.
pub fn request(
    method: &str,
    path: &str,
    attempt: &str,
    object: &str,
    deadline_ms: u64,
    body: &str,
) -> String {
    let length = body.len();
    let length = if body.is_empty() {
        String::new()
    } else {
        format!("Content-Length: {length}\r\n")
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {attempt}\r\nAffinity-Key: {object}\r\nDeadline-Ms: {deadline_ms}\r\nKey: k1\r\n{length}\r\n{body}"
    )
}
