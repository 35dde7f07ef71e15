//! HTTP client of the platform's key-value service.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;

use crate::budget::Kind;
use crate::meter::Meter;
use crate::purpose::Purpose;
use crate::vms::{HealthEntry, ListedVm};

/// Timeout of a call, in milliseconds; the wait time of a watch is added to it.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// Response header with the index from which the next watch waits.
const INDEX_HEADER: &str = "x-consul-index";

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: u64 = 8 << 20;

/// Error of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// No response arrived. A write may have taken effect nevertheless.
    Unanswered(String),
    /// The service responded with this status code, which is not a success.
    Refused(u16),
    /// The response could not be decoded.
    Malformed(String),
    /// The call was not made because the budget of its purpose is exhausted.
    OverBudget,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unanswered(error) => write!(f, "no response from the platform: {error}"),
            Self::Refused(status) => write!(f, "the platform responded with status {status}"),
            Self::Malformed(error) => write!(f, "the platform's response is malformed: {error}"),
            Self::OverBudget => write!(f, "the call budget is exhausted"),
        }
    }
}

impl std::error::Error for StoreError {}

/// A value with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The value; `None` if the key does not exist.
    pub value: Option<T>,
    /// Version of the value for compare-and-set; zero if the key does not exist.
    pub version: u64,
    /// Index from which the next watch waits.
    pub index: u64,
}

/// A key below a prefix and its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item<T> {
    /// Full key.
    pub key: String,
    /// The value.
    pub value: T,
    /// Version of the value for compare-and-set.
    pub version: u64,
}

/// The values below a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Items<T> {
    /// The values, ordered by key.
    pub items: Vec<Item<T>>,
    /// Index from which the next watch waits.
    pub index: u64,
}

/// Outcome of a compare-and-set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    /// The value was replaced.
    Done,
    /// The version had changed; nothing was written.
    Conflict,
}

/// A client whose calls block the calling thread.
#[derive(Debug, Clone)]
pub struct Client {
    agent: Agent,
    base: String,
    purpose: Purpose,
    meter: Option<Arc<Meter>>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct KvEntry {
    key: String,
    value: Option<String>,
    modify_index: u64,
    #[serde(default)]
    pub(crate) lock_index: u64,
    pub(crate) session: Option<String>,
}

impl KvEntry {
    pub(crate) fn decode<T: DeserializeOwned>(&self) -> Result<T, StoreError> {
        let value = self.value.as_deref().unwrap_or_default();
        let bytes = STANDARD.decode(value).map_err(malformed)?;
        serde_json::from_slice(&bytes).map_err(malformed)
    }
}

pub(crate) struct Response {
    pub(crate) status: u16,
    index: u64,
    pub(crate) body: String,
}

impl Response {
    pub(crate) fn ok_body(&self) -> Result<&str, StoreError> {
        match self.status {
            200 => Ok(&self.body),
            status => Err(StoreError::Refused(status)),
        }
    }
}

impl Client {
    /// Creates a client of the service at the URL `base`, such as `http://127.0.0.1:8500`.
    #[must_use]
    pub fn new(base: &str) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .build();
        Self {
            agent: config.new_agent(),
            base: base.trim_end_matches('/').to_owned(),
            purpose: Purpose::default(),
            meter: None,
        }
    }

    /// Returns a client whose calls are counted and limited by `meter` under `purpose`.
    #[must_use]
    pub fn with_meter(mut self, purpose: Purpose, meter: Arc<Meter>) -> Self {
        self.purpose = purpose;
        self.meter = Some(meter);
        self
    }

    /// Reads a value.
    ///
    /// # Errors
    ///
    /// Fails if the service does not respond or the value cannot be decoded.
    pub fn read<T: DeserializeOwned>(&self, key: &str) -> Result<Versioned<T>, StoreError> {
        versioned(&self.get(&format!("/v1/kv/{key}"), 0)?)
    }

    /// Waits until a value is newer than `index` or `wait_ms` milliseconds have passed, then reads
    /// it.
    ///
    /// # Errors
    ///
    /// Fails if the service does not respond or the value cannot be decoded.
    pub fn watch<T: DeserializeOwned>(
        &self,
        key: &str,
        index: u64,
        wait_ms: u64,
    ) -> Result<Versioned<T>, StoreError> {
        let path = format!("/v1/kv/{key}?index={index}&wait={wait_ms}ms");
        versioned(&self.get(&path, wait_ms)?)
    }

    /// Waits until a value below `prefix` is newer than `index` or `wait_ms` milliseconds have
    /// passed, then reads all values below it. A value that cannot be decoded fails the call.
    ///
    /// # Errors
    ///
    /// Fails if the service does not respond or a value cannot be decoded.
    pub fn watch_prefix<T: DeserializeOwned>(
        &self,
        prefix: &str,
        index: u64,
        wait_ms: u64,
    ) -> Result<Items<T>, StoreError> {
        let path = format!("/v1/kv/{prefix}?recurse&index={index}&wait={wait_ms}ms");
        let response = self.get(&path, wait_ms)?;
        let items = entries_of(&response)?.into_iter().map(|entry| {
            Ok(Item {
                value: entry.decode()?,
                version: entry.modify_index,
                key: entry.key,
            })
        });
        Ok(Items {
            items: items.collect::<Result<_, StoreError>>()?,
            index: response.index,
        })
    }

    /// Waits until the index of the newest change below `prefix` is above `index` or `wait_ms`
    /// milliseconds have passed, then returns it. Reads keys only, not values.
    ///
    /// # Errors
    ///
    /// Fails if the service does not respond.
    pub fn watch_index(&self, prefix: &str, index: u64, wait_ms: u64) -> Result<u64, StoreError> {
        let path = format!("/v1/kv/{prefix}?keys&index={index}&wait={wait_ms}ms");
        let response = self.get(&path, wait_ms)?;
        match response.status {
            200 | 404 => Ok(response.index),
            status => Err(StoreError::Refused(status)),
        }
    }

    /// Replaces a value if its version is still `version`; version zero creates the key.
    ///
    /// # Errors
    ///
    /// Fails if the service does not respond; the write may have taken effect nevertheless.
    pub fn compare_and_set<T: Serialize>(
        &self,
        key: &str,
        version: u64,
        value: &T,
    ) -> Result<Written, StoreError> {
        let body = serde_json::to_vec(value).map_err(malformed)?;
        let response = self.put(&format!("/v1/kv/{key}?cas={version}"), &body)?;
        match (response.status, response.body.trim()) {
            (200, "true") => Ok(Written::Done),
            (200, "false") => Ok(Written::Conflict),
            (200, other) => Err(StoreError::Malformed(other.to_owned())),
            (status, _) => Err(StoreError::Refused(status)),
        }
    }

    /// Reads the list of VMs and the index from which the next watch waits.
    ///
    /// # Errors
    ///
    /// Fails if the service does not respond or the list cannot be decoded.
    pub fn vms(&self, index: u64, wait_ms: u64) -> Result<Versioned<Vec<ListedVm>>, StoreError> {
        let path = format!("/v1/health/service/entry?index={index}&wait={wait_ms}ms");
        let response = self.get(&path, wait_ms)?;
        let entries: Vec<HealthEntry> =
            serde_json::from_str(response.ok_body()?).map_err(malformed)?;
        let vms = entries.into_iter().map(ListedVm::try_from);
        let vms = vms.collect::<Result<_, _>>().map_err(malformed)?;
        Ok(Versioned {
            value: Some(vms),
            version: response.index,
            index: response.index,
        })
    }

    pub(crate) fn get(&self, path: &str, wait_ms: u64) -> Result<Response, StoreError> {
        self.admit(Kind::Read)?;
        let timeout = Duration::from_millis(CALL_TIMEOUT_MS + wait_ms);
        let request = self.agent.get(self.url(path)).config();
        let request = request.timeout_global(Some(timeout)).build();
        self.record(parse_response(request.call()), 0)
    }

    pub(crate) fn put(&self, path: &str, body: &[u8]) -> Result<Response, StoreError> {
        self.admit(Kind::Write)?;
        let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
        let request = self.agent.put(self.url(path)).config();
        let request = request.timeout_global(Some(timeout)).build();
        self.record(parse_response(request.send(body)), body.len())
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }

    fn admit(&self, kind: Kind) -> Result<(), StoreError> {
        match &self.meter {
            Some(meter) => meter.admit(self.purpose, kind),
            None => Ok(()),
        }
    }

    fn record(
        &self,
        outcome: Result<Response, StoreError>,
        sent: usize,
    ) -> Result<Response, StoreError> {
        if let Some(meter) = &self.meter {
            let succeeded = matches!(&outcome, Ok(response) if response.status < 500);
            let received = outcome.as_ref().map_or(0, |response| response.body.len());
            meter.note(self.purpose, succeeded, sent + received);
        }
        outcome
    }
}

fn parse_response(
    outcome: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<Response, StoreError> {
    let mut response = outcome.map_err(unanswered)?;
    let header = response.headers().get(INDEX_HEADER);
    let index = header.and_then(|value| value.to_str().ok()?.parse().ok());
    let reader = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
    let body = reader.read_to_string().map_err(unanswered)?;
    Ok(Response {
        status: response.status().as_u16(),
        index: index.unwrap_or(0),
        body,
    })
}

fn versioned<T: DeserializeOwned>(response: &Response) -> Result<Versioned<T>, StoreError> {
    let entry = entry_of(response)?;
    Ok(Versioned {
        value: entry.as_ref().map(KvEntry::decode).transpose()?,
        version: entry.map_or(0, |entry| entry.modify_index),
        index: response.index,
    })
}

/// Returns the only entry of a response; `None` if the key does not exist.
pub(crate) fn entry_of(response: &Response) -> Result<Option<KvEntry>, StoreError> {
    Ok(entries_of(response)?.into_iter().next())
}

fn entries_of(response: &Response) -> Result<Vec<KvEntry>, StoreError> {
    match response.status {
        200 => serde_json::from_str(&response.body).map_err(malformed),
        404 => Ok(Vec::new()),
        status => Err(StoreError::Refused(status)),
    }
}

fn unanswered(error: impl fmt::Display) -> StoreError {
    StoreError::Unanswered(error.to_string())
}

pub(crate) fn malformed(error: impl fmt::Display) -> StoreError {
    StoreError::Malformed(error.to_string())
}
