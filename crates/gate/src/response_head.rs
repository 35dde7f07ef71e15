//! Inspection of the heads of backend servers' answers.
//!
//! The HTTP library hides `Content-Length` if there is a `Transfer-Encoding` too, so the gate
//! looks at the head of each answer itself, as it does with requests.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use httparse::Status;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::framing::{Framing, MAX_HEADERS, classify};

/// The latest answer on a connection. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct Tracker {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
enum State {
    /// No answer is awaited.
    #[default]
    Idle,
    /// Within a head, of which these bytes have arrived.
    Head(Vec<u8>),
    /// A whole head has arrived.
    Classified(Framing),
}

impl Tracker {
    /// Begins to watch for the head of an answer.
    pub fn arm(&self) {
        *self.lock() = State::Head(Vec::new());
    }

    /// Returns whether the end of the answer can be read in one way only.
    #[must_use]
    pub fn framing(&self) -> Framing {
        match *self.lock() {
            State::Classified(framing) => framing,
            State::Idle | State::Head(_) => Framing::Ambiguous,
        }
    }

    fn inspect(&self, bytes: &[u8]) {
        let mut state = self.lock();
        if let State::Head(head) = &mut *state {
            head.extend_from_slice(bytes);
            if let Some(framing) = classify_final(head) {
                *state = State::Classified(framing);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Judges the first head that is not an interim one. Heads that the library refuses get no
/// verdict.
fn classify_final(mut bytes: &[u8]) -> Option<Framing> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let Ok(Status::Complete(length)) = response.parse(bytes) else {
            return None;
        };
        if !matches!(response.code, Some(100 | 102..=199)) {
            return Some(classify(response.headers));
        }
        bytes = &bytes[length..];
    }
}

/// A stream to a backend server whose answers are inspected while they are read.
#[derive(Debug)]
pub struct Inspected<S> {
    stream: S,
    tracker: Tracker,
}

impl<S> Inspected<S> {
    /// Wraps `stream` and shows its answers to `watch`.
    pub fn new(stream: S, tracker: Tracker) -> Self {
        Self { stream, tracker }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Inspected<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if polled.is_ready() {
            self.tracker.inspect(&buffer.filled()[before..]);
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Inspected<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
