//! Detection of requests whose framing is ambiguous.
//!
//! The HTTP library resolves a request that carries both `Transfer-Encoding` and
//! `Content-Length` in favour of the former and hides the latter. Other programs on the way may
//! resolve it differently, so the gate refuses such requests. An [`Inspector`] follows the bytes
//! of a connection with the same parser that the library uses and judges each request head. A
//! head on which it has no verdict counts as ambiguous.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use httparse::{InvalidChunkSize, Status};

/// Most headers in a request.
pub const MAX_HEADERS: usize = 100;

/// Largest request head, in bytes.
pub const MAX_HEAD_BYTES: usize = 32 << 10;

/// Longest line with the size of a chunk, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Length of the line end after a chunk, in bytes.
const LINE_END_BYTES: u64 = 2;

/// Whether a request's framing can be read in one way only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// It can.
    Clear,
    /// Programs may disagree on where the request ends.
    Ambiguous,
}

/// Verdicts on the requests of one connection, in their order. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct Verdicts {
    pending: Arc<Mutex<VecDeque<Framing>>>,
}

impl Verdicts {
    /// Takes the verdict on the next request.
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

/// Follows the requests of one connection.
#[derive(Debug)]
pub struct Inspector {
    position: Position,
    verdicts: Verdicts,
}

/// Where in the stream of requests the next byte stands.
#[derive(Debug)]
enum Position {
    /// Within a head, of which these bytes have arrived.
    Head(Vec<u8>),
    /// Within a body of which this many bytes are to come.
    Body(u64),
    /// Within the line with a chunk's size, of which these bytes have arrived.
    ChunkSize(Vec<u8>),
    /// Within a chunk of which this many bytes are to come, its line end included.
    Chunk(u64),
    /// Within the trailer after the last chunk, of which these bytes have arrived.
    Trailer(Vec<u8>),
    /// Past a request whose end is not known.
    Unknown,
}

/// How a head says that its body is framed.
#[derive(Debug, Default)]
struct Lengths {
    content_length: Option<u64>,
    chunked: bool,
    conflicting: bool,
}

/// What was read of a part that has to be whole before it can be parsed.
enum Progress {
    /// It is whole; its bytes end here in the latest read.
    Complete(usize, Position),
    /// More bytes are needed.
    Partial,
    /// It is malformed.
    Malformed,
}

impl Inspector {
    /// Creates an inspector that reports to `verdicts`.
    #[must_use]
    pub fn new(verdicts: Verdicts) -> Self {
        Self {
            position: Position::start(),
            verdicts,
        }
    }

    /// Returns whether a part of a head has arrived and the rest has not.
    #[must_use]
    pub fn is_within_head(&self) -> bool {
        matches!(&self.position, Position::Head(head) if !head.is_empty())
    }

    /// Follows bytes that were read from the connection.
    pub fn inspect(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let consumed = self.advance(bytes);
            bytes = &bytes[consumed..];
        }
    }

    /// Follows `bytes` up to the end of a part and returns how many were used.
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

/// Judges the framing that `headers` announce.
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
