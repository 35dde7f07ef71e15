//! Bodies of requests and answers.

use bytes::{Buf, BytesMut};
use httparse::{InvalidChunkSize, Status};

use crate::head::Framing;

/// Longest line with the size of a chunk or of a trailer, in bytes.
const MAX_LINE_BYTES: usize = 1_024;

/// Collects a body from the bytes of a connection.
#[derive(Debug)]
pub struct Collector {
    position: Position,
    most: u64,
    body: BytesMut,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    /// This many bytes are to come.
    Length(u64),
    /// The line with a chunk's size is to come.
    Size,
    /// This many bytes of a chunk are to come.
    Chunk(u64),
    /// The line end after a chunk is to come.
    ChunkEnd,
    /// The trailer is to come.
    Trailer,
    /// All bytes until the connection ends belong to it.
    UntilClose,
    /// It is whole.
    Done,
}

/// Why a body cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unusable {
    /// Its framing is malformed.
    Malformed,
    /// It is larger than allowed.
    TooLarge,
}

impl Collector {
    /// Creates a collector for a body of at most `most` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the body is announced to be larger.
    pub fn new(framing: Framing, most: u64) -> Result<Self, Unusable> {
        let position = match framing {
            Framing::Length(0) => Position::Done,
            Framing::Length(length) if length > most => return Err(Unusable::TooLarge),
            Framing::Length(length) => Position::Length(length),
            Framing::Chunked => Position::Size,
            Framing::UntilClose => Position::UntilClose,
        };
        Ok(Self {
            position,
            most,
            body: BytesMut::new(),
        })
    }

    /// Returns whether the body is whole.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.position == Position::Done
    }

    /// Returns whether the end of the connection is the end of the body.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.position == Position::UntilClose
    }

    /// Returns the number of bytes collected.
    #[must_use]
    pub fn len(&self) -> usize {
        self.body.len()
    }

    /// Returns what was collected.
    #[must_use]
    pub fn into_body(self) -> bytes::Bytes {
        self.body.freeze()
    }

    /// Takes the body's bytes from the front of `buffer`.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed or too large.
    pub fn take(&mut self, buffer: &mut BytesMut) -> Result<(), Unusable> {
        while !buffer.is_empty() && self.position != Position::Done {
            let before = (self.position, buffer.len());
            self.step(buffer)?;
            if self.body.len() as u64 > self.most {
                return Err(Unusable::TooLarge);
            }
            if before == (self.position, buffer.len()) {
                return Ok(());
            }
        }
        Ok(())
    }

    fn step(&mut self, buffer: &mut BytesMut) -> Result<(), Unusable> {
        match self.position {
            Position::Done => {}
            Position::UntilClose => self.body.unsplit(buffer.split()),
            Position::Length(left) => self.position = self.copy(buffer, left, Position::Length),
            Position::Chunk(left) => self.position = self.copy(buffer, left, Position::Chunk),
            Position::Size => return self.size(buffer),
            Position::ChunkEnd if buffer.len() < 2 => {}
            Position::ChunkEnd => {
                if !buffer.starts_with(b"\r\n") {
                    return Err(Unusable::Malformed);
                }
                buffer.advance(2);
                self.position = Position::Size;
            }
            Position::Trailer => return self.trailer(buffer),
        }
        Ok(())
    }

    fn copy(&mut self, buffer: &mut BytesMut, left: u64, rest: fn(u64) -> Position) -> Position {
        let length = usize::try_from(left)
            .unwrap_or(usize::MAX)
            .min(buffer.len());
        self.body.extend_from_slice(&buffer[..length]);
        buffer.advance(length);
        let left = left - length as u64;
        match (left, rest(0)) {
            (0, Position::Chunk(_)) => Position::ChunkEnd,
            (0, _) => Position::Done,
            _ => rest(left),
        }
    }

    fn size(&mut self, buffer: &mut BytesMut) -> Result<(), Unusable> {
        match httparse::parse_chunk_size(buffer) {
            Ok(Status::Complete((used, size))) => {
                buffer.advance(used);
                self.position = match size {
                    0 => Position::Trailer,
                    size if size > self.most => return Err(Unusable::TooLarge),
                    size => Position::Chunk(size),
                };
                Ok(())
            }
            Ok(Status::Partial) if buffer.len() <= MAX_LINE_BYTES => Ok(()),
            Ok(Status::Partial) | Err(InvalidChunkSize) => Err(Unusable::Malformed),
        }
    }

    /// Skips a line of the trailer; an empty one ends the body.
    fn trailer(&mut self, buffer: &mut BytesMut) -> Result<(), Unusable> {
        let end = buffer.windows(2).position(|pair| pair == b"\r\n");
        match end {
            None if buffer.len() > MAX_LINE_BYTES => Err(Unusable::Malformed),
            None => Ok(()),
            Some(end) => {
                buffer.advance(end + 2);
                if end == 0 {
                    self.position = Position::Done;
                }
                Ok(())
            }
        }
    }
}
