//! Seats: each lets one VM of a zone use a standing share.
//!
//! The seats of a zone stand in the platform's service and change by compare-and-set. A VM that
//! is cut off keeps its seat. A seat passes to another VM only if the platform's list of VMs no
//! longer has its holder and a holding time has passed since.

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

/// Start of the keys that hold the seats of each zone.
const SEAT_PREFIX: &str = "teaseldoor/seat/";

/// Time between two looks, in milliseconds.
const LOOK_MS: u64 = 1_000;

/// Most seats' looks are put off by at random, in milliseconds.
const JITTER_MS: u64 = 200;

/// Time for which a seat is kept after its holder vanished from the list, in milliseconds.
pub const HOLD_MS: u64 = 30_000;

/// The seats of one zone.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seats {
    /// Names of the VMs that hold them; no name stands twice.
    pub holders: Vec<String>,
}

/// What a VM knows about the other holders of seats.
#[derive(Debug, Clone, Default)]
pub struct Watch {
    /// Since when holders were seen missing from the list.
    missing: BTreeMap<String, Moment>,
}

/// What to do about a seat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Plan {
    /// The VM has a seat.
    Have,
    /// There is none for it.
    Wait,
    /// These seats are to be written; the VM then has one.
    Claim(Seats),
}

impl Watch {
    /// Decides for VM `name` at `now`. `count` is the number of the zone's seats, `listed` are
    /// the VMs in the platform's list.
    pub fn plan(
        &mut self,
        name: &str,
        seats: &Seats,
        count: usize,
        listed: &BTreeSet<String>,
        now: Moment,
    ) -> Plan {
        self.note_missing(seats, listed, now);
        if seats
            .holders
            .iter()
            .take(count)
            .any(|holder| holder == name)
        {
            return Plan::Have;
        }
        if !listed.contains(name) {
            return Plan::Wait;
        }
        let mut holders = seats.holders.clone();
        holders.retain(|holder| holder != name && !self.is_gone(holder, now));
        if holders.len() >= count {
            return Plan::Wait;
        }
        holders.push(name.to_owned());
        Plan::Claim(Seats { holders })
    }

    fn note_missing(&mut self, seats: &Seats, listed: &BTreeSet<String>, now: Moment) {
        let is_missing = |holder: &&String| !listed.contains(*holder);
        let missing = seats.holders.iter().filter(is_missing);
        let since = |holder: &String| {
            let since = self.missing.get(holder).copied().unwrap_or(now);
            (holder.clone(), since)
        };
        self.missing = missing.map(since).collect();
    }

    fn is_gone(&self, holder: &str, now: Moment) -> bool {
        let since = self.missing.get(holder);
        since.is_some_and(|since| now.ms_since(*since) >= HOLD_MS)
    }
}

/// Claims a seat for this VM and tells its gate, until `stopping`.
pub fn run(shared: &Shared, client: &Client, stopping: &AtomicBool) {
    let (name, zone) = shared.lock().identity();
    let key = format!("{SEAT_PREFIX}{zone}");
    let mut watch = Watch::default();
    // The number of seats when this VM got its own.
    let mut seated = None;
    while !stopping.load(Ordering::Relaxed) {
        let count = shared.shares().seats();
        if seated != Some(count)
            && let Ok(seat) = look(shared, client, &key, &name, count, &mut watch)
        {
            shared.shares().note_seat(seat);
            seated = (seat == Ordinal::Held).then_some(count);
        }
        let pause_ms = LOOK_MS + rand::rng().random_range(0..JITTER_MS);
        thread::sleep(Duration::from_millis(pause_ms));
    }
}

/// Looks at the seats once and claims one if there is one to claim. A claim whose answer is lost
/// is found by the next look.
fn look(
    shared: &Shared,
    client: &Client,
    key: &str,
    name: &str,
    count: usize,
    watch: &mut Watch,
) -> Result<Ordinal, StoreError> {
    if count == 0 {
        return Ok(Ordinal::Unknown);
    }
    let found = client.read::<Seats>(key)?;
    let seats = found.value.unwrap_or_default();
    let (listed, now) = {
        let state = shared.lock();
        (state.listed_names(), shared.timer().now())
    };
    match watch.plan(name, &seats, count, &listed, now) {
        Plan::Have => Ok(Ordinal::Held),
        Plan::Wait => Ok(Ordinal::Missing),
        Plan::Claim(seats) => {
            let written = client.compare_and_set(key, found.version, &seats)?;
            Ok(match written {
                Written::Done => Ordinal::Held,
                Written::Conflict => Ordinal::Unknown,
            })
        }
    }
}
