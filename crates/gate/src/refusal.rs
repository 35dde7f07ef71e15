//! Answers that are the gate's own.

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response};
use http_body_util::{BodyExt, Full};
use serde::Serialize;

pub use crate::code::{Outcome, Refusal};
use crate::headers::{self, REQUEST_ID};
use crate::upstream::Body;

/// A refusal with what it says of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Why.
    pub refusal: Refusal,
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// When a repeat may succeed, in milliseconds, if a repeat can help.
    pub retry_after_ms: Option<u64>,
}

impl Refused {
    /// Creates a refusal of a request that a backend server may have run.
    #[must_use]
    pub fn unknown(refusal: Refusal) -> Self {
        Self {
            refusal,
            outcome: Outcome::Unknown,
            retry_after_ms: refusal.retry_after_ms(),
        }
    }

    /// Creates a refusal to repeat a request that has run.
    #[must_use]
    pub fn ran(refusal: Refusal) -> Self {
        Self {
            refusal,
            outcome: Outcome::Ran,
            retry_after_ms: refusal.retry_after_ms(),
        }
    }

    /// Builds the answer to the request numbered `request`.
    #[must_use]
    pub fn response(self, request: &str) -> Response<Body> {
        let explanation = Explanation {
            code: self.refusal,
            outcome: self.outcome,
            request,
            retry_after_ms: self.retry_after_ms,
        };
        let json = serde_json::to_vec(&explanation).unwrap_or_default();
        let mut response = Response::new(full_body(json));
        *response.status_mut() = self.refusal.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers::set(headers, REQUEST_ID, request);
        if let Some(wait_ms) = self.retry_after_ms {
            headers.insert(RETRY_AFTER, HeaderValue::from(wait_ms.div_ceil(1_000)));
        }
        if self.refusal.closes_connection() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

impl From<Refusal> for Refused {
    /// Creates a refusal of a request that has not run.
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            outcome: Outcome::NotRun,
            retry_after_ms: refusal.retry_after_ms(),
        }
    }
}

#[derive(Serialize)]
struct Explanation<'a> {
    code: Refusal,
    outcome: Outcome,
    request: &'a str,
    retry_after_ms: Option<u64>,
}

/// Builds a body from bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}
