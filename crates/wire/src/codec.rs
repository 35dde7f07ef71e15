//! Encrypted, length-prefixed frames of serialized messages.
//!
//! A frame is a `u32` in network byte order with the number of ciphertext bytes, followed by one
//! or more Noise messages of at most [`CHUNK_BYTES`] plaintext bytes each.

use std::fmt;
use std::io;
use std::marker::PhantomData;

use bytes::{Buf, BufMut, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snow::TransportState;
use tokio_util::codec::{Decoder, Encoder};

use crate::tally::ChannelTally;

/// Maximum plaintext size of one Noise message, in bytes.
const CHUNK_BYTES: usize = 65_535 - TAG_BYTES;

/// Size of the authentication tag of one Noise message, in bytes.
const TAG_BYTES: usize = 16;

/// Size of the length prefix, in bytes.
const PREFIX_BYTES: usize = 4;

/// Maximum ciphertext size of one frame, in bytes.
const MAX_FRAME_BYTES: usize = 8 << 20;

/// Codec of a channel that receives `In` and sends `Out`.
pub struct Sealed<In, Out> {
    noise: TransportState,
    tally: ChannelTally,
    messages: PhantomData<fn(Out) -> In>,
}

impl<In, Out> fmt::Debug for Sealed<In, Out> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Sealed")
    }
}

impl<In, Out> Sealed<In, Out> {
    /// Creates a codec from a completed handshake. Counts its bytes in `tally`.
    #[must_use]
    pub fn new(noise: TransportState, tally: ChannelTally) -> Self {
        Self {
            noise,
            tally,
            messages: PhantomData,
        }
    }

    fn decrypt(&mut self, ciphertext: &[u8]) -> io::Result<Vec<u8>> {
        let mut plaintext = Vec::with_capacity(ciphertext.len());
        let mut chunk = vec![0; CHUNK_BYTES + TAG_BYTES];
        for message in ciphertext.chunks(CHUNK_BYTES + TAG_BYTES) {
            let length = self
                .noise
                .read_message(message, &mut chunk)
                .map_err(invalid_data)?;
            plaintext.extend_from_slice(&chunk[..length]);
        }
        Ok(plaintext)
    }

    fn encrypt(&mut self, plaintext: &[u8], frame: &mut BytesMut) -> io::Result<()> {
        let mut chunk = vec![0; CHUNK_BYTES + TAG_BYTES];
        for part in plaintext.chunks(CHUNK_BYTES) {
            let length = self
                .noise
                .write_message(part, &mut chunk)
                .map_err(invalid_data)?;
            frame.put_slice(&chunk[..length]);
        }
        Ok(())
    }
}

impl<In: DeserializeOwned, Out> Decoder for Sealed<In, Out> {
    type Item = In;
    type Error = io::Error;

    fn decode(&mut self, source: &mut BytesMut) -> io::Result<Option<In>> {
        let Some(prefix) = source.first_chunk::<PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(invalid_data(format!(
                "frame of {length} bytes exceeds {MAX_FRAME_BYTES} bytes"
            )));
        }
        if source.len() < PREFIX_BYTES + length {
            source.reserve(PREFIX_BYTES + length - source.len());
            return Ok(None);
        }
        self.tally.received(PREFIX_BYTES + length);
        source.advance(PREFIX_BYTES);
        let ciphertext = source.split_to(length);
        let plaintext = self.decrypt(&ciphertext)?;
        postcard::from_bytes(&plaintext)
            .map(Some)
            .map_err(invalid_data)
    }
}

impl<In, Out: Serialize> Encoder<Out> for Sealed<In, Out> {
    type Error = io::Error;

    fn encode(&mut self, message: Out, target: &mut BytesMut) -> io::Result<()> {
        let plaintext = postcard::to_stdvec(&message).map_err(invalid_data)?;
        let ciphertext_length = plaintext.len() + plaintext.len().div_ceil(CHUNK_BYTES) * TAG_BYTES;
        if ciphertext_length > MAX_FRAME_BYTES {
            return Err(invalid_data(format!(
                "frame of {ciphertext_length} bytes exceeds {MAX_FRAME_BYTES} bytes"
            )));
        }
        let prefix = u32::try_from(ciphertext_length).map_err(invalid_data)?;
        target.reserve(PREFIX_BYTES + ciphertext_length);
        target.put_u32(prefix);
        self.tally.sent(PREFIX_BYTES + ciphertext_length);
        self.encrypt(&plaintext, target)
    }
}

fn invalid_data(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}
