//! Key records in the platform's service.

use std::thread;
use std::time::{Duration, Instant};

use store::{KEYS_PREFIX, KeysRecord, StoreError, Written, keys_key};
use wire::keyring::{Hash, Record};

use crate::platform::{Platform, RESOLVE_MS, RETRY_MS};

/// Number of bytes of the hash in an id.
const ID_BYTES: usize = 8;

/// Returns the id of the key with hash `hash`. The hash is keyed, so the id reveals nothing about
/// the key.
pub fn id(hash: &Hash) -> String {
    let digits = hash[..ID_BYTES].iter().map(|byte| format!("{byte:02x}"));
    format!("k{}", digits.collect::<String>())
}

/// Reads all records.
pub fn read(platform: &Platform) -> Result<Vec<Record>, StoreError> {
    let found = platform.read_prefix::<KeysRecord>(KEYS_PREFIX)?;
    let shards = found.items.into_iter();
    Ok(shards.flat_map(|shard| shard.value.records).collect())
}

/// Writes `record`, or updates the existing record with the same hash. A withdrawn record stays
/// withdrawn. The write is idempotent, so it is retried from the read after a lost response or a
/// conflict.
pub fn write(platform: &Platform, record: &Record) -> Result<(), StoreError> {
    let deadline = Instant::now() + Duration::from_millis(RESOLVE_MS);
    loop {
        let error = match write_once(platform, record) {
            Ok(Written::Done) => return Ok(()),
            Ok(Written::Conflict) => {
                StoreError::Unanswered("other writes were applied first".into())
            }
            Err(error) => error,
        };
        if Instant::now() >= deadline {
            return Err(error);
        }
        thread::sleep(Duration::from_millis(RETRY_MS));
    }
}

fn write_once(platform: &Platform, record: &Record) -> Result<Written, StoreError> {
    let shard = keys_key(&record.hash);
    let found = platform.read::<KeysRecord>(&shard)?;
    let mut keys = found.value.unwrap_or_default();
    let existing = keys.records.iter_mut().find(|k| k.hash == record.hash);
    match existing {
        Some(existing) if existing.withdrawn || !record.withdrawn => return Ok(Written::Done),
        Some(existing) => existing.withdrawn = true,
        None => keys.records.push(record.clone()),
    }
    let client = platform.client();
    client.compare_and_set(&shard, found.version, &keys)
}
