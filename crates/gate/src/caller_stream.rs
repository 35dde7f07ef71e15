//! The stream of a caller's connection: framing inspection and time limits.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

use crate::framing::{Inspector, Verdicts};

/// A caller's stream that inspects request heads while they are read. It fails if a head takes too
/// long to arrive or the caller reads nothing of a response for too long.
#[derive(Debug)]
pub struct CallerStream<S> {
    stream: S,
    inspector: Inspector,
    head: Timeout,
    write: Timeout,
}

/// A timeout that is armed while an operation is pending.
#[derive(Debug)]
struct Timeout {
    duration: Duration,
    timer: Option<Pin<Box<Sleep>>>,
}

impl Timeout {
    fn new(ms: u64) -> Self {
        Self {
            duration: Duration::from_millis(ms),
            timer: None,
        }
    }

    fn arm(&mut self) {
        self.timer
            .get_or_insert_with(|| Box::pin(sleep(self.duration)));
    }

    fn disarm(&mut self) {
        self.timer = None;
    }

    /// Fails when the timeout has expired; always pending while disarmed.
    fn poll_expired<T>(&mut self, context: &mut Context<'_>) -> Poll<io::Result<T>> {
        let Some(timer) = &mut self.timer else {
            return Poll::Pending;
        };
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S> CallerStream<S> {
    /// Wraps `stream` and reports verdicts on its requests to `verdicts`. A head may take `head_ms`
    /// milliseconds to arrive, and the caller may read nothing of a response for `write_ms`
    /// milliseconds.
    pub fn new(stream: S, verdicts: Verdicts, head_ms: u64, write_ms: u64) -> Self {
        Self {
            stream,
            inspector: Inspector::new(verdicts),
            head: Timeout::new(head_ms),
            write: Timeout::new(write_ms),
        }
    }

    fn apply_write_timeout<T>(
        &mut self,
        polled: Poll<io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            self.write.disarm();
            return polled;
        }
        self.write.arm();
        self.write.poll_expired(context)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CallerStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if polled.is_pending() {
            return self.head.poll_expired(context);
        }
        self.inspector.inspect(&buffer.filled()[before..]);
        if self.inspector.is_within_head() {
            self.head.arm();
        } else {
            self.head.disarm();
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CallerStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.apply_write_timeout(polled, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.apply_write_timeout(polled, context)
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
