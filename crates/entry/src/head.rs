//! Heads of requests and responses.

use bytes::{Bytes, BytesMut};
use httparse::Status;

/// Maximum number of headers in a head.
const MAX_HEADERS: usize = 64;

/// Headers in their order.
#[derive(Debug, Clone, Default)]
pub struct Fields(Vec<(Bytes, Bytes)>);

/// Head of a request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Method.
    pub method: Bytes,
    /// Target as sent.
    pub target: Bytes,
    /// Whether the sender speaks HTTP/1.0.
    pub is_http10: bool,
    /// Headers.
    pub fields: Fields,
}

/// Head of a response.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status.
    pub status: u16,
    /// Reason phrase.
    pub reason: Bytes,
    /// Whether the sender speaks HTTP/1.0.
    pub is_http10: bool,
    /// Headers.
    pub fields: Fields,
}

/// How a body is delimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The given number of bytes follows.
    Length(u64),
    /// Chunks follow.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

/// Why a head is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadError {
    /// It is not valid HTTP, or its framing is ambiguous.
    Syntax,
    /// It is too large.
    TooLarge,
}

impl Fields {
    /// Returns the headers as pairs of name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.0.iter().map(|(name, value)| (&name[..], &value[..]))
    }

    /// Returns the first value of the header `name`.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let mut fields = self.0.iter();
        let field = fields.find(|field| field.0.eq_ignore_ascii_case(name.as_bytes()))?;
        Some(&field.1)
    }

    /// Keeps the headers whose name matches `filter`.
    pub fn retain(&mut self, filter: impl Fn(&[u8]) -> bool) {
        self.0.retain(|(name, _)| filter(name));
    }

    /// Returns the first value of the header `name`, if it is UTF-8.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// Returns all values of the header `name`.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let is_match = move |field: &&(Bytes, Bytes)| field.0.eq_ignore_ascii_case(name.as_bytes());
        self.0.iter().filter(is_match).map(|(_, value)| &value[..])
    }

    /// Returns whether the comma-separated header `name` contains `token`.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| has_token(value, token))
    }

    /// Returns the framing given by `Content-Length` or `Transfer-Encoding`, if there is one.
    fn framing(&self) -> Result<Option<Framing>, HeadError> {
        let mut length = None;
        for value in self.all("content-length") {
            let value = std::str::from_utf8(value).ok().and_then(parse_digits);
            let value = value.ok_or(HeadError::Syntax)?;
            if length.is_some_and(|earlier| earlier != value) {
                return Err(HeadError::Syntax);
            }
            length = Some(value);
        }
        let mut codings = self.all("transfer-encoding");
        match (codings.next(), codings.next(), length) {
            (None, _, length) => Ok(length.map(Framing::Length)),
            (Some(coding), None, None) if coding.eq_ignore_ascii_case(b"chunked") => {
                Ok(Some(Framing::Chunked))
            }
            _ => Err(HeadError::Syntax),
        }
    }
}

fn parse_digits(text: &str) -> Option<u64> {
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    is_number.then(|| text.parse().ok()).flatten()
}

/// Returns whether the comma-separated `value` contains `token`.
#[must_use]
pub fn has_token(value: &[u8], token: &str) -> bool {
    let mut parts = value.split(|byte| *byte == b',');
    parts.any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}

impl Request {
    /// Takes a head from the front of `buffer` once it is complete.
    ///
    /// # Errors
    ///
    /// Fails if the head is malformed or larger than `max_bytes` bytes.
    pub fn take(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<Self>, HeadError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let length = match parsed.parse(buffer) {
            Ok(Status::Complete(length)) if length <= max_bytes => length,
            Ok(Status::Partial) if buffer.len() <= max_bytes => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLarge),
            Err(_) => return Err(HeadError::Syntax),
        };
        let base = buffer.as_ptr() as usize;
        let range = |part: &[u8]| (part.as_ptr() as usize - base, part.len());
        let method = range(parsed.method.unwrap_or_default().as_bytes());
        let target = range(parsed.path.unwrap_or_default().as_bytes());
        let is_http10 = parsed.version == Some(0);
        let field_ranges = field_ranges(parsed.headers, base);
        let bytes = buffer.split_to(length).freeze();
        Ok(Some(Self {
            method: slice_of(&bytes, method),
            target: slice_of(&bytes, target),
            is_http10,
            fields: fields(&bytes, &field_ranges),
        }))
    }

    /// Returns how the body is delimited.
    ///
    /// # Errors
    ///
    /// Fails if the headers are ambiguous.
    pub fn framing(&self) -> Result<Framing, HeadError> {
        let framing = self.fields.framing()?;
        Ok(framing.unwrap_or(Framing::Length(0)))
    }

    /// Returns whether the sender keeps the connection open.
    #[must_use]
    pub fn is_keep_alive(&self) -> bool {
        if self.is_http10 {
            return self.fields.has_token("connection", "keep-alive");
        }
        !self.fields.has_token("connection", "close")
    }
}

impl Response {
    /// Takes a head from the front of `buffer` once it is complete.
    ///
    /// # Errors
    ///
    /// Fails if the head is malformed or larger than `max_bytes` bytes.
    pub fn take(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<Self>, HeadError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        let length = match parsed.parse(buffer) {
            Ok(Status::Complete(length)) if length <= max_bytes => length,
            Ok(Status::Partial) if buffer.len() <= max_bytes => return Ok(None),
            Ok(_) => return Err(HeadError::TooLarge),
            Err(_) => return Err(HeadError::Syntax),
        };
        let base = buffer.as_ptr() as usize;
        let status = parsed.code.unwrap_or_default();
        let reason = Bytes::copy_from_slice(parsed.reason.unwrap_or_default().as_bytes());
        let is_http10 = parsed.version == Some(0);
        let field_ranges = field_ranges(parsed.headers, base);
        let bytes = buffer.split_to(length).freeze();
        Ok(Some(Self {
            status,
            reason,
            is_http10,
            fields: fields(&bytes, &field_ranges),
        }))
    }

    /// Returns how the body is delimited. `is_head_request` tells whether the request was a HEAD.
    ///
    /// # Errors
    ///
    /// Fails if the headers are ambiguous.
    pub fn framing(&self, is_head_request: bool) -> Result<Framing, HeadError> {
        let framing = self.fields.framing()?;
        if is_head_request || matches!(self.status, 100..=199 | 204 | 304) {
            return Ok(Framing::Length(0));
        }
        Ok(framing.unwrap_or(Framing::UntilClose))
    }

    /// Returns whether the sender keeps the connection open.
    #[must_use]
    pub fn is_keep_alive(&self) -> bool {
        !self.is_http10 && !self.fields.has_token("connection", "close")
    }
}

/// Offset and length of a name, and of its value.
type FieldRange = ((usize, usize), (usize, usize));

fn field_ranges(headers: &[httparse::Header<'_>], base: usize) -> Vec<FieldRange> {
    let range = |part: &[u8]| (part.as_ptr() as usize - base, part.len());
    let field_range =
        |header: &httparse::Header<'_>| (range(header.name.as_bytes()), range(header.value));
    headers.iter().map(field_range).collect()
}

fn fields(bytes: &Bytes, field_ranges: &[FieldRange]) -> Fields {
    let field = |field_range: &FieldRange| {
        (
            slice_of(bytes, field_range.0),
            slice_of(bytes, field_range.1),
        )
    };
    Fields(field_ranges.iter().map(field).collect())
}

fn slice_of(bytes: &Bytes, (start, length): (usize, usize)) -> Bytes {
    if length == 0 {
        return Bytes::new();
    }
    bytes.slice(start..start + length)
}
