//! Threads that watch the platform's store while this daemon is a watcher of its zone.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use event::Event;
use rand::Rng as _;
use store::{
    Backoff, CONFIG_KEY, Client, ConfigRecord, KEYS_PREFIX, KeysRecord, Meter, Purpose, StoreError,
    Written, keys_key,
};
use timer::Moment;
use wire::keyring::{Keyring, Record};
use wire::view::Config;

use crate::handler::Shared;
use crate::leases;
use crate::lend_ordinal;
use crate::state::Change;

/// Time for which a watch of the key records waits for a change, in milliseconds. A response without
/// a change since the records were last read proves freshness as of its request.
const KEYS_WATCH_MS: u64 = 250;

/// Time for which other watches wait for a change, in milliseconds.
const WATCH_MS: u64 = 5_000;

/// Interval at which an idle thread checks whether to watch, in milliseconds.
const IDLE_MS: u64 = 100;

/// Maximum random delay of the first call, in milliseconds.
const START_JITTER_MS: u64 = 300;

/// Maximum random delay before withdrawals are written, in milliseconds.
const SAVE_JITTER_MS: u64 = 2_000;

/// Base URL of the platform's service and the meter of its calls.
#[derive(Debug, Clone)]
pub struct Platform {
    base: String,
    meter: Arc<Meter>,
}

impl Platform {
    /// Creates a factory of clients for the service at `base`.
    #[must_use]
    pub fn new(base: &str, meter: Arc<Meter>) -> Self {
        Self {
            base: base.to_owned(),
            meter,
        }
    }

    /// Returns a client whose calls are counted for `purpose`.
    #[must_use]
    pub fn client(&self, purpose: Purpose) -> Client {
        Client::new(&self.base).with_meter(purpose, Arc::clone(&self.meter))
    }

    /// Starts all threads and returns the thread that maintains the leases, which ends soon after
    /// `stopping` is set.
    pub fn start(&self, shared: &Arc<Shared>, stopping: &Arc<AtomicBool>) -> JoinHandle<()> {
        for purpose in [
            Purpose::Config,
            Purpose::Keys,
            Purpose::Vms,
            Purpose::Withdrawal,
        ] {
            let client = self.client(purpose);
            let shared = Arc::clone(shared);
            let stopping = Arc::clone(stopping);
            thread::spawn(move || watch(purpose, &client, &shared, &stopping));
        }
        let client = self.client(Purpose::Share);
        let (ordinal_shared, ordinal_stopping) = (Arc::clone(shared), Arc::clone(stopping));
        thread::spawn(move || lend_ordinal::run(&ordinal_shared, &client, &ordinal_stopping));
        let client = self.client(Purpose::Leader);
        let shared = Arc::clone(shared);
        let stopping = Arc::clone(stopping);
        thread::spawn(move || leases::run(&shared, &client, &stopping))
    }
}

fn watch(purpose: Purpose, client: &Client, shared: &Shared, stopping: &AtomicBool) {
    let mut index = 0;
    let mut backoff = Backoff::new();
    pause(rand::rng().random_range(0..START_JITTER_MS));
    while !stopping.load(Ordering::Relaxed) {
        let requested_at = shared.timer().now();
        if !shared.lock().is_watching(requested_at) {
            pause(IDLE_MS);
            continue;
        }
        let outcome = match purpose {
            Purpose::Config => watch_config(client, shared, index),
            Purpose::Keys => watch_keys(client, shared, index, requested_at),
            Purpose::Vms => watch_vms(client, shared, index),
            _ => save_withdrawals(client, shared),
        };
        note_outcome(purpose, shared, outcome.as_ref().err());
        match outcome {
            Ok(next) => {
                backoff.reset();
                index = next;
            }
            Err(_) => pause(backoff.fail(&mut rand::rng())),
        }
    }
}

fn watch_config(client: &Client, shared: &Shared, index: u64) -> Result<u64, StoreError> {
    let found = client.watch::<ConfigRecord>(CONFIG_KEY, index, WATCH_MS)?;
    if let Some(record) = found.value {
        let config = Config {
            revision: record.revision,
            text: record.text,
        };
        let change = shared.lock().apply_config(&config);
        shared.log(change, "platform");
    }
    Ok(found.index)
}

fn watch_keys(
    client: &Client,
    shared: &Shared,
    index: u64,
    requested_at: Moment,
) -> Result<u64, StoreError> {
    if client.watch_index(KEYS_PREFIX, index, KEYS_WATCH_MS)? == index {
        shared.lock().note_platform_read(requested_at);
        return Ok(index);
    }
    let requested_at = shared.timer().now();
    let found = client.watch_prefix::<KeysRecord>(KEYS_PREFIX, 1, 0)?;
    let shards = found.items.into_iter();
    let records = shards.flat_map(|shard| shard.value.records).collect();
    let change = Change {
        keys: shared
            .lock()
            .merge_saved_keys(&Keyring { records }, requested_at),
        ..Change::default()
    };
    shared.log(change, "platform");
    Ok(found.index)
}

fn watch_vms(client: &Client, shared: &Shared, index: u64) -> Result<u64, StoreError> {
    let found = client.vms(index, WATCH_MS)?;
    let now = shared.timer().now();
    let vms = found.value.unwrap_or_default();
    shared.lock().apply_vms(&vms, found.index, now);
    Ok(found.index)
}

/// Writes withdrawals to the platform that only the daemons have.
fn save_withdrawals(client: &Client, shared: &Shared) -> Result<u64, StoreError> {
    pause(rand::rng().random_range(IDLE_MS..SAVE_JITTER_MS));
    let unsaved = shared.lock().unsaved();
    for record in &unsaved {
        save(client, record)?;
    }
    Ok(0)
}

/// Writes one withdrawal. Writing it twice is harmless; after a conflict or a lost response the
/// next call of [`save_withdrawals`] writes it again if it is missing.
fn save(client: &Client, record: &Record) -> Result<(), StoreError> {
    let key = keys_key(&record.hash);
    let found = client.watch::<KeysRecord>(&key, 1, 0)?;
    let mut keys = found.value.unwrap_or_default();
    let known = keys
        .records
        .iter_mut()
        .find(|known| known.hash == record.hash);
    match known {
        Some(known) if known.withdrawn => return Ok(()),
        Some(known) => known.withdrawn = true,
        None => keys.records.push(record.clone()),
    }
    match client.compare_and_set(&key, found.version, &keys)? {
        Written::Done | Written::Conflict => Ok(()),
    }
}

fn note_outcome(purpose: Purpose, shared: &Shared, error: Option<&StoreError>) {
    if error == Some(&StoreError::OverBudget) || purpose == Purpose::Withdrawal {
        return;
    }
    let now = shared.timer().now();
    if !shared.lock().note_store(error.is_none(), now) {
        return;
    }
    event::emit(&match error {
        None => Event::StoreReachable {},
        Some(error) => Event::StoreUnreachable {
            purpose: purpose.name().to_owned(),
            error: error.to_string(),
        },
    });
}

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}
