//! Interface to the platform's store.

use std::time::Duration;

use bytes::Bytes;
use fleet::Item;
use serde::{Deserialize, Serialize};

use crate::transfer::Progress;

/// A key of the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The value; absent if the key was removed.
    pub value: Option<Bytes>,
    /// Revision of its last change.
    pub revision: u64,
}

/// A page of a listing.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    /// Records ordered by key.
    pub items: Vec<Record>,
    /// Whether more pages follow.
    pub has_more: bool,
    /// Revision of the store.
    pub revision: u64,
    /// Era of the store, which rises by one each time it is restored from an older copy; absent if it
    /// names none.
    pub era: Option<u64>,
}

/// Changes after a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// Changes in order.
    pub events: Vec<Record>,
    /// Revision from which to watch next.
    pub revision: u64,
    /// Era of the store, as in [`Page::era`].
    pub era: Option<u64>,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// No response came in time. A write may have been done.
    Unanswered(String),
    /// The store does not serve the call; nothing was done.
    Refused(u16),
    /// The requested history is no longer available, or the store has no such revision.
    Compacted,
    /// The answer is of an earlier era than the known state.
    EarlierEra(u64),
    /// The requested key does not exist.
    NotFound,
    /// The response could not be decoded.
    Malformed(String),
    /// The response is larger than a client takes.
    TooLarge,
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unanswered(error) => write!(f, "no response: {error}"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
            Self::Compacted => write!(f, "history no longer available"),
            Self::EarlierEra(era) => write!(f, "answer of the earlier era {era}"),
            Self::NotFound => write!(f, "not found"),
            Self::Malformed(error) => write!(f, "malformed response: {error}"),
            Self::TooLarge => write!(f, "response too large"),
        }
    }
}

impl std::error::Error for StoreError {}

/// Keys that are read together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Group {
    /// All keys.
    All,
    /// The announced entry VMs.
    Members,
    /// The evacuated zones.
    Evacuations,
    /// The backend servers.
    Servers,
    /// The configuration, which may be large.
    Config,
}

impl Group {
    /// The groups of a listing, in an order in which nothing urgent waits for what may be large.
    pub const LISTED: [Self; 4] = [
        Self::Evacuations,
        Self::Servers,
        Self::Members,
        Self::Config,
    ];

    /// The groups whose changes must not wait for a large value.
    pub const URGENT: [Self; 2] = [Self::Evacuations, Self::Servers];
}

/// Client of the platform's store. Each client makes one call at a time.
pub trait Store {
    /// Returns the keys of `group` that follow `after`.
    fn list(
        &mut self,
        group: Group,
        after: &str,
        progress: &Progress,
    ) -> impl Future<Output = Result<Page, StoreError>>;

    /// Returns `key`.
    fn get(
        &mut self,
        key: &str,
        progress: &Progress,
    ) -> impl Future<Output = Result<Page, StoreError>>;

    /// Returns the changes of `group` after `revision`, as soon as there are any or `wait` has passed.
    fn watch(
        &mut self,
        group: Group,
        revision: u64,
        wait: Duration,
        progress: &Progress,
    ) -> impl Future<Output = Result<Batch, StoreError>>;

    /// Writes the announced entry VMs of `zone`; returns the era in which they were written, if the
    /// store names it.
    fn announce(
        &mut self,
        zone: &str,
        bytes: &[u8],
    ) -> impl Future<Output = Result<Option<u64>, StoreError>>;

    /// Decodes a record.
    fn decode(record: &Record) -> Item;

    /// Returns another client, for concurrent calls.
    #[must_use]
    fn new_client(&self) -> Self;
}
