//! Bodies that are received or sent in bounded memory.

use std::io::{self, Read};

use super::load::Slot;
use super::record::{BODY_KEPT_BYTES, contains};

/// Size of the buffer that bodies are read through.
const BUFFER_BYTES: usize = 32 * 1024;

/// A body that was read to its end.
#[derive(Debug)]
pub struct Received {
    /// Length.
    pub bytes: u64,
    /// BLAKE3 hash in hexadecimal.
    pub hash: String,
    /// The first part, kept for searches.
    pub kept: Vec<u8>,
    /// Whether the searched marker occurred.
    pub marked: bool,
    /// Whether the body ended as announced.
    pub whole: bool,
}

/// Reads a body to its end. `announced` is its length if the caller announced one.
pub fn receive(mut body: impl Read, announced: Option<u64>, marker: Option<&str>) -> Received {
    let marker = marker.unwrap_or_default().as_bytes();
    let mut hasher = blake3::Hasher::new();
    let mut received = Received {
        bytes: 0,
        hash: String::new(),
        kept: Vec::new(),
        marked: false,
        whole: true,
    };
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut window = Vec::new();
    loop {
        let read = match body.read(&mut buffer) {
            Ok(0) => break,
            Ok(read) => read,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            Err(_) => {
                received.whole = false;
                break;
            }
        };
        let chunk = &buffer[..read];
        hasher.update(chunk);
        received.bytes += u64::try_from(read).unwrap_or(u64::MAX);
        let room = BODY_KEPT_BYTES - received.kept.len();
        received.kept.extend_from_slice(&chunk[..read.min(room)]);
        if !marker.is_empty() {
            window.extend_from_slice(chunk);
            received.marked |= contains(&window, marker);
            // A marker may span two reads.
            let tail = window.len().saturating_sub(marker.len() - 1);
            window.drain(..tail);
        }
    }
    if announced.is_some_and(|announced| announced != received.bytes) {
        received.whole = false;
    }
    received.hash = hasher.finalize().to_hex().to_string();
    received
}

/// A body of equal bytes that holds its slot until it is sent.
#[derive(Debug)]
pub struct Filler {
    left: usize,
    _slot: Slot,
}

impl Filler {
    /// A body of `bytes`.
    pub fn new(bytes: usize, slot: Slot) -> Self {
        Self {
            left: bytes,
            _slot: slot,
        }
    }
}

impl Read for Filler {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = buffer.len().min(self.left);
        buffer[..count].fill(b'x');
        self.left -= count;
        Ok(count)
    }
}
