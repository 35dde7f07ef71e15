//! Inspection of the heads of backend servers' responses.
//!
//! The HTTP library hides `Content-Length` if `Transfer-Encoding` is present too, so the gate
//! inspects each response head itself, as it does for requests.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use httparse::Status;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::framing::{Framing, MAX_HEADERS, classify};

/// Maximum total size of the interim responses before a response, in bytes.
const MAX_INTERIM_BYTES: usize = 64 << 10;

/// Framing of the latest response on a connection. Clones share the state.
#[derive(Debug, Clone, Default)]
pub struct Tracker {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
enum State {
    /// No response is expected.
    #[default]
    Idle,
    /// Inside a head.
    Head(Head),
    /// A complete head was received; holds its framing.
    Classified(Framing),
}

/// A head that is not complete.
#[derive(Debug, Default)]
struct Head {
    /// Bytes received so far.
    bytes: Vec<u8>,
    /// Size of the interim responses before it, in bytes.
    interim_bytes: usize,
}

impl Tracker {
    /// Starts inspecting the next response head.
    pub fn arm(&self) {
        *self.lock() = State::Head(Head::default());
    }

    /// Returns whether the framing of the latest response is unambiguous. A response without a
    /// parsed head is ambiguous.
    #[must_use]
    pub fn framing(&self) -> Framing {
        match *self.lock() {
            State::Classified(framing) => framing,
            State::Idle | State::Head(_) => Framing::Ambiguous,
        }
    }

    /// Inspects `bytes`.
    ///
    /// # Errors
    ///
    /// Fails if the interim responses before the head are too large.
    fn inspect(&self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.lock();
        if let State::Head(head) = &mut *state {
            head.bytes.extend_from_slice(bytes);
            if let Some(framing) = head.classify_final()? {
                *state = State::Classified(framing);
            }
        }
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Head {
    /// Classifies the framing of the first head that is not an interim response, and drops those. Returns
    /// `None` for incomplete heads and heads that the parser rejects.
    ///
    /// # Errors
    ///
    /// Fails if the interim responses are too large.
    fn classify_final(&mut self) -> io::Result<Option<Framing>> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut response = httparse::Response::new(&mut headers);
            let Ok(Status::Complete(length)) = response.parse(&self.bytes) else {
                return Ok(None);
            };
            if !matches!(response.code, Some(100 | 102..=199)) {
                return Ok(Some(classify(response.headers)));
            }
            self.bytes.drain(..length);
            self.interim_bytes += length;
            if self.interim_bytes > MAX_INTERIM_BYTES {
                let problem = "interim responses are too large";
                return Err(io::Error::new(io::ErrorKind::InvalidData, problem));
            }
        }
    }
}

/// A stream to a backend server that inspects responses while they are read.
#[derive(Debug)]
pub struct Inspected<S> {
    stream: S,
    tracker: Tracker,
}

impl<S> Inspected<S> {
    /// Wraps `stream` and passes the bytes read to `tracker`.
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
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        Poll::Ready(self.tracker.inspect(&buffer.filled()[before..]))
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
