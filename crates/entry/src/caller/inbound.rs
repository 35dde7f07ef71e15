//! Requests on a caller's connection, as their bytes arrive.

use std::time::Instant;

use bytes::{Buf, Bytes, BytesMut};
use fleet::config::Limits;
use tokio::io::AsyncReadExt;

use super::{MEMORY_RETRY, READ_BYTES};
use crate::body::{BodyError, Collector};
use crate::head::{Framing, HeadError, Request};
use crate::memory::{Pool, Reservation};
use crate::request_log;
use crate::response::Refusal;
use crate::state::State;

/// Maximum number of bytes buffered while requests are processed.
const MAX_READ_AHEAD: usize = 256 << 10;

/// A complete request.
#[derive(Debug)]
pub struct Incoming {
    /// Head.
    pub head: Request,
    /// Body.
    pub body: Bytes,
    /// When its head was complete.
    pub since: Instant,
    /// Memory reserved for its body.
    _reservation: Reservation,
}

/// Reads requests from a connection.
pub struct Inbound {
    limits: Limits,
    body_memory: Pool,
    buffer: BytesMut,
    /// A head whose body is incomplete.
    incomplete: Option<Incomplete>,
    /// A head whose body is rejected.
    rejected_head: Option<Request>,
    /// When the current request began, or the connection became idle.
    since: Instant,
    is_continue_sent: bool,
}

/// A request whose body is incomplete.
struct Incomplete {
    head: Request,
    collector: Collector,
    since: Instant,
    reservation: Reservation,
}

/// Result of parsing the buffer.
pub enum Next {
    Incomplete,
    Request(Incoming),
    Refused(Refusal),
}

impl Inbound {
    pub fn new(limits: Limits, body_memory: Pool) -> Self {
        Self {
            limits,
            body_memory,
            buffer: BytesMut::new(),
            incomplete: None,
            rejected_head: None,
            since: Instant::now(),
            is_continue_sent: false,
        }
    }

    /// Reads more bytes; returns 0 if the caller has disconnected.
    pub async fn read(&mut self, reader: &mut (impl AsyncReadExt + Unpin)) -> usize {
        self.buffer.reserve(READ_BYTES);
        let was_empty = self.buffer.is_empty() && self.incomplete.is_none();
        // An error counts as a disconnect.
        let read = reader.read_buf(&mut self.buffer).await.unwrap_or(0);
        if was_empty {
            self.since = Instant::now();
        }
        read
    }

    /// Restarts the idle timeout, unless a request is incomplete.
    pub fn note_response(&mut self) {
        if !self.has_incomplete() {
            self.since = Instant::now();
        }
    }

    pub fn can_read_ahead(&self) -> bool {
        self.buffer.len() < MAX_READ_AHEAD
    }

    /// Returns whether part of a request has arrived.
    pub fn has_incomplete(&self) -> bool {
        self.incomplete.is_some() || !self.buffer.is_empty()
    }

    /// Returns the time at which the connection times out, if no request is being processed.
    pub fn expires_at(&self, is_idle: bool) -> Instant {
        let span = match &self.incomplete {
            Some(_) => self.limits.idle_timeout,
            None if self.buffer.is_empty() || !is_idle => self.limits.idle_timeout,
            None => self.limits.head_timeout,
        };
        self.since + span
    }

    /// Returns whether the caller waits for `100 Continue` before it sends the body; true only once
    /// for each request.
    pub fn wants_continue(&mut self) -> bool {
        let Some(incomplete) = &self.incomplete else {
            return false;
        };
        let fields = &incomplete.head.fields;
        let waits = fields.has_token("expect", "100-continue") && incomplete.collector.len() == 0;
        waits && !std::mem::replace(&mut self.is_continue_sent, true)
    }

    /// Logs that the incomplete request is refused.
    pub fn log_refused(&self, state: &State, refusal: &Refusal) {
        let head = self.incomplete.as_ref().map(|incomplete| &incomplete.head);
        let head = head.or(self.rejected_head.as_ref());
        request_log::log_refused(state, head, self.since, refusal);
    }

    /// Takes the next complete request.
    pub fn next(&mut self) -> Next {
        match self.advance() {
            Ok(Some(incoming)) => Next::Request(incoming),
            Ok(None) => Next::Incomplete,
            Err(refusal) => Next::Refused(refusal),
        }
    }

    fn advance(&mut self) -> Result<Option<Incoming>, Refusal> {
        if self.incomplete.is_none() && !self.take_head()? {
            return Ok(None);
        }
        let Some(incomplete) = &mut self.incomplete else {
            return Ok(None);
        };
        incomplete.collector.take(&mut self.buffer)?;
        if !incomplete
            .reservation
            .grow_to(incomplete.collector.len() as u64)
        {
            return Err(Refusal::NoMemory(MEMORY_RETRY));
        }
        let complete = self
            .incomplete
            .take_if(|incomplete| incomplete.collector.is_complete());
        let Some(incomplete) = complete else {
            return Ok(None);
        };
        self.since = Instant::now();
        self.is_continue_sent = false;
        Ok(Some(Incoming {
            head: incomplete.head,
            body: incomplete.collector.into_body(),
            since: incomplete.since,
            _reservation: incomplete.reservation,
        }))
    }

    /// Takes the next head; returns whether one was complete.
    fn take_head(&mut self) -> Result<bool, Refusal> {
        while self.buffer.starts_with(b"\r\n") {
            self.buffer.advance(2);
        }
        if self.buffer.is_empty() {
            return Ok(false);
        }
        let Some(head) = Request::take(&mut self.buffer, self.limits.max_head_bytes)? else {
            return Ok(false);
        };
        match self.prepare(&head) {
            Ok((collector, reservation)) => {
                self.incomplete = Some(Incomplete {
                    head,
                    collector,
                    since: Instant::now(),
                    reservation,
                });
                Ok(true)
            }
            Err(refusal) => {
                self.rejected_head = Some(head);
                Err(refusal)
            }
        }
    }

    /// Prepares for the body that follows `head`.
    fn prepare(&self, head: &Request) -> Result<(Collector, Reservation), Refusal> {
        let framing = head.framing()?;
        if head.is_http10 && framing == Framing::Chunked {
            return Err(Refusal::Malformed);
        }
        let collector = Collector::new(framing, self.limits.max_body_bytes)?;
        let mut reservation = self.body_memory.reservation();
        if let Framing::Length(length) = framing
            && !reservation.grow_to(length)
        {
            return Err(Refusal::NoMemory(MEMORY_RETRY));
        }
        Ok((collector, reservation))
    }
}

impl From<HeadError> for Refusal {
    fn from(error: HeadError) -> Self {
        match error {
            HeadError::Syntax => Self::Malformed,
            HeadError::TooLarge => Self::HeadTooLarge,
        }
    }
}

impl From<BodyError> for Refusal {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::Malformed => Self::Malformed,
            BodyError::TooLarge => Self::BodyTooLarge,
        }
    }
}
