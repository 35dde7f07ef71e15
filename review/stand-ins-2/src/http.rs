//! Messages of HTTP/1.1 as the stand-ins send and read them.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A message: its first line, its headers and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Headers in their order.
    pub fields: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of the header `name`.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let field = fields.find(|(other, _)| other.eq_ignore_ascii_case(name))?;
        Some(&field.1)
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the value of `name` in the query of a request's target, decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        Some(decode_percent(value))
    }
}

fn decode_percent(text: &str) -> String {
    let mut decoded = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let digits = [bytes.next().unwrap_or(b'0'), bytes.next().unwrap_or(b'0')];
        let digits = String::from_utf8_lossy(&digits).into_owned();
        decoded.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads the next message of `stream`; `buffer` holds what was read beyond the message before. Returns `None` at
/// the end of the connection.
pub fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let head_end = loop {
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            break end;
        }
        if !fill(stream, buffer)? {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    buffer.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let mut message = Message {
        start: lines.next().unwrap_or_default().to_owned(),
        ..Message::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            let field = (name.trim().to_owned(), value.trim().to_owned());
            message.fields.push(field);
        }
    }
    let length = message
        .field("content-length")
        .and_then(|length| length.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buffer.len() < length {
        if !fill(stream, buffer)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    message.body = buffer.drain(..length).collect();
    Ok(Some(message))
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut chunk = [0; 16 << 10];
    let count = stream.read(&mut chunk)?;
    buffer.extend_from_slice(&chunk[..count]);
    Ok(count > 0)
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}

/// Writes a response with the given headers, each of which ends with a line end.
pub fn respond(stream: &mut TcpStream, status: &str, fields: &str, body: &[u8]) -> io::Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {length}\r\n\r\n");
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// Sends `request` on a new connection and returns the response, or what happened instead of it.
pub fn call(addr: SocketAddr, request: &[u8], limit: Duration) -> Result<Message, String> {
    let until = Instant::now() + limit;
    let stream = TcpStream::connect_timeout(&addr, limit.min(Duration::from_secs(1)));
    let mut stream = stream.map_err(|error| format!("no connection: {error}"))?;
    let text = |error: io::Error| format!("no answer: {error}");
    stream.set_nodelay(true).map_err(text)?;
    let left = until.saturating_duration_since(Instant::now());
    stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))
        .map_err(text)?;
    stream.write_all(request).map_err(text)?;
    match read(&mut stream, &mut Vec::new()).map_err(text)? {
        Some(response) => Ok(response),
        None => Err("closed without an answer".to_owned()),
    }
}
