//! Detection of requests with ambiguous framing.
//!
//! If a request has both `Transfer-Encoding` and `Content-Length`, the HTTP library uses the former
//! and hides the latter. Other programs on the path may decide differently, which allows request
//! smuggling, so the gate refuses such requests. An [`Inspector`] parses the bytes of a connection
//! with the same parser as the library and classifies each request head. A head without a verdict
//! counts as ambiguous.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use httparse::{InvalidChunkSize, Status};

/// Maximum number of headers in a request.
pub const MAX_HEADERS: usize = 100;

/// Maximum size of a request head, in bytes.
pub const MAX_HEAD_BYTES: usize = 32 << 10;

/// Maximum length of a chunk size line, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Length of the line end after a chunk, in bytes.
const LINE_END_BYTES: u64 = 2;

/// Whether the framing of a message is unambiguous.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// There is only one way to read it.
    Clear,
    /// Programs may disagree on where the message ends.
    Ambiguous,
}

/// Verdicts on the requests of one connection, in order. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct Verdicts {
    pending: Arc<Mutex<VecDeque<Framing>>>,
}

impl Verdicts {
    /// Removes and returns the verdict on the next request.
    #[must_use]
    pub fn next(&self) -> Framing {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.pop_front().unwrap_or(Framing::Ambiguous)
    }

    fn push(&self, framing: Framing) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.push_back(framing);
    }
}

/// Parses the requests of one connection.
#[derive(Debug)]
pub struct Inspector {
    position: Position,
    verdicts: Verdicts,
}

/// Position of the next byte in the stream of requests.
#[derive(Debug)]
enum Position {
    /// Inside a head; holds the bytes received so far.
    Head(Vec<u8>),
    /// Inside a body; holds the number of remaining bytes.
    Body(u64),
    /// Inside a chunk size line; holds the bytes received so far.
    ChunkSize(Vec<u8>),
    /// Inside a chunk; holds the number of remaining bytes, including the line end.
    Chunk(u64),
    /// Inside the trailer after the last chunk; holds the bytes received so far.
    Trailer(Vec<u8>),
    /// After a request whose end is unknown.
    Unknown,
}

/// Body lengths given by a head.
#[derive(Debug, Default)]
struct Lengths {
    content_length: Option<u64>,
    chunked: bool,
    conflicting: bool,
}

/// Progress in reading a part that must be complete before it can be parsed.
enum Progress {
    /// The part is complete; holds the number of bytes consumed from the latest read and the next
    /// position.
    Complete(usize, Position),
    /// More bytes are needed.
    Partial,
    /// The part is malformed.
    Malformed,
}

impl Inspector {
    /// Creates an inspector that adds its verdicts to `verdicts`.
    #[must_use]
    pub fn new(verdicts: Verdicts) -> Self {
        Self {
            position: Position::start(),
            verdicts,
        }
    }

    /// Returns whether a part of a head was received and the rest was not.
    #[must_use]
    pub fn is_within_head(&self) -> bool {
        matches!(&self.position, Position::Head(head) if !head.is_empty())
    }

    /// Processes bytes read from the connection.
    pub fn inspect(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let consumed = self.advance(bytes);
            bytes = &bytes[consumed..];
        }
    }

    /// Processes `bytes` up to the end of the current part and returns how many were consumed.
    fn advance(&mut self, bytes: &[u8]) -> usize {
        let progress = match &mut self.position {
            Position::Unknown => return bytes.len(),
            Position::Body(remaining) => skip(*remaining, bytes, Position::Body, Position::start()),
            Position::Chunk(remaining) => {
                skip(*remaining, bytes, Position::Chunk, Position::chunk_size())
            }
            Position::Head(head) => read_head(head, bytes, &self.verdicts),
            Position::ChunkSize(line) => read_chunk_size(line, bytes),
            Position::Trailer(trailer) => read_trailer(trailer, bytes),
        };
        match progress {
            Progress::Complete(consumed, next) => {
                self.position = next;
                consumed
            }
            Progress::Partial => bytes.len(),
            Progress::Malformed => {
                self.position = Position::Unknown;
                bytes.len()
            }
        }
    }
}

impl Position {
    fn start() -> Self {
        Self::Head(Vec::new())
    }

    fn chunk_size() -> Self {
        Self::ChunkSize(Vec::new())
    }

    /// Returns the position after a head with `lengths`.
    fn after(lengths: &Lengths) -> Self {
        match lengths.content_length {
            _ if lengths.are_ambiguous() => Self::Unknown,
            _ if lengths.chunked => Self::chunk_size(),
            None | Some(0) => Self::start(),
            Some(length) => Self::Body(length),
        }
    }
}

impl Lengths {
    fn are_ambiguous(&self) -> bool {
        let both = self.chunked && self.content_length.is_some();
        both || self.conflicting
    }

    fn framing(&self) -> Framing {
        if self.are_ambiguous() {
            Framing::Ambiguous
        } else {
            Framing::Clear
        }
    }

    fn note_content_length(&mut self, value: &[u8]) {
        let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let text = std::str::from_utf8(value).ok().filter(|_| digits);
        let length = text.and_then(|text| text.parse().ok());
        self.conflicting |= self.content_length.is_some() || length.is_none();
        self.content_length = length;
    }

    fn note_transfer_encoding(&mut self, value: &[u8]) {
        self.conflicting |= self.chunked || !value.eq_ignore_ascii_case(b"chunked");
        self.chunked = true;
    }
}

fn skip(
    remaining: u64,
    bytes: &[u8],
    within: impl Fn(u64) -> Position,
    after: Position,
) -> Progress {
    let consumed =
        usize::try_from(remaining).map_or(bytes.len(), |remaining| remaining.min(bytes.len()));
    match remaining - consumed as u64 {
        0 => Progress::Complete(consumed, after),
        remaining => Progress::Complete(consumed, within(remaining)),
    }
}

fn read_head(head: &mut Vec<u8>, bytes: &[u8], verdicts: &Verdicts) -> Progress {
    let buffered = head.len();
    if buffered == 0 && bytes.starts_with(b"\r\n") {
        return Progress::Complete(2, Position::start());
    }
    head.extend_from_slice(bytes);
    if !contains_blank_line(&head[buffered.saturating_sub(3)..]) {
        return check_limit(head.len(), MAX_HEAD_BYTES);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(head) {
        Ok(Status::Complete(length)) => length,
        Ok(Status::Partial) => return check_limit(head.len(), MAX_HEAD_BYTES),
        Err(_) => return Progress::Malformed,
    };
    let lengths = lengths(request.headers);
    verdicts.push(lengths.framing());
    Progress::Complete(length - buffered, Position::after(&lengths))
}

/// Classifies the framing given by `headers`.
pub fn classify(headers: &[httparse::Header<'_>]) -> Framing {
    lengths(headers).framing()
}

fn lengths(headers: &[httparse::Header<'_>]) -> Lengths {
    let mut lengths = Lengths::default();
    for header in headers {
        let value = header.value.trim_ascii();
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            lengths.note_transfer_encoding(value);
        } else if header.name.eq_ignore_ascii_case("content-length") {
            lengths.note_content_length(value);
        }
    }
    lengths
}

fn read_chunk_size(line: &mut Vec<u8>, bytes: &[u8]) -> Progress {
    let buffered = line.len();
    let limit = MAX_CHUNK_LINE_BYTES
        .saturating_sub(buffered)
        .min(bytes.len());
    line.extend_from_slice(&bytes[..limit]);
    match httparse::parse_chunk_size(line) {
        Ok(Status::Complete((length, 0))) => {
            Progress::Complete(length - buffered, Position::Trailer(Vec::new()))
        }
        Ok(Status::Complete((length, size))) => {
            let chunk = size.saturating_add(LINE_END_BYTES);
            Progress::Complete(length - buffered, Position::Chunk(chunk))
        }
        Ok(Status::Partial) => check_limit(line.len() + 1, MAX_CHUNK_LINE_BYTES),
        Err(InvalidChunkSize) => Progress::Malformed,
    }
}

fn read_trailer(trailer: &mut Vec<u8>, bytes: &[u8]) -> Progress {
    let buffered = trailer.len();
    trailer.extend_from_slice(bytes);
    if trailer.starts_with(b"\r\n") {
        return Progress::Complete(2 - buffered, Position::start());
    }
    let end = trailer.windows(4).position(|window| window == b"\r\n\r\n");
    match end {
        Some(end) => Progress::Complete(end + 4 - buffered, Position::start()),
        None => check_limit(trailer.len(), MAX_HEAD_BYTES),
    }
}

fn contains_blank_line(bytes: &[u8]) -> bool {
    let ends = |window: &[u8]| window == b"\n\r\n";
    bytes.windows(3).any(ends) || bytes.windows(2).any(|window| window == b"\n\n")
}

fn check_limit(length: usize, limit: usize) -> Progress {
    if length > limit {
        Progress::Malformed
    } else {
        Progress::Partial
    }
}
