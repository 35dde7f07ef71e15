//! Request bodies.
//!
//! A small body is buffered completely before a backend server is selected, so it can be sent again
//! for a retry, and a caller that stops sending causes no work on a backend server. A larger body
//! is streamed.

#[cfg(test)]
mod tests;

use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep, sleep};

use crate::config::Limits;
use crate::refusal::Refusal;
use crate::upstream::Body;

/// Maximum size of a body that is buffered before it is sent on, in bytes.
pub const MAX_BUFFERED_BODY_BYTES: u64 = 64 << 10;

/// Maximum total size of buffered bodies, in bytes.
const MAX_BUFFERED_BYTES: u64 = 64 << 20;

/// Counts the bytes of buffered bodies. Clones share the count.
#[derive(Debug, Clone, Default)]
pub struct BufferBudget(Arc<AtomicU64>);

/// Bytes counted in a [`BufferBudget`], released on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: BufferBudget,
    bytes: u64,
}

impl BufferBudget {
    fn reserve(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl Reservation {
    fn grow(&mut self, bytes: u64) -> Result<(), Refusal> {
        self.bytes += bytes;
        let before = self.budget.0.fetch_add(bytes, Ordering::Relaxed);
        if before + bytes > MAX_BUFFERED_BYTES {
            return Err(Refusal::NoCapacity);
        }
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A request's body.
#[derive(Debug)]
pub enum Upload {
    /// A complete body.
    Buffered(Bytes, Reservation),
    /// A body that is still arriving.
    Stream(Stream),
    /// A streamed body that was returned because nothing of it was sent.
    Unread(Body, CallerError),
    /// A streamed body that a backend server may have started to read.
    Consumed,
}

/// The refusal recorded when a body ended early because of the caller.
#[derive(Debug, Clone, Default)]
pub struct CallerError(Arc<OnceLock<Refusal>>);

impl CallerError {
    /// Returns the refusal for the caller.
    #[must_use]
    pub fn refusal(&self) -> Option<Refusal> {
        self.0.get().copied()
    }

    fn set(&self, refusal: Refusal) -> Error {
        let _ = self.0.set(refusal);
        refusal.code().into()
    }
}

type Error = Box<dyn std::error::Error + Send + Sync>;

/// A body that is still arriving. It fails if it is larger than allowed or arrives too slowly.
#[derive(Debug)]
pub struct Stream {
    /// Received bytes that were not passed on yet.
    received: Bytes,
    rest: Incoming,
    remaining: u64,
    pace: Pace,
    error: CallerError,
}

/// Measures the time spent waiting for data from the caller.
#[derive(Debug)]
struct Pace {
    limit: Duration,
    min_bytes_per_s: u64,
    bytes: u64,
    waited: Duration,
    waiting: Option<(Instant, Pin<Box<Sleep>>)>,
}

impl Upload {
    /// Receives a body of at most `max_bytes` bytes. Small bodies are buffered completely.
    ///
    /// # Errors
    ///
    /// Fails if the body is too large, too slow or incomplete.
    pub async fn receive(
        body: Incoming,
        max_bytes: u64,
        limits: &Limits,
        budget: &BufferBudget,
    ) -> Result<Self, Refusal> {
        let mut reservation = budget.reserve();
        if body.is_end_stream() {
            return Ok(Self::Buffered(Bytes::new(), reservation));
        }
        let content_length = body.size_hint().exact();
        if content_length.is_some_and(|length| length > max_bytes) {
            return Err(Refusal::BodyTooLarge);
        }
        let mut stream = Stream::new(body, max_bytes, limits);
        if content_length.is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES) {
            return Ok(Self::Stream(stream));
        }
        Ok(if stream.buffer(&mut reservation).await? {
            Self::Buffered(stream.received, reservation)
        } else {
            Self::Stream(stream)
        })
    }

    /// Returns whether the body can still be sent.
    #[must_use]
    pub fn can_be_sent(&self) -> bool {
        !matches!(self, Self::Consumed)
    }

    /// Returns whether the complete body is buffered.
    #[must_use]
    pub fn is_buffered(&self) -> bool {
        matches!(self, Self::Buffered(..))
    }

    /// Returns a body to send. A streamed body can be sent only once.
    #[must_use]
    pub fn body(&mut self) -> Body {
        match std::mem::replace(self, Self::Consumed) {
            Self::Buffered(bytes, reservation) => {
                *self = Self::Buffered(bytes.clone(), reservation);
                let never = |never| match never {};
                Full::new(bytes).map_err(never).boxed_unsync()
            }
            Self::Stream(stream) => stream.boxed_unsync(),
            Self::Unread(body, _) => body,
            Self::Consumed => Full::default()
                .map_err(|never| match never {})
                .boxed_unsync(),
        }
    }

    /// Restores a body of which nothing was sent.
    pub fn put_back(&mut self, body: Body, caller_error: CallerError) {
        if !self.is_buffered() {
            *self = Self::Unread(body, caller_error);
        }
    }

    /// Returns the handle in which the refusal of a streamed body will be recorded.
    #[must_use]
    pub fn caller_error(&self) -> CallerError {
        match self {
            Self::Stream(stream) => stream.error.clone(),
            Self::Unread(_, caller_error) => caller_error.clone(),
            Self::Buffered(..) | Self::Consumed => CallerError::default(),
        }
    }
}

impl Stream {
    fn new(rest: Incoming, max_bytes: u64, limits: &Limits) -> Self {
        Self {
            received: Bytes::new(),
            rest,
            remaining: max_bytes,
            pace: Pace::new(limits),
            error: CallerError::default(),
        }
    }

    /// Buffers up to [`MAX_BUFFERED_BODY_BYTES`] and returns whether the body is complete.
    async fn buffer(&mut self, reservation: &mut Reservation) -> Result<bool, Refusal> {
        let mut received = BytesMut::new();
        let mut complete = false;
        while !complete && reservation.bytes <= MAX_BUFFERED_BODY_BYTES {
            match self.frame().await {
                None => complete = true,
                Some(Err(_)) => return Err(self.error.refusal().unwrap_or(Refusal::BadRequest)),
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    reservation.grow(data.len() as u64)?;
                    received.extend_from_slice(&data);
                }
            }
        }
        self.received = received.freeze();
        Ok(complete)
    }

    fn accept(&mut self, data: Bytes) -> Result<Frame<Bytes>, Error> {
        let length = data.len() as u64;
        if length > self.remaining {
            return Err(self.error.set(Refusal::BodyTooLarge));
        }
        self.remaining -= length;
        self.pace.bytes += length;
        Ok(Frame::data(data))
    }
}

impl http_body::Body for Stream {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if !self.received.is_empty() {
            let received = std::mem::take(&mut self.received);
            return Poll::Ready(Some(Ok(Frame::data(received))));
        }
        let polled = Pin::new(&mut self.rest).poll_frame(context);
        if polled.is_pending() {
            ready!(self.pace.poll_timeout(context));
            return Poll::Ready(Some(Err(self.error.set(Refusal::RequestTimeout))));
        }
        if self.pace.is_too_slow() {
            return Poll::Ready(Some(Err(self.error.set(Refusal::RequestTimeout))));
        }
        match ready!(polled) {
            None => Poll::Ready(None),
            Some(Err(_)) => Poll::Ready(Some(Err(self.error.set(Refusal::BadRequest)))),
            Some(Ok(frame)) => Poll::Ready(match frame.into_data() {
                Ok(data) => Some(self.accept(data)),
                // Trailers are dropped, since they are headers that were not checked.
                Err(_) => None,
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.received.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        if self.received.is_empty() {
            self.rest.size_hint()
        } else {
            SizeHint::default()
        }
    }
}

impl Pace {
    fn new(limits: &Limits) -> Self {
        Self {
            limit: Duration::from_millis(limits.body_ms),
            min_bytes_per_s: limits.body_bytes_per_s,
            bytes: 0,
            waited: Duration::ZERO,
            waiting: None,
        }
    }

    /// Completes when the caller has sent nothing for the time limit.
    fn poll_timeout(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let limit = self.limit;
        let start = || (Instant::now(), Box::pin(sleep(limit)));
        let (_, timer) = self.waiting.get_or_insert_with(start);
        timer.as_mut().poll(context)
    }

    /// Records the end of a wait and returns whether the body arrives too slowly.
    fn is_too_slow(&mut self) -> bool {
        if let Some((since, _)) = self.waiting.take() {
            self.waited += since.elapsed();
        }
        let waited_ms = self.waited.as_millis();
        let min_bytes = u128::from(self.min_bytes_per_s) * waited_ms / 1_000;
        self.waited >= self.limit && u128::from(self.bytes) < min_bytes
    }
}
