//! Requests to the state services of other entry VMs.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::body::Collector;
use crate::head::Response;
use crate::transfer::Progress;

/// Largest response, in bytes.
const MAX_BYTES: u64 = 8 << 20;

/// Largest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 4 << 10;

/// A connection to the state service of another entry VM.
#[derive(Debug)]
pub struct Connection {
    addr: SocketAddr,
    stream: TcpStream,
    buffer: BytesMut,
    /// Longest time to wait for the next bytes. A large response may take longer as a whole.
    limit: Duration,
}

impl Connection {
    /// Connects to the state service at `addr`; each step of a request may take up to `limit`.
    ///
    /// # Errors
    ///
    /// Fails with a description of the problem.
    pub async fn open(addr: SocketAddr, limit: Duration) -> Result<Self, String> {
        let stream = within(limit, TcpStream::connect(addr)).await?;
        stream
            .set_nodelay(true)
            .map_err(|error| error.to_string())?;
        Ok(Self {
            addr,
            stream,
            buffer: BytesMut::new(),
            limit,
        })
    }

    /// Returns the address that it leads to.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Requests `target` with the header lines `fields`; returns head and body of a response with status 200.
    ///
    /// # Errors
    ///
    /// Fails with a description of the problem. The connection cannot be used any more then.
    pub async fn get(
        &mut self,
        target: &str,
        fields: &str,
        progress: &Progress,
    ) -> Result<(Response, Bytes), String> {
        let addr = self.addr;
        let head = format!("GET {target} HTTP/1.1\r\nHost: {addr}\r\n{fields}\r\n");
        within(self.limit, self.stream.write_all(head.as_bytes())).await?;
        let head = loop {
            self.read().await?;
            let head = Response::take(&mut self.buffer, MAX_HEAD_BYTES);
            let head = head.map_err(|_| "malformed or oversized head".to_owned())?;
            if let Some(head) = head {
                break head;
            }
        };
        let mut body = collector(&head)?;
        progress.note_expected(body.expected_len());
        loop {
            body.take(&mut self.buffer)
                .map_err(|_| "malformed or oversized body".to_owned())?;
            progress.note_received(body.len() as u64);
            if body.is_complete() {
                return Ok((head, body.into_body()));
            }
            self.read().await?;
        }
    }

    async fn read(&mut self) -> Result<(), String> {
        match within(self.limit, self.stream.read_buf(&mut self.buffer)).await? {
            0 => Err("connection closed before the response was complete".to_owned()),
            _ => Ok(()),
        }
    }
}

async fn within<T>(
    limit: Duration,
    step: impl Future<Output = std::io::Result<T>>,
) -> Result<T, String> {
    let done = timeout(limit, step).await;
    let done = done.map_err(|_| "no response in time".to_owned())?;
    done.map_err(|error| error.to_string())
}

fn collector(head: &Response) -> Result<Collector, String> {
    if head.status != 200 {
        return Err(format!("status {}", head.status));
    }
    let framing = head
        .framing(false)
        .map_err(|_| "ambiguous framing".to_owned())?;
    let collector = Collector::new(framing, MAX_BYTES);
    collector.map_err(|_| "body too large".to_owned())
}

#[cfg(test)]
mod tests;
