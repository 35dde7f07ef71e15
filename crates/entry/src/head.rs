//! Heads of requests and answers.

use bytes::{Bytes, BytesMut};
use httparse::Status;

/// Most headers in a head.
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
    pub is_old: bool,
    /// Headers.
    pub fields: Fields,
}

/// Head of an answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Reason phrase.
    pub reason: Bytes,
    /// Whether the sender speaks HTTP/1.0.
    pub is_old: bool,
    /// Headers.
    pub fields: Fields,
}

/// How a body is delimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// This many bytes follow.
    Length(u64),
    /// Chunks follow.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

/// Why a head cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Malformed {
    /// It is not HTTP, or ambiguous.
    Syntax,
    /// It is too large.
    TooLarge,
}

impl Fields {
    /// Returns the headers.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.0.iter().map(|(name, value)| (&name[..], &value[..]))
    }

    /// Returns the first value of `name`.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let mut fields = self.0.iter();
        let field = fields.find(|field| field.0.eq_ignore_ascii_case(name.as_bytes()))?;
        Some(&field.1)
    }

    /// Returns the first value of `name`, if it is text.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// Returns all values of `name`.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let own = move |field: &&(Bytes, Bytes)| field.0.eq_ignore_ascii_case(name.as_bytes());
        self.0.iter().filter(own).map(|(_, value)| &value[..])
    }

    /// Returns whether a comma-separated header holds `token`.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| has_token(value, token))
    }

    /// Returns the framing that the headers give, if they give one.
    fn framing(&self) -> Result<Option<Framing>, Malformed> {
        let mut length = None;
        for value in self.all("content-length") {
            let value = std::str::from_utf8(value).ok().and_then(digits);
            let value = value.ok_or(Malformed::Syntax)?;
            if length.is_some_and(|earlier| earlier != value) {
                return Err(Malformed::Syntax);
            }
            length = Some(value);
        }
        let mut codings = self.all("transfer-encoding");
        match (codings.next(), codings.next(), length) {
            (None, _, length) => Ok(length.map(Framing::Length)),
            (Some(coding), None, None) if coding.eq_ignore_ascii_case(b"chunked") => {
                Ok(Some(Framing::Chunked))
            }
            _ => Err(Malformed::Syntax),
        }
    }
}

fn digits(text: &str) -> Option<u64> {
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    is_number.then(|| text.parse().ok()).flatten()
}

/// Returns whether a comma-separated `value` holds `token`.
#[must_use]
pub fn has_token(value: &[u8], token: &str) -> bool {
    let mut parts = value.split(|byte| *byte == b',');
    parts.any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}

impl Request {
    /// Takes a head from the front of `buffer` once it is whole.
    ///
    /// # Errors
    ///
    /// Fails if the head is malformed or larger than `most` bytes.
    pub fn take(buffer: &mut BytesMut, most: usize) -> Result<Option<Self>, Malformed> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let length = match parsed.parse(buffer) {
            Ok(Status::Complete(length)) if length <= most => length,
            Ok(Status::Partial) if buffer.len() <= most => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Malformed::TooLarge),
            Err(_) => return Err(Malformed::Syntax),
        };
        let base = buffer.as_ptr() as usize;
        let at = |part: &[u8]| (part.as_ptr() as usize - base, part.len());
        let method = at(parsed.method.unwrap_or_default().as_bytes());
        let target = at(parsed.path.unwrap_or_default().as_bytes());
        let is_old = parsed.version == Some(0);
        let places = places(parsed.headers, base);
        let bytes = buffer.split_to(length).freeze();
        Ok(Some(Self {
            method: cut(&bytes, method),
            target: cut(&bytes, target),
            is_old,
            fields: fields(&bytes, &places),
        }))
    }

    /// Returns how the body is delimited.
    ///
    /// # Errors
    ///
    /// Fails if the headers are ambiguous.
    pub fn framing(&self) -> Result<Framing, Malformed> {
        let framing = self.fields.framing()?;
        Ok(framing.unwrap_or(Framing::Length(0)))
    }

    /// Returns whether the sender keeps the connection open.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        if self.is_old {
            return self.fields.has_token("connection", "keep-alive");
        }
        !self.fields.has_token("connection", "close")
    }
}

impl Answer {
    /// Takes a head from the front of `buffer` once it is whole.
    ///
    /// # Errors
    ///
    /// Fails if the head is malformed or larger than `most` bytes.
    pub fn take(buffer: &mut BytesMut, most: usize) -> Result<Option<Self>, Malformed> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        let length = match parsed.parse(buffer) {
            Ok(Status::Complete(length)) if length <= most => length,
            Ok(Status::Partial) if buffer.len() <= most => return Ok(None),
            Ok(_) => return Err(Malformed::TooLarge),
            Err(_) => return Err(Malformed::Syntax),
        };
        let base = buffer.as_ptr() as usize;
        let status = parsed.code.unwrap_or_default();
        let reason = Bytes::copy_from_slice(parsed.reason.unwrap_or_default().as_bytes());
        let is_old = parsed.version == Some(0);
        let places = places(parsed.headers, base);
        let bytes = buffer.split_to(length).freeze();
        Ok(Some(Self {
            status,
            reason,
            is_old,
            fields: fields(&bytes, &places),
        }))
    }

    /// Returns how the body is delimited, if `to_head` says whether the request was a HEAD.
    ///
    /// # Errors
    ///
    /// Fails if the headers are ambiguous.
    pub fn framing(&self, to_head: bool) -> Result<Framing, Malformed> {
        let framing = self.fields.framing()?;
        if to_head || matches!(self.status, 100..=199 | 204 | 304) {
            return Ok(Framing::Length(0));
        }
        Ok(framing.unwrap_or(Framing::UntilClose))
    }

    /// Returns whether the sender keeps the connection open.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        !self.is_old && !self.fields.has_token("connection", "close")
    }
}

/// Offset and length of a name and its value.
type Place = ((usize, usize), (usize, usize));

fn places(headers: &[httparse::Header<'_>], base: usize) -> Vec<Place> {
    let at = |part: &[u8]| (part.as_ptr() as usize - base, part.len());
    let place = |header: &httparse::Header<'_>| (at(header.name.as_bytes()), at(header.value));
    headers.iter().map(place).collect()
}

fn fields(bytes: &Bytes, places: &[Place]) -> Fields {
    let field = |place: &Place| (cut(bytes, place.0), cut(bytes, place.1));
    Fields(places.iter().map(field).collect())
}

fn cut(bytes: &Bytes, (at, length): (usize, usize)) -> Bytes {
    if length == 0 {
        return Bytes::new();
    }
    bytes.slice(at..at + length)
}
