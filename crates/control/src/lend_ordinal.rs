//! Ordinals: each entitles one VM of a zone to a base share.
//!
//! The ordinals of a zone are stored in the platform's service and changed by compare-and-set. A
//! partitioned VM keeps its ordinal. An ordinal passes to another VM only if its holder has been
//! missing from the platform's list of VMs for [`HOLD_MS`].

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use rand::Rng as _;
use serde::{Deserialize, Serialize};
use store::{Client, StoreError, Written};
use timer::Moment;
use wire::lend::Ordinal;

use crate::handler::Shared;

#[cfg(test)]
mod tests;

/// Prefix of the keys that store the ordinals of each zone.
const ORDINAL_PREFIX: &str = "teaseldoor/seat/";

/// Interval at which the ordinals are read, in milliseconds.
const POLL_MS: u64 = 1_000;

/// Maximum random delay added to the interval, in milliseconds.
const JITTER_MS: u64 = 200;

/// Time for which an ordinal is kept after its holder has disappeared from the list, in milliseconds.
pub const HOLD_MS: u64 = 30_000;

/// The ordinals of one zone, as stored in JSON.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ordinals {
    /// Names of the VMs that hold the ordinals, without duplicates.
    pub holders: Vec<String>,
}

/// Holders of ordinals that are missing from the platform's list of VMs.
#[derive(Debug, Clone, Default)]
pub struct Absences {
    /// Moments at which holders were first found missing.
    missing: BTreeMap<String, Moment>,
}

/// Next action on the ordinals.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Plan {
    /// The VM holds an ordinal.
    Held,
    /// No ordinal is available for the VM.
    Wait,
    /// The ordinals to write; the VM holds one of them afterwards.
    Claim(Ordinals),
}

impl Absences {
    /// Returns the action for VM `name` at `now`. `count` is the number of the zone's ordinals,
    /// `listed` are the VMs in the platform's list.
    pub fn plan(
        &mut self,
        name: &str,
        ordinals: &Ordinals,
        count: usize,
        listed: &BTreeSet<String>,
        now: Moment,
    ) -> Plan {
        self.note_missing(ordinals, listed, now);
        if ordinals
            .holders
            .iter()
            .take(count)
            .any(|holder| holder == name)
        {
            return Plan::Held;
        }
        if !listed.contains(name) {
            return Plan::Wait;
        }
        let mut holders = ordinals.holders.clone();
        holders.retain(|holder| holder != name && !self.is_expired(holder, now));
        if holders.len() >= count {
            return Plan::Wait;
        }
        holders.push(name.to_owned());
        Plan::Claim(Ordinals { holders })
    }

    fn note_missing(&mut self, ordinals: &Ordinals, listed: &BTreeSet<String>, now: Moment) {
        let is_missing = |holder: &&String| !listed.contains(*holder);
        let missing = ordinals.holders.iter().filter(is_missing);
        let since = |holder: &String| {
            let since = self.missing.get(holder).copied().unwrap_or(now);
            (holder.clone(), since)
        };
        self.missing = missing.map(since).collect();
    }

    fn is_expired(&self, holder: &str, now: Moment) -> bool {
        let since = self.missing.get(holder);
        since.is_some_and(|since| now.ms_since(*since) >= HOLD_MS)
    }
}

/// Claims an ordinal for this VM and notes it for its gate, until `stopping`.
pub fn run(shared: &Shared, client: &Client, stopping: &AtomicBool) {
    let (name, zone) = shared.lock().identity();
    let key = format!("{ORDINAL_PREFIX}{zone}");
    let mut absences = Absences::default();
    // Number of ordinals at the time when this VM was found to hold one.
    let mut held_count = None;
    while !stopping.load(Ordering::Relaxed) {
        let count = shared.ledger().ordinals();
        if held_count != Some(count)
            && let Ok(ordinal) = poll(shared, client, &key, &name, count, &mut absences)
        {
            shared.ledger().note_ordinal(ordinal);
            held_count = (ordinal == Ordinal::Held).then_some(count);
        }
        let pause_ms = POLL_MS + rand::rng().random_range(0..JITTER_MS);
        thread::sleep(Duration::from_millis(pause_ms));
    }
}

/// Reads the ordinals once and claims one if available. If the response to a claim is lost, the
/// next poll finds the claim.
fn poll(
    shared: &Shared,
    client: &Client,
    key: &str,
    name: &str,
    count: usize,
    absences: &mut Absences,
) -> Result<Ordinal, StoreError> {
    if count == 0 {
        return Ok(Ordinal::Unknown);
    }
    let found = client.read::<Ordinals>(key)?;
    let ordinals = found.value.unwrap_or_default();
    let (listed, now) = {
        let state = shared.lock();
        (state.listed_names(), shared.timer().now())
    };
    match absences.plan(name, &ordinals, count, &listed, now) {
        Plan::Held => Ok(Ordinal::Held),
        Plan::Wait => Ok(Ordinal::Missing),
        Plan::Claim(ordinals) => {
            let written = client.compare_and_set(key, found.version, &ordinals)?;
            Ok(match written {
                Written::Done => Ordinal::Held,
                Written::Conflict => Ordinal::Unknown,
            })
        }
    }
}
