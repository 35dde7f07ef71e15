//! Writes whose outcome is determined by a read if the response is lost.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::client::{Client, StoreError, Written};

/// A record that carries the ID of the write that stored it.
pub trait Identified {
    /// Returns the random ID of the write.
    fn write_id(&self) -> &str;
}

/// Outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Done,
    /// Another write came first; this write did not take effect and never will.
    Conflict,
    /// The outcome is unknown; the write may still take effect.
    Unknown,
}

impl Client {
    /// Replaces a value if its version is still `version`. If the response is lost, reads the
    /// value to determine the outcome. The write is sent only once.
    ///
    /// If the value read has another version and another write ID, either the write did not take
    /// effect and never will, or it did and its value has been replaced since. One record cannot
    /// tell these cases apart, so the outcome is unknown. It is also unknown if the version has
    /// not changed, since the write may still arrive.
    ///
    /// # Errors
    ///
    /// Fails if the value cannot be serialized or the call budget is exhausted; nothing was sent.
    pub fn write_with_read_back<T: Serialize + DeserializeOwned + Identified>(
        &self,
        key: &str,
        version: u64,
        value: &T,
    ) -> Result<WriteOutcome, StoreError> {
        match self.compare_and_set(key, version, value) {
            Ok(Written::Done) => Ok(WriteOutcome::Done),
            Ok(Written::Conflict) => Ok(WriteOutcome::Conflict),
            Err(error @ StoreError::OverBudget) => Err(error),
            Err(_) => Ok(self.read_back(key, value)),
        }
    }

    fn read_back<T: DeserializeOwned + Identified>(&self, key: &str, value: &T) -> WriteOutcome {
        let found = self.watch::<T>(key, 1, 10);
        let record = found.ok().and_then(|found| found.value);
        match record {
            Some(record) if record.write_id() == value.write_id() => WriteOutcome::Done,
            _ => WriteOutcome::Unknown,
        }
    }
}
