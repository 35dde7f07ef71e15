//! Handing a stopping gate's operations to another VM.
//!
//! The stopping VM's control daemon picks a successor, gives it the operations, and only then
//! writes at the platform who answers for them. The successor's gate never runs an operation that
//! it was handed, so nothing depends on when it learns of them: until then it says that the
//! outcome is unknown.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use store::{Client, StoreError, Written};
use tokio::sync::watch;
use tokio::task::spawn_blocking;
use tokio::time::timeout;
use wire::handover::{Handover, Numbered};
use wire::view::{Entry, MemberState};
use wire::{Pool, Vm};

use crate::handler::Shared;
use crate::rendezvous;

/// Longest time that a successor may take to answer, in milliseconds.
const ADOPT_MS: u64 = 2_000;

/// Successors that are tried.
const MAX_SUCCESSORS: usize = 3;

/// Longest time that the daemon's own gate may take to fetch a handover, in milliseconds.
const FETCH_MS: u64 = 1_500;

/// Handovers on their way to the daemon's own gate.
#[derive(Debug, Default)]
pub struct Adoptions {
    waiting: Mutex<Waiting>,
    /// Number of the latest that the gate has.
    taken: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Waiting {
    /// Number of the latest.
    latest: u64,
    /// Those that the gate has not reported, in the order of their numbers.
    handovers: Vec<Numbered>,
}

impl Adoptions {
    /// Takes a handover, waits until the gate has it, and returns whether it does.
    pub async fn deliver(&self, handover: Handover) -> bool {
        let number = self.push(handover);
        let mut taken = self.taken.subscribe();
        let limit = Duration::from_millis(FETCH_MS);
        let fetched = timeout(limit, taken.wait_for(|taken| *taken >= number)).await;
        matches!(fetched, Ok(Ok(_)))
    }

    fn push(&self, handover: Handover) -> u64 {
        let mut waiting = self.lock();
        waiting.latest += 1;
        let number = waiting.latest;
        waiting.handovers.push(Numbered { number, handover });
        number
    }

    /// Returns what the gate lacks that has taken all up to `taken`.
    pub fn after(&self, taken: u64) -> Vec<Numbered> {
        self.taken.send_replace(taken);
        let mut waiting = self.lock();
        waiting.handovers.retain(|one| one.number > taken);
        waiting.handovers.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Gives `handover` to a successor and writes down who that is. Returns whether both succeeded.
pub async fn hand_over(shared: &Shared, pool: &Pool, client: &Client, handover: Handover) -> bool {
    for successor in successors(shared).into_iter().take(MAX_SUCCESSORS) {
        let copy = handover.clone();
        let limit = Duration::from_millis(ADOPT_MS);
        let adopted = pool.call(successor.peer, limit, async |client, context| {
            client.adopt(context, copy).await
        });
        if let Ok(Some(heir)) = adopted.await {
            let client = client.clone();
            let from = handover.from.clone();
            let written = spawn_blocking(move || write_heir(&client, &from, &heir)).await;
            return matches!(written, Ok(Ok(())));
        }
    }
    false
}

/// Reads which VM answers for the operations of a gate that has stopped.
pub async fn heir(client: &Client, owner: Vm) -> Option<Vm> {
    let client = client.clone();
    let read = spawn_blocking(move || client.read::<Vm>(&key(&owner))).await;
    read.ok()?.ok()?.value
}

/// Returns the VMs that stay, those of the own zone first.
fn successors(shared: &Shared) -> Vec<Entry> {
    let state = shared.lock();
    let (own, zone) = state.identity();
    let entries = state.entries(shared.timer().now());
    let stays = |entry: &&Entry| entry.state == MemberState::Live && entry.name != own;
    let names = entries
        .iter()
        .filter(stays)
        .map(|entry| entry.name.as_str());
    let order = rendezvous::order(&own, names);
    let entry = |name: &str| entries.iter().find(|entry| entry.name == name).cloned();
    let mut successors: Vec<Entry> = order.into_iter().filter_map(entry).collect();
    successors.sort_by_key(|entry| entry.zone != zone);
    successors
}

/// Writes the heir down. A handover in parts names one heir; a part that went elsewhere is lost,
/// and its operations are then unknown.
fn write_heir(client: &Client, from: &Vm, heir: &Vm) -> Result<(), StoreError> {
    let found = client.read::<Vm>(&key(from))?;
    if found.value.as_ref() == Some(heir) {
        return Ok(());
    }
    match client.compare_and_set(&key(from), found.version, heir)? {
        Written::Done => Ok(()),
        Written::Conflict => Err(StoreError::Refused(409)),
    }
}

fn key(owner: &Vm) -> String {
    format!("teaseldoor/heir/{}.{}", owner.name, owner.incarnation)
}
