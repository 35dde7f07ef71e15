//! Calls to the platform's service.

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

/// Time that a call may take beyond the wait of a watch, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// Header that carries the index of a watch.
const INDEX_HEADER: &str = "x-consul-index";

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: u64 = 8 << 20;

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// No answer arrived. A write may have taken effect all the same.
    Unanswered(String),
    /// The service answered that it cannot serve the call.
    Refused(u16),
    /// The answer could not be read.
    Malformed(String),
    /// The call was not made, since its purpose has used up its budget.
    OverBudget,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unanswered(error) => write!(f, "no answer from the platform: {error}"),
            Self::Refused(status) => write!(f, "the platform answered with status {status}"),
            Self::Malformed(error) => write!(f, "the platform's answer is malformed: {error}"),
            Self::OverBudget => write!(f, "the call was held back by its budget"),
        }
    }
}

impl std::error::Error for StoreError {}

/// A value and its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The value; absent if the key does not exist.
    pub value: Option<T>,
    /// Version of the value for compare-and-set; zero if the key does not exist.
    pub version: u64,
    /// Index from which the next watch waits.
    pub index: u64,
}

/// A value below a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item<T> {
    /// Full key of the value.
    pub key: String,
    /// The value.
    pub value: T,
    /// Version of the value for compare-and-set.
    pub version: u64,
}

/// The values below a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Items<T> {
    /// The values in the order of their keys.
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

/// A blocking client.
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

pub(crate) struct Reply {
    pub(crate) status: u16,
    index: u64,
    pub(crate) body: String,
}

impl Reply {
    pub(crate) fn ok_body(&self) -> Result<&str, StoreError> {
        match self.status {
            200 => Ok(&self.body),
            status => Err(StoreError::Refused(status)),
        }
    }
}

impl Client {
    /// Creates a client of the service at `base`, such as `http://127.0.0.1:8500`.
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

    /// Returns a client whose calls are counted and limited by `meter` as calls for `purpose`.
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
    /// Fails if the service does not answer or the value cannot be read.
    pub fn read<T: DeserializeOwned>(&self, key: &str) -> Result<Versioned<T>, StoreError> {
        found(&self.get(&format!("/v1/kv/{key}"), 0)?)
    }

    /// Reads a value once it is newer than `index` or `wait_ms` milliseconds have passed.
    ///
    /// # Errors
    ///
    /// Fails if the service does not answer or the value cannot be read.
    pub fn watch<T: DeserializeOwned>(
        &self,
        key: &str,
        index: u64,
        wait_ms: u64,
    ) -> Result<Versioned<T>, StoreError> {
        let path = format!("/v1/kv/{key}?index={index}&wait={wait_ms}ms");
        found(&self.get(&path, wait_ms)?)
    }

    /// Reads the values below `prefix` once one is newer than `index` or `wait_ms` milliseconds
    /// have passed. Values that cannot be read fail the call.
    ///
    /// # Errors
    ///
    /// Fails if the service does not answer or a value cannot be read.
    pub fn watch_prefix<T: DeserializeOwned>(
        &self,
        prefix: &str,
        index: u64,
        wait_ms: u64,
    ) -> Result<Items<T>, StoreError> {
        let path = format!("/v1/kv/{prefix}?recurse&index={index}&wait={wait_ms}ms");
        let reply = self.get(&path, wait_ms)?;
        let items = entries_of(&reply)?.into_iter().map(|entry| {
            Ok(Item {
                value: entry.decode()?,
                version: entry.modify_index,
                key: entry.key,
            })
        });
        Ok(Items {
            items: items.collect::<Result<_, StoreError>>()?,
            index: reply.index,
        })
    }

    /// Returns the index of the newest change below `prefix` once it is above `index` or
    /// `wait_ms` milliseconds have passed. Names are read and values are not.
    ///
    /// # Errors
    ///
    /// Fails if the service does not answer.
    pub fn watch_index(&self, prefix: &str, index: u64, wait_ms: u64) -> Result<u64, StoreError> {
        let path = format!("/v1/kv/{prefix}?keys&index={index}&wait={wait_ms}ms");
        let reply = self.get(&path, wait_ms)?;
        match reply.status {
            200 | 404 => Ok(reply.index),
            status => Err(StoreError::Refused(status)),
        }
    }

    /// Replaces a value if its version is still `version`; zero creates the key.
    ///
    /// # Errors
    ///
    /// Fails if the service does not answer; the write may have taken effect then.
    pub fn compare_and_set<T: Serialize>(
        &self,
        key: &str,
        version: u64,
        value: &T,
    ) -> Result<Written, StoreError> {
        let body = serde_json::to_vec(value).map_err(malformed)?;
        let reply = self.put(&format!("/v1/kv/{key}?cas={version}"), &body)?;
        match (reply.status, reply.body.trim()) {
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
    /// Fails if the service does not answer or the list cannot be read.
    pub fn vms(&self, index: u64, wait_ms: u64) -> Result<Versioned<Vec<ListedVm>>, StoreError> {
        let path = format!("/v1/health/service/entry?index={index}&wait={wait_ms}ms");
        let reply = self.get(&path, wait_ms)?;
        let entries: Vec<HealthEntry> =
            serde_json::from_str(reply.ok_body()?).map_err(malformed)?;
        let vms = entries.into_iter().map(ListedVm::try_from);
        let vms = vms.collect::<Result<_, _>>().map_err(malformed)?;
        Ok(Versioned {
            value: Some(vms),
            version: reply.index,
            index: reply.index,
        })
    }

    pub(crate) fn get(&self, path: &str, wait_ms: u64) -> Result<Reply, StoreError> {
        self.admit(Kind::Read)?;
        let limit = Duration::from_millis(CALL_TIMEOUT_MS + wait_ms);
        let request = self.agent.get(self.url(path)).config();
        let request = request.timeout_global(Some(limit)).build();
        self.noted(answered(request.call()), 0)
    }

    pub(crate) fn put(&self, path: &str, body: &[u8]) -> Result<Reply, StoreError> {
        self.admit(Kind::Write)?;
        let limit = Duration::from_millis(CALL_TIMEOUT_MS);
        let request = self.agent.put(self.url(path)).config();
        let request = request.timeout_global(Some(limit)).build();
        self.noted(answered(request.send(body)), body.len())
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

    fn noted(&self, outcome: Result<Reply, StoreError>, sent: usize) -> Result<Reply, StoreError> {
        if let Some(meter) = &self.meter {
            let answered = matches!(&outcome, Ok(reply) if reply.status < 500);
            let received = outcome.as_ref().map_or(0, |reply| reply.body.len());
            meter.note(self.purpose, answered, sent + received);
        }
        outcome
    }
}

fn answered(
    outcome: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<Reply, StoreError> {
    let mut response = outcome.map_err(unanswered)?;
    let header = response.headers().get(INDEX_HEADER);
    let index = header.and_then(|value| value.to_str().ok()?.parse().ok());
    let reader = response.body_mut().with_config().limit(MAX_ANSWER_BYTES);
    let body = reader.read_to_string().map_err(unanswered)?;
    Ok(Reply {
        status: response.status().as_u16(),
        index: index.unwrap_or(0),
        body,
    })
}

fn found<T: DeserializeOwned>(reply: &Reply) -> Result<Versioned<T>, StoreError> {
    let entry = entry_of(reply)?;
    Ok(Versioned {
        value: entry.as_ref().map(KvEntry::decode).transpose()?,
        version: entry.map_or(0, |entry| entry.modify_index),
        index: reply.index,
    })
}

/// Returns the only entry of an answer, if the key exists.
pub(crate) fn entry_of(reply: &Reply) -> Result<Option<KvEntry>, StoreError> {
    Ok(entries_of(reply)?.into_iter().next())
}

fn entries_of(reply: &Reply) -> Result<Vec<KvEntry>, StoreError> {
    match reply.status {
        200 => serde_json::from_str(&reply.body).map_err(malformed),
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
