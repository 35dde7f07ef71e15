//! The text and its history in the platform's service.

use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use eyre::ensure;
use serde::de::DeserializeOwned;
use store::{CONFIG_KEY, Client, ConfigRecord, Items, ListedVm, StoreError, Versioned, Written};

use crate::config::Config;

/// Start of the keys that hold earlier revisions.
const HISTORY_PREFIX: &str = "teaseldoor/history/";

/// Largest value that the platform's service holds, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Longest time spent on finding out whether a write took effect, in milliseconds.
pub const SETTLE_MS: u64 = 10_000;

/// Pause between two attempts to find out, in milliseconds.
pub const RETRY_MS: u64 = 200;

/// Attempts at a read; a single lost answer shall not end a command.
const READ_ATTEMPTS: usize = 3;

/// Index before every change: a watch from there answers at once with the newest value, while a
/// plain read may show an older one.
const FIRST_INDEX: u64 = 1;

/// Wait of such a watch on a key that does not exist, in milliseconds.
const FRESH_WAIT_MS: u64 = 20;

/// The platform's service, as this client uses it.
#[derive(Debug)]
pub struct Platform {
    client: Client,
}

/// The text in force with the version that a write replaces.
#[derive(Debug, Clone)]
pub struct Current {
    /// The record; absent before the first text.
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
pub enum Edited {
    /// The text is written.
    Accepted(ConfigRecord),
    /// Another edit came first; nothing was written.
    Conflict(Current),
    /// No answer told what became of the write.
    Unknown(ConfigRecord),
}

impl Platform {
    /// Creates a client of the platform that `config` names.
    pub fn new(config: &Config) -> eyre::Result<Self> {
        Ok(Self {
            client: Client::new(config.platform()?),
        })
    }

    /// Returns the client, for other records than the text's.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Reads the newest value of a key.
    pub fn fresh<T: DeserializeOwned>(&self, key: &str) -> Result<Versioned<T>, StoreError> {
        patiently(|| self.client.watch(key, FIRST_INDEX, FRESH_WAIT_MS))
    }

    /// Reads the newest values of all keys that begin with `prefix`.
    pub fn fresh_all<T: DeserializeOwned>(&self, prefix: &str) -> Result<Items<T>, StoreError> {
        patiently(|| self.client.watch_prefix(prefix, FIRST_INDEX, FRESH_WAIT_MS))
    }

    /// Reads the text in force.
    pub fn current(&self) -> Result<Current, StoreError> {
        let found: Versioned<ConfigRecord> = self.fresh(CONFIG_KEY)?;
        Ok(Current {
            record: found.value,
            version: found.version,
        })
    }

    /// Reads a revision of the text, in force or earlier.
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
        Ok(self.fresh(&key)?.value)
    }

    /// Reads the list of VMs.
    pub fn vms(&self) -> Result<Vec<ListedVm>, StoreError> {
        let found = patiently(|| self.client.vms(0, 0))?;
        Ok(found.value.unwrap_or_default())
    }

    /// Replaces the text that `current` holds. The replaced revision goes into the history first,
    /// so that none is ever missing there. An answer that is lost is settled by reading back the
    /// write id: the write is sent again only with the version that it replaces, so that it takes
    /// effect once at most.
    pub fn replace(&self, current: &Current, author: &str, content: &str) -> eyre::Result<Edited> {
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
            "the text's record has {bytes} bytes, more than the {MAX_VALUE_BYTES} that the \
             platform holds"
        );
        if let Some(record) = &current.record {
            self.archive(record)?;
        }
        Ok(self.write(current, draft))
    }

    /// Puts a record into the history; doing so twice does no harm.
    fn archive(&self, record: &ConfigRecord) -> Result<(), StoreError> {
        let key = format!("{HISTORY_PREFIX}{}", record.revision);
        let end = Instant::now() + Duration::from_millis(SETTLE_MS);
        loop {
            match self.client.compare_and_set(&key, 0, record) {
                Ok(Written::Done | Written::Conflict) => return Ok(()),
                Err(error) if Instant::now() >= end => return Err(error),
                Err(_) => thread::sleep(Duration::from_millis(RETRY_MS)),
            }
        }
    }

    fn write(&self, current: &Current, draft: ConfigRecord) -> Edited {
        let end = Instant::now() + Duration::from_millis(SETTLE_MS);
        loop {
            let written = self
                .client
                .compare_and_set(CONFIG_KEY, current.version, &draft);
            if written == Ok(Written::Done) {
                return Edited::Accepted(draft);
            }
            match self.settle(current, &draft) {
                Ok(Settled::Written) => return Edited::Accepted(draft),
                Ok(Settled::Overtaken(now)) => return Edited::Conflict(now),
                Ok(Settled::Unchanged) | Err(_) => {}
            }
            if Instant::now() >= end {
                return Edited::Unknown(draft);
            }
            thread::sleep(Duration::from_millis(RETRY_MS));
        }
    }

    /// Finds out by its write id whether `draft` was written over `before`.
    fn settle(&self, before: &Current, draft: &ConfigRecord) -> Result<Settled, StoreError> {
        let now = self.current()?;
        let Some(record) = &now.record else {
            return Ok(Settled::Unchanged);
        };
        if record.write_id == draft.write_id {
            return Ok(Settled::Written);
        }
        if now.version == before.version {
            return Ok(Settled::Unchanged);
        }
        if record.revision > draft.revision {
            let same = self.archived(draft.revision)?;
            if same.is_some_and(|record| record.write_id == draft.write_id) {
                return Ok(Settled::Written);
            }
        }
        Ok(Settled::Overtaken(now))
    }
}

/// What became of a write whose answer is missing.
enum Settled {
    /// It took effect.
    Written,
    /// Nothing has changed so far.
    Unchanged,
    /// Another write took effect in its place.
    Overtaken(Current),
}

/// Repeats a read that got no answer.
fn patiently<T>(read: impl Fn() -> Result<T, StoreError>) -> Result<T, StoreError> {
    for _ in 1..READ_ATTEMPTS {
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
