//! Writes whose lost answers are settled by reading back.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::client::{Client, StoreError, Written};

/// A record by which a writer recognizes its own write.
pub trait Identified {
    /// Returns the random number of the write.
    fn write_id(&self) -> &str;
}

/// What became of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Done,
    /// Another write came first; it did not take effect and never will.
    Conflict,
    /// Neither is known; it may yet take effect.
    Unknown,
}

impl Client {
    /// Replaces a value if its version is still `version`, and settles a lost answer by reading
    /// the value back. The write is sent once.
    ///
    /// A value of another version without the write id means that the version has moved on, so
    /// that the write can no longer take effect, unless it did and was replaced since: the two
    /// cannot be told apart by one record, so this is reported as unknown. An unchanged version
    /// may mean that the write is still on its way, which is unknown too.
    ///
    /// # Errors
    ///
    /// Fails if the value cannot be serialized or the call was held back: nothing was sent.
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
