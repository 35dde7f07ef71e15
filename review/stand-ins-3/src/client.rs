//! A client that keeps its connection open for many requests.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Conn, Head};

/// A client.
pub struct Client {
    addr: SocketAddr,
    conn: Option<Conn>,
    deadline: Duration,
}

/// A request as a client sends it.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub attempt: &'a str,
    pub body: &'a [u8],
}

impl Client {
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            conn: None,
            deadline: Duration::from_secs(3),
        }
    }

    /// Sets how long the client waits for an answer.
    pub fn with_deadline(self, deadline: Duration) -> Self {
        Self { deadline, ..self }
    }

    fn connect(&mut self) -> io::Result<Conn> {
        if let Some(conn) = self.conn.take() {
            return Ok(conn);
        }
        let stream = TcpStream::connect_timeout(&self.addr, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(self.deadline + Duration::from_secs(2)))?;
        Ok(Conn::new(stream))
    }

    /// Sends a request and returns the head of the answer.
    pub fn call(&mut self, call: &Call) -> io::Result<Head> {
        let mut conn = self.connect()?;
        let Call {
            method,
            path,
            attempt,
            body,
        } = call;
        let length = body.len();
        let deadline = self.deadline.as_millis();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {attempt}\r\nAffinity-Key: 7\r\nDeadline-Ms: {deadline}\r\nKey: k1\r\nContent-Length: {length}\r\n\r\n"
        );
        // The write fails if the VM refuses the request before it has read the body.
        let written = conn.write(&[head.as_bytes(), body].concat());
        let head = match conn.read_head()? {
            Some(head) => head,
            None => return Err(written.err().unwrap_or(io::ErrorKind::UnexpectedEof.into())),
        };
        conn.read_body(&head)?;
        if !head.closes() {
            self.conn = Some(conn);
        }
        Ok(head)
    }
}
