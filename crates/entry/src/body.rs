//! Incremental parser of request and response bodies.

use bytes::{Buf, Bytes, BytesMut};
use httparse::{InvalidChunkSize, Status};

use crate::head::Framing;

/// Longest chunk-size line or trailer line, in bytes.
const MAX_LINE_BYTES: usize = 1_024;

/// Largest trailer, in bytes.
const MAX_TRAILER_BYTES: usize = 32 << 10;

/// Size of the segments of a response, in bytes. The memory of a segment is free once it is written to
/// the caller.
pub const SEGMENT_BYTES: usize = 64 << 10;

/// Collects a body from the bytes of a connection.
#[derive(Debug)]
pub struct Collector {
    position: Position,
    max_bytes: u64,
    /// Complete segments.
    segments: Vec<Bytes>,
    /// Size at which a segment is complete.
    segment_bytes: usize,
    body: BytesMut,
    /// Number of bytes collected.
    length: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    /// The given number of bytes remains.
    Length(u64),
    /// A chunk-size line comes next.
    ChunkSize,
    /// The given number of bytes of a chunk remains.
    Chunk(u64),
    /// The line end after a chunk comes next.
    ChunkEnd,
    /// A trailer line comes next, after the given number of bytes of others.
    Trailer(usize),
    /// All bytes until the connection ends belong to the body.
    UntilClose,
    /// The body is complete.
    Done,
}

/// Why a body is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// Its framing is malformed.
    Malformed,
    /// It is larger than allowed.
    TooLarge,
}

impl Collector {
    /// Creates a collector for a body of at most `max_bytes` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the declared length is larger.
    pub fn new(framing: Framing, max_bytes: u64) -> Result<Self, BodyError> {
        let position = match framing {
            Framing::Length(0) => Position::Done,
            Framing::Length(length) if length > max_bytes => return Err(BodyError::TooLarge),
            Framing::Length(length) => Position::Length(length),
            Framing::Chunked => Position::ChunkSize,
            Framing::UntilClose => Position::UntilClose,
        };
        Ok(Self {
            position,
            max_bytes,
            segments: Vec::new(),
            segment_bytes: usize::MAX,
            body: BytesMut::new(),
            length: 0,
        })
    }

    /// Collects the body in segments, see [`Collector::into_segments`].
    #[must_use]
    pub fn segmented(mut self) -> Self {
        self.segment_bytes = SEGMENT_BYTES;
        self
    }

    /// Returns whether the body is complete.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.position == Position::Done
    }

    /// Returns whether the body is delimited by the end of the connection.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.position == Position::UntilClose
    }

    /// Returns the number of bytes collected.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns the number of bytes that the body will have at least, as far as its framing tells.
    #[must_use]
    pub fn expected_len(&self) -> u64 {
        match self.position {
            Position::Length(rest) | Position::Chunk(rest) => self.length as u64 + rest,
            _ => self.length as u64,
        }
    }

    /// Returns the collected bytes of a body without segments.
    #[must_use]
    pub fn into_body(self) -> Bytes {
        self.body.freeze()
    }

    /// Returns the collected bytes as segments with memory of their own.
    #[must_use]
    pub fn into_segments(mut self) -> Vec<Bytes> {
        if !self.body.is_empty() {
            self.segments.push(self.body.freeze());
        }
        self.segments
    }

    /// Takes the body's bytes from the front of `buffer`.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed or too large.
    pub fn take(&mut self, buffer: &mut BytesMut) -> Result<(), BodyError> {
        while !buffer.is_empty() && self.position != Position::Done {
            let before = (self.position, buffer.len());
            self.step(buffer)?;
            if self.length as u64 > self.max_bytes {
                return Err(BodyError::TooLarge);
            }
            if before == (self.position, buffer.len()) {
                return Ok(());
            }
        }
        Ok(())
    }

    fn step(&mut self, buffer: &mut BytesMut) -> Result<(), BodyError> {
        match self.position {
            Position::Done => {}
            Position::UntilClose => {
                let length = buffer.len();
                self.append(buffer, length);
            }
            Position::Length(n) => self.position = self.copy(buffer, n, Position::Length),
            Position::Chunk(n) => self.position = self.copy(buffer, n, Position::Chunk),
            Position::ChunkSize => return self.take_chunk_size(buffer),
            Position::ChunkEnd if buffer.len() < 2 => {}
            Position::ChunkEnd => {
                if !buffer.starts_with(b"\r\n") {
                    return Err(BodyError::Malformed);
                }
                buffer.advance(2);
                self.position = Position::ChunkSize;
            }
            Position::Trailer(skipped) => return self.skip_trailer(buffer, skipped),
        }
        Ok(())
    }

    fn copy(
        &mut self,
        buffer: &mut BytesMut,
        remaining: u64,
        to_position: fn(u64) -> Position,
    ) -> Position {
        let length = usize::try_from(remaining)
            .unwrap_or(usize::MAX)
            .min(buffer.len());
        self.append(buffer, length);
        let remaining = remaining - length as u64;
        match (remaining, to_position(0)) {
            (0, Position::Chunk(_)) => Position::ChunkEnd,
            (0, _) => Position::Done,
            _ => to_position(remaining),
        }
    }

    /// Moves `length` bytes from the front of `buffer` to the body.
    fn append(&mut self, buffer: &mut BytesMut, length: usize) {
        let mut rest = length;
        while rest > 0 {
            let part = rest.min(self.segment_bytes - self.body.len());
            self.body.extend_from_slice(&buffer[..part]);
            buffer.advance(part);
            rest -= part;
            if self.body.len() == self.segment_bytes {
                let next = BytesMut::with_capacity(self.segment_bytes);
                let complete = std::mem::replace(&mut self.body, next);
                self.segments.push(complete.freeze());
            }
        }
        self.length += length;
    }

    fn take_chunk_size(&mut self, buffer: &mut BytesMut) -> Result<(), BodyError> {
        match httparse::parse_chunk_size(buffer) {
            Ok(Status::Complete((used, size))) => {
                buffer.advance(used);
                self.position = match size {
                    0 => Position::Trailer(0),
                    size if size > self.max_bytes => return Err(BodyError::TooLarge),
                    size => Position::Chunk(size),
                };
                Ok(())
            }
            Ok(Status::Partial) if buffer.len() <= MAX_LINE_BYTES => Ok(()),
            Ok(Status::Partial) | Err(InvalidChunkSize) => Err(BodyError::Malformed),
        }
    }

    /// Skips a trailer line after `skipped` bytes of others; an empty line ends the body.
    fn skip_trailer(&mut self, buffer: &mut BytesMut, skipped: usize) -> Result<(), BodyError> {
        let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
            if buffer.len() > MAX_LINE_BYTES {
                return Err(BodyError::Malformed);
            }
            return Ok(());
        };
        let skipped = skipped + end + 2;
        if skipped > MAX_TRAILER_BYTES {
            return Err(BodyError::TooLarge);
        }
        buffer.advance(end + 2);
        self.position = if end == 0 {
            Position::Done
        } else {
            Position::Trailer(skipped)
        };
        Ok(())
    }
}
