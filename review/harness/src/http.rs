//! The parts of HTTP/1.1 that the stand-ins need.

use std::io::{self, Read};
use std::net::TcpStream;

/// Head of a request or response, with its first line.
#[derive(Debug, Clone, Default)]
pub struct Head(pub String);

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.0.lines().skip(1).find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    pub fn length(&self) -> usize {
        let length = self.header("Content-Length");
        length.and_then(|length| length.parse().ok()).unwrap_or(0)
    }

    /// Returns the word of the first line with the given number.
    pub fn word(&self, index: usize) -> &str {
        let first = self.0.lines().next().unwrap_or_default();
        first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a connection, with what was read beyond the latest message.
#[derive(Debug)]
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Returns the next head; fails if the connection ends before.
    pub fn head(&mut self) -> io::Result<Head> {
        loop {
            if let Some(end) = self
                .buffer
                .windows(4)
                .position(|bytes| bytes == b"\r\n\r\n")
            {
                let rest = self.buffer.split_off(end + 4);
                let head = std::mem::replace(&mut self.buffer, rest);
                return Ok(Head(String::from_utf8_lossy(&head).into_owned()));
            }
            self.fill()?;
        }
    }

    /// Returns the next `length` bytes.
    pub fn body(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        let rest = self.buffer.split_off(length);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 << 10];
        let read = self.stream.read(&mut bytes)?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(())
    }
}
