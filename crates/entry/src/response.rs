//! Responses to callers.

use std::collections::VecDeque;
use std::fmt::Write as _;
use std::time::Duration;

use bytes::{Bytes, BytesMut};

use crate::head::{self, Fields, has_token};
use crate::memory::Reservation;
use crate::names::Names;
use crate::relay::headers::{self as relay_headers, is_internal};
use crate::upstream;

/// Time after which a request that crashed servers may be retried: the time for which crashes are
/// reported.
const QUARANTINE_RETRY: Duration = Duration::from_secs(30);

/// A response to a caller.
#[derive(Debug)]
pub struct Reply {
    /// Head without the empty line that ends it.
    head: BytesMut,
    /// Body, in segments.
    body: Vec<Bytes>,
    /// Memory reserved for the body.
    memory: Option<Reservation>,
    /// Whether the connection closes after it.
    pub closes: bool,
}

/// A response that the entry VM sends instead of a backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Refusal {
    /// The request is malformed.
    Malformed,
    /// Its head is too large.
    HeadTooLarge,
    /// Its body is too large.
    BodyTooLarge,
    /// It took too long to arrive.
    RequestTooSlow,
    /// No configuration is known yet.
    Starting,
    /// The entry VM stops before the request could end.
    Leaving,
    /// No route matches.
    NoRoute,
    /// Its key is missing or unknown.
    NoKey,
    /// The workspace has used up its rate.
    OverRate(Duration),
    /// There is no memory for its body.
    NoMemory(Duration),
    /// No backend server has capacity.
    NoCapacity(Duration),
    /// Its workspace got more than its share of a service that is short.
    OverShare(Duration),
    /// A backend server would most likely finish it after its deadline.
    TooLate(Duration),
    /// The backend servers that could run it take no more requests by the limits that they named.
    ServerLimit(Duration),
    /// No backend server may run it now.
    NoServer(Duration),
    /// Requests like it crash backend servers.
    Quarantined,
    /// It may have run, and its response is lost.
    AnswerLost,
    /// No response arrived in time; the request may have run.
    TimedOut,
}

impl Refusal {
    /// One of each kind.
    pub const ALL: [Self; 18] = [
        Self::Malformed,
        Self::HeadTooLarge,
        Self::BodyTooLarge,
        Self::RequestTooSlow,
        Self::Starting,
        Self::Leaving,
        Self::NoRoute,
        Self::NoKey,
        Self::OverRate(Duration::ZERO),
        Self::NoMemory(Duration::ZERO),
        Self::NoCapacity(Duration::ZERO),
        Self::OverShare(Duration::ZERO),
        Self::TooLate(Duration::ZERO),
        Self::ServerLimit(Duration::ZERO),
        Self::NoServer(Duration::ZERO),
        Self::Quarantined,
        Self::AnswerLost,
        Self::TimedOut,
    ];

    /// Returns the status.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::NoKey => 401,
            Self::NoRoute => 404,
            Self::RequestTooSlow => 408,
            Self::BodyTooLarge => 413,
            Self::OverRate(_) => 429,
            Self::HeadTooLarge => 431,
            Self::AnswerLost => 502,
            Self::NoMemory(_)
            | Self::Starting
            | Self::Leaving
            | Self::NoCapacity(_)
            | Self::OverShare(_)
            | Self::TooLate(_)
            | Self::ServerLimit(_)
            | Self::NoServer(_)
            | Self::Quarantined => 503,
            Self::TimedOut => 504,
        }
    }

    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::HeadTooLarge => "head-too-large",
            Self::BodyTooLarge => "body-too-large",
            Self::RequestTooSlow => "request-too-slow",
            Self::Starting => "starting",
            Self::Leaving => "leaving",
            Self::NoRoute => "no-route",
            Self::NoKey => "no-key",
            Self::OverRate(_) => "over-rate",
            Self::NoMemory(_) => "no-memory",
            Self::NoCapacity(_) => "no-room",
            Self::OverShare(_) => "over-share",
            Self::TooLate(_) => "too-late",
            Self::ServerLimit(_) => "server-limit",
            Self::NoServer(_) => "no-server",
            Self::Quarantined => "quarantined",
            Self::AnswerLost => "answer-lost",
            Self::TimedOut => "timed-out",
        }
    }

    fn retry_after(self) -> Option<Duration> {
        match self {
            Self::OverRate(delay)
            | Self::NoMemory(delay)
            | Self::NoCapacity(delay)
            | Self::OverShare(delay)
            | Self::TooLate(delay)
            | Self::ServerLimit(delay)
            | Self::NoServer(delay) => Some(delay),
            Self::Starting => Some(Duration::from_millis(300)),
            Self::Leaving => Some(Duration::from_millis(50)),
            Self::Quarantined => Some(QUARANTINE_RETRY),
            _ => None,
        }
    }

    /// Returns whether the connection closes, since the rest of the request is not read.
    fn closes(self) -> bool {
        matches!(
            self,
            Self::Malformed
                | Self::HeadTooLarge
                | Self::BodyTooLarge
                | Self::NoMemory(_)
                | Self::RequestTooSlow
        )
    }
}

impl Reply {
    /// Creates a response with a body of the entry VM itself.
    #[must_use]
    pub fn with_status(status: u16, content_type: Option<&str>, body: Bytes) -> Self {
        let mut head = BytesMut::with_capacity(128);
        push_text(
            &mut head,
            format_args!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)),
        );
        if let Some(content_type) = content_type {
            push_text(&mut head, format_args!("Content-Type: {content_type}\r\n"));
        }
        push_text(
            &mut head,
            format_args!("Content-Length: {}\r\n", body.len()),
        );
        Self {
            head,
            body: vec![body],
            memory: None,
            closes: false,
        }
    }

    /// Creates the response to a refused request.
    #[must_use]
    pub fn refused(refusal: Refusal) -> Self {
        let mut reply = Self::with_status(refusal.status(), None, Bytes::new());
        if let Some(delay) = refusal.retry_after() {
            let after_s = delay.as_secs_f64();
            push_text(
                &mut reply.head,
                format_args!("Retry-After: {after_s:.3}\r\n"),
            );
        }
        reply.closes = refusal.closes();
        reply
    }

    /// Creates the response to another entry VM whose relayed request is refused.
    #[must_use]
    pub fn refused_relay(refusal: Refusal) -> Self {
        let mut reply = Self::refused(refusal);
        push_field(
            &mut reply.head,
            relay_headers::REFUSED.as_bytes(),
            refusal.name().as_bytes(),
        );
        reply
    }

    /// Creates the response that forwards a backend server's.
    #[must_use]
    pub fn from_backend(response: upstream::Response, is_head_request: bool) -> Self {
        let upstream::Response {
            head: response,
            body,
            memory,
        } = response;
        let mut head = BytesMut::with_capacity(256);
        push_text(&mut head, format_args!("HTTP/1.1 {} ", response.status));
        head.extend_from_slice(&response.reason);
        head.extend_from_slice(b"\r\n");
        let length: usize = body.iter().map(Bytes::len).sum();
        let keeps_length = is_head_request || response.status == 304;
        for (name, value) in end_to_end(&response.fields) {
            let is_length = name.eq_ignore_ascii_case(b"content-length");
            if !is_internal(name) && (!is_length || keeps_length) {
                push_field(&mut head, name, value);
            }
        }
        if !keeps_length && response.status != 204 {
            push_text(&mut head, format_args!("Content-Length: {length}\r\n"));
        }
        Self {
            head,
            body,
            memory: Some(memory),
            closes: false,
        }
    }

    /// Adds a header.
    pub fn add_header(&mut self, name: &str, value: &str) {
        push_field(&mut self.head, name.as_bytes(), value.as_bytes());
    }

    /// Returns the bytes of the head and the body in parts, and the memory that is reserved until they
    /// are written.
    #[must_use]
    pub fn into_parts(mut self) -> (VecDeque<Bytes>, Option<Reservation>) {
        if self.closes {
            self.head.extend_from_slice(b"Connection: close\r\n");
        }
        self.head.extend_from_slice(b"\r\n");
        let mut parts = VecDeque::from(self.body);
        parts.push_front(self.head.freeze());
        (parts, self.memory)
    }
}

/// Returns the head of `request` as it is sent on, with the headers `added`.
#[must_use]
pub fn forwarded_head(
    request: &head::Request,
    names: &Names,
    body_length: usize,
    remaining_ms: u128,
    added: &[(&str, &str)],
    workspace: Option<&str>,
) -> Bytes {
    let mut head = BytesMut::with_capacity(512);
    head.extend_from_slice(&request.method);
    head.extend_from_slice(b" ");
    head.extend_from_slice(&request.target);
    head.extend_from_slice(b" HTTP/1.1\r\n");
    let replaced = [names.key, names.workspace, names.target, names.deadline];
    for (name, value) in end_to_end(&request.fields) {
        let is = |other: &&str| name.eq_ignore_ascii_case(other.as_bytes());
        let is_replaced = replaced.iter().any(is) || is_internal(name);
        if !is_replaced && !is(&"content-length") && !is(&"expect") {
            push_field(&mut head, name, value);
        }
    }
    push_text(
        &mut head,
        format_args!("{}: {remaining_ms}\r\n", names.deadline),
    );
    for (name, value) in added {
        push_text(&mut head, format_args!("{name}: {value}\r\n"));
    }
    if let Some(workspace) = workspace {
        push_text(
            &mut head,
            format_args!("{}: {workspace}\r\n", names.workspace),
        );
    }
    if body_length > 0 || !matches!(&request.method[..], b"GET" | b"HEAD") {
        push_text(&mut head, format_args!("Content-Length: {body_length}\r\n"));
    }
    head.extend_from_slice(b"\r\n");
    head.freeze()
}

/// Returns the end-to-end headers: those that do not concern a single connection.
fn end_to_end(fields: &Fields) -> impl Iterator<Item = (&[u8], &[u8])> {
    const HOP_BY_HOP: [&str; 8] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "upgrade",
    ];
    let is_named = |name: &[u8]| {
        let name = std::str::from_utf8(name).unwrap_or_default();
        fields.all("connection").any(|value| has_token(value, name))
    };
    fields.iter().filter(move |(name, _)| {
        let is = |other: &&str| name.eq_ignore_ascii_case(other.as_bytes());
        !HOP_BY_HOP.iter().any(is) && !is(&"transfer-encoding") && !is_named(name)
    })
}

fn push_field(head: &mut BytesMut, name: &[u8], value: &[u8]) {
    head.extend_from_slice(name);
    head.extend_from_slice(b": ");
    head.extend_from_slice(value);
    head.extend_from_slice(b"\r\n");
}

fn push_text(head: &mut BytesMut, text: std::fmt::Arguments<'_>) {
    // Writing to memory cannot fail.
    let _ = head.write_fmt(text);
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Unknown",
    }
}
