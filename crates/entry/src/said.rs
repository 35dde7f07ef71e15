//! What a backend server says of itself in a response.

use std::time::Duration;

use crate::head::Fields;
use crate::names::Names;

/// Status of a server that rejects requests.
const UNAVAILABLE: u16 = 503;

/// Header with the seconds for which a server that rejects a request wants no others.
pub const RETRY_AFTER: &str = "Retry-After";

/// Longest time for which a server gets no requests, whatever it says. Only requests tell that it has
/// recovered.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// Longest text of a number that is read, in bytes.
const MAX_NUMBER_BYTES: usize = 32;

/// Most slots that a response may name; more are taken for an error.
const MAX_SLOTS: u32 = 1 << 16;

/// Percentages that a slowdown may have: from a tenth of the usual time to a hundred times as long.
const SLOWDOWN_PERCENT: std::ops::RangeInclusive<f64> = 10.0..=10_000.0;

/// What a backend server says of itself in one response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Said {
    /// Its load.
    pub load: Option<Load>,
    /// Its limit.
    pub limit: Limit,
    /// Whether it leaves.
    pub leaves: bool,
    /// How long it wants no requests.
    pub wait: Wait,
}

/// Requests at a backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it can run at a time; absent if it names no value that can be used.
    pub slots: Option<u32>,
    /// How long work takes on its machine now, compared with the usual time; absent if the server does not
    /// share its machine, or names no value that can be read.
    pub slowdown: Option<f64>,
    /// Whether it names slots or a slowdown that cannot be used.
    pub is_partly_invalid: bool,
}

/// The limit that a response names.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Limit {
    /// None.
    Absent,
    /// Requests a second from all entry VMs together; finite and not negative.
    PerS(f64),
    /// No value that can be read.
    Invalid,
}

/// How long a server that rejects a request wants no others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// It does not say.
    Absent,
    /// This time.
    For(Duration),
    /// No value that can be read.
    Invalid,
}

impl Said {
    /// Reads the headers of a response with the given status.
    #[must_use]
    pub fn new(status: u16, fields: &Fields, names: &Names) -> Self {
        Self {
            load: fields.text(names.load).and_then(load),
            limit: limit(fields.all(names.limit)),
            leaves: fields
                .all(names.leaving)
                .any(|value| value.trim_ascii() == b"1"),
            wait: if status == UNAVAILABLE {
                wait(fields.get(RETRY_AFTER))
            } else {
                Wait::Absent
            },
        }
    }
}

fn load(text: &str) -> Option<Load> {
    let mut parts = text.split(',').map(str::trim);
    let running = parts.next()?.parse().ok()?;
    let waiting = parts.next()?.parse().ok()?;
    let named_slots = parts.next();
    let slots = named_slots.and_then(|part| part.parse().ok());
    let slots = slots.filter(|slots| (1..=MAX_SLOTS).contains(slots));
    let percent = parts.next();
    let slowdown = percent.and_then(slowdown);
    let is_slots_invalid = named_slots.is_some() && slots.is_none();
    let is_slowdown_invalid = percent.is_some() && slowdown.is_none();
    Some(Load {
        running,
        waiting,
        slots,
        slowdown,
        is_partly_invalid: is_slots_invalid || is_slowdown_invalid,
    })
}

/// Returns the slowdown of a machine on which work takes `percent` of the usual time.
fn slowdown(percent: &str) -> Option<f64> {
    let percent = decimal(percent.as_bytes())?;
    SLOWDOWN_PERCENT
        .contains(&percent)
        .then_some(percent / 100.0)
}

/// Returns the lowest of the limits that the header's values name.
fn limit<'a>(values: impl Iterator<Item = &'a [u8]>) -> Limit {
    let mut limit = Limit::Absent;
    for value in values {
        limit = match (limit, decimal(value)) {
            (Limit::PerS(lowest), Some(per_s)) => Limit::PerS(per_s.min(lowest)),
            (Limit::PerS(lowest), None) => Limit::PerS(lowest),
            (_, Some(per_s)) => Limit::PerS(per_s),
            (_, None) => Limit::Invalid,
        };
    }
    limit
}

fn wait(value: Option<&[u8]>) -> Wait {
    let Some(value) = value else {
        return Wait::Absent;
    };
    let seconds = decimal(value).map(|seconds| seconds.min(MAX_WAIT.as_secs_f64()));
    seconds.map_or(Wait::Invalid, |seconds| {
        Wait::For(Duration::from_secs_f64(seconds))
    })
}

/// Returns the value of digits with at most one decimal point.
fn decimal(value: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(value).ok()?.trim();
    let is_digit = |byte: u8| byte.is_ascii_digit();
    let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
    let is_decimal = text.len() <= MAX_NUMBER_BYTES
        && !(whole.is_empty() && fraction.is_empty())
        && whole.bytes().all(is_digit)
        && fraction.bytes().all(is_digit);
    is_decimal.then(|| text.parse().ok()).flatten()
}

#[cfg(test)]
mod tests;
