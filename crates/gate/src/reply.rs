//! Responses of backend servers.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Response, StatusCode, Version};
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use pick::Outcome;
use tokio::time::{Sleep, sleep};

use crate::backend::Assignment;
use crate::framing::Framing;
use crate::headers::{self, REQUEST_ID, SHED, SHED_NOT_RUN};
use crate::proxy::InFlight;
use crate::upstream::{Body, Connection};

/// Maximum time between bytes of a response body, in milliseconds.
const MAX_STALL_MS: u64 = 60_000;

/// Maximum body size of a shed response that is read to reuse the connection, in bytes.
const MAX_SHED_BODY_BYTES: u64 = 4 << 10;

/// A response with the connection on which it arrives.
#[derive(Debug)]
pub struct Reply {
    response: Response<Incoming>,
    connection: Connection,
    assignment: Assignment,
}

impl Reply {
    /// Creates a reply whose head arrived on `connection`.
    #[must_use]
    pub fn new(
        response: Response<Incoming>,
        connection: Connection,
        assignment: Assignment,
    ) -> Self {
        Self {
            response,
            connection,
            assignment,
        }
    }

    /// Returns the backend server's address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.assignment.backend().addr()
    }

    /// Returns whether the backend server states that it did not run the request.
    #[must_use]
    pub fn is_shed(&self) -> bool {
        let shed = self.response.headers().get(SHED);
        shed.is_some_and(|value| value == SHED_NOT_RUN)
    }

    /// Returns whether the end of the response is definite: it has one length or is chunked. A
    /// response that ends by closing the connection may be truncated.
    #[must_use]
    pub fn is_delimited(&self) -> bool {
        let headers = self.response.headers();
        let announced =
            headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
        let counted = announced || self.response.body().is_end_stream();
        let clear = self.connection.framing() == Framing::Clear;
        let switched = self.response.status() == StatusCode::SWITCHING_PROTOCOLS;
        counted && clear && !switched
    }

    /// Records that the backend server shed the request.
    pub fn note_shed(&self) {
        self.assignment.ticket().note(Outcome::Shed);
    }

    /// Reads the rest of a shed response in the background and keeps its connection for reuse.
    pub fn discard(self) {
        let Self {
            response,
            connection,
            assignment,
        } = self;
        let length = response.body().size_hint().upper();
        if length.is_none_or(|length| length > MAX_SHED_BODY_BYTES) {
            return;
        }
        tokio::spawn(async move {
            let rest = response.into_body().collect();
            if rest.await.is_ok() {
                assignment.backend().keep(connection);
            }
        });
    }

    /// Converts the reply into the caller's response. The connection is reused only if the response
    /// was read to its end and the complete request had been sent.
    #[must_use]
    pub fn into_response(
        self,
        request: &str,
        request_complete: bool,
        guard: InFlight,
    ) -> Response<Body> {
        let (mut parts, incoming) = self.response.into_parts();
        headers::strip(&mut parts.headers);
        headers::set(&mut parts.headers, REQUEST_ID, request);
        parts.version = Version::HTTP_11;
        let empty = incoming.is_end_stream();
        let mut body = ResponseBody {
            incoming,
            connection: Some(self.connection),
            request_complete,
            assignment: self.assignment,
            stall: None,
            _guard: guard,
        };
        if empty {
            body.keep();
        }
        Response::from_parts(parts, body.boxed_unsync())
    }
}

/// The body of a response being sent to the caller. Dropping it, for example when the caller
/// disconnects, closes the connection to the backend server.
#[derive(Debug)]
struct ResponseBody {
    incoming: Incoming,
    connection: Option<Connection>,
    /// Whether the complete request had been sent before its response arrived.
    request_complete: bool,
    assignment: Assignment,
    stall: Option<Pin<Box<Sleep>>>,
    _guard: InFlight,
}

impl ResponseBody {
    fn keep(&mut self) {
        let connection = self.connection.take();
        if let Some(connection) = connection.filter(|_| self.request_complete) {
            self.assignment.backend().keep(connection);
        }
    }
}

impl http_body::Body for ResponseBody {
    type Data = Bytes;
    type Error = Box<dyn std::error::Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(context);
        if polled.is_pending() {
            let start = || Box::pin(sleep(Duration::from_millis(MAX_STALL_MS)));
            let stall = self.stall.get_or_insert_with(start);
            ready!(stall.as_mut().poll(context));
            return Poll::Ready(Some(Err("the response stalled".into())));
        }
        self.stall = None;
        match ready!(polled) {
            Some(Ok(frame)) if frame.is_data() => {
                if self.incoming.is_end_stream() {
                    self.keep();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => Poll::Ready(Some(Err(error.into()))),
            Some(Ok(_)) | None => {
                self.keep();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
