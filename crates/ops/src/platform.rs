//! The text and its history in the platform's service.

use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use eyre::ensure;
use serde::de::DeserializeOwned;
use store::{CONFIG_KEY, Client, ConfigRecord, Items, ListedVm, StoreError, Versioned, Written};

use crate::config::Config;

/// Prefix of the keys of earlier revisions.
const HISTORY_PREFIX: &str = "teaseldoor/history/";

/// Maximum size of a value in the platform's service, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Maximum time for determining whether a write took effect, in milliseconds.
pub const RESOLVE_MS: u64 = 10_000;

/// Pause between two attempts, in milliseconds.
pub const RETRY_MS: u64 = 200;

/// Attempts of a read, so that a single lost response does not fail a command.
const MAX_READ_ATTEMPTS: usize = 3;

/// Index before every change. A watch from this index returns the newest value at once, while a
/// plain read may return a stale one.
const FIRST_INDEX: u64 = 1;

/// Timeout of such a watch on a key that does not exist, in milliseconds.
const READ_WAIT_MS: u64 = 20;

/// Client of the platform's service.
#[derive(Debug)]
pub struct Platform {
    client: Client,
}

/// The text in force, with the version that a write replaces.
#[derive(Debug, Clone)]
pub struct Current {
    /// Record of the text; absent before the first text.
    pub record: Option<ConfigRecord>,
    version: u64,
}

impl Current {
    /// Returns the revision in force; zero before the first text.
    pub fn revision(&self) -> u64 {
        self.record.as_ref().map_or(0, |record| record.revision)
    }

    /// Returns the text in force; empty before the first text.
    pub fn content(&self) -> &str {
        self.record.as_ref().map_or("", |record| &record.text)
    }
}

/// Outcome of an edit.
#[derive(Debug)]
pub enum EditOutcome {
    /// The text is written.
    Accepted(ConfigRecord),
    /// Another edit was written first; nothing was written.
    Conflict(Current),
    /// No response arrived; the text may or may not be written.
    Unknown(ConfigRecord),
}

impl Platform {
    /// Creates a client of the platform in `config`.
    pub fn new(config: &Config) -> eyre::Result<Self> {
        Ok(Self {
            client: Client::new(config.platform()?),
        })
    }

    /// Returns the client, for records other than the text.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Reads the newest value of a key.
    pub fn read<T: DeserializeOwned>(&self, key: &str) -> Result<Versioned<T>, StoreError> {
        retry_read(|| self.client.watch(key, FIRST_INDEX, READ_WAIT_MS))
    }

    /// Reads the newest values of all keys that begin with `prefix`.
    pub fn read_prefix<T: DeserializeOwned>(&self, prefix: &str) -> Result<Items<T>, StoreError> {
        retry_read(|| self.client.watch_prefix(prefix, FIRST_INDEX, READ_WAIT_MS))
    }

    /// Reads the text in force.
    pub fn current(&self) -> Result<Current, StoreError> {
        let found: Versioned<ConfigRecord> = self.read(CONFIG_KEY)?;
        Ok(Current {
            record: found.value,
            version: found.version,
        })
    }

    /// Reads a revision of the text, either the one in force or an earlier one.
    pub fn revision(&self, revision: u64) -> Result<Option<ConfigRecord>, StoreError> {
        let current = self.current()?;
        if current.revision() == revision {
            return Ok(current.record);
        }
        self.archived(revision)
    }

    /// Reads an earlier revision of the text.
    pub fn archived(&self, revision: u64) -> Result<Option<ConfigRecord>, StoreError> {
        let key = format!("{HISTORY_PREFIX}{revision}");
        Ok(self.read(&key)?.value)
    }

    /// Reads the list of VMs.
    pub fn vms(&self) -> Result<Vec<ListedVm>, StoreError> {
        let found = retry_read(|| self.client.vms(0, 0))?;
        Ok(found.value.unwrap_or_default())
    }

    /// Replaces the text in `current`. The replaced revision is written to the history first, so
    /// that no revision is ever missing there. After a lost response, the write id is read back to
    /// determine whether the write took effect. A retry is conditional on the same replaced
    /// version, so the write takes effect at most once.
    pub fn replace(
        &self,
        current: &Current,
        author: &str,
        content: &str,
    ) -> eyre::Result<EditOutcome> {
        let draft = ConfigRecord {
            revision: current.revision() + 1,
            write_id: format!("{:032x}", rand::random::<u128>()),
            author: author.to_owned(),
            at_unix_ms: now_unix_ms(),
            text: content.to_owned(),
        };
        let bytes = serde_json::to_vec(&draft)?.len();
        ensure!(
            bytes <= MAX_VALUE_BYTES,
            "the record of the text has {bytes} bytes, more than the platform's limit of \
             {MAX_VALUE_BYTES} bytes"
        );
        if let Some(record) = &current.record {
            self.archive(record)?;
        }
        Ok(self.write(current, draft))
    }

    /// Writes a record to the history. This is idempotent.
    fn archive(&self, record: &ConfigRecord) -> Result<(), StoreError> {
        let key = format!("{HISTORY_PREFIX}{}", record.revision);
        let deadline = Instant::now() + Duration::from_millis(RESOLVE_MS);
        loop {
            match self.client.compare_and_set(&key, 0, record) {
                Ok(Written::Done | Written::Conflict) => return Ok(()),
                Err(error) if Instant::now() >= deadline => return Err(error),
                Err(_) => thread::sleep(Duration::from_millis(RETRY_MS)),
            }
        }
    }

    fn write(&self, current: &Current, draft: ConfigRecord) -> EditOutcome {
        let deadline = Instant::now() + Duration::from_millis(RESOLVE_MS);
        loop {
            let written = self
                .client
                .compare_and_set(CONFIG_KEY, current.version, &draft);
            if written == Ok(Written::Done) {
                return EditOutcome::Accepted(draft);
            }
            match self.write_state(current, &draft) {
                Ok(WriteState::Written) => return EditOutcome::Accepted(draft),
                Ok(WriteState::Superseded(now)) => return EditOutcome::Conflict(now),
                Ok(WriteState::Unchanged) | Err(_) => {}
            }
            if Instant::now() >= deadline {
                return EditOutcome::Unknown(draft);
            }
            thread::sleep(Duration::from_millis(RETRY_MS));
        }
    }

    /// Determines by the write id whether `draft` replaced `before`.
    fn write_state(
        &self,
        before: &Current,
        draft: &ConfigRecord,
    ) -> Result<WriteState, StoreError> {
        let now = self.current()?;
        let Some(record) = &now.record else {
            return Ok(WriteState::Unchanged);
        };
        if record.write_id == draft.write_id {
            return Ok(WriteState::Written);
        }
        if now.version == before.version {
            return Ok(WriteState::Unchanged);
        }
        if record.revision > draft.revision {
            let archived = self.archived(draft.revision)?;
            if archived.is_some_and(|record| record.write_id == draft.write_id) {
                return Ok(WriteState::Written);
            }
        }
        Ok(WriteState::Superseded(now))
    }
}

/// State of a write that was not confirmed.
enum WriteState {
    /// The write took effect.
    Written,
    /// No write has taken effect so far.
    Unchanged,
    /// Another write took effect instead.
    Superseded(Current),
}

/// Retries a read that got no response or was refused.
fn retry_read<T>(read: impl Fn() -> Result<T, StoreError>) -> Result<T, StoreError> {
    for _ in 1..MAX_READ_ATTEMPTS {
        match read() {
            Err(StoreError::Unanswered(_) | StoreError::Refused(_)) => {
                thread::sleep(Duration::from_millis(RETRY_MS));
            }
            outcome => return outcome,
        }
    }
    read()
}

/// Returns the time in milliseconds since the Unix epoch.
pub fn now_unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
