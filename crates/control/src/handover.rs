//! Handover of a stopping gate's operations to another VM.
//!
//! The stopping VM's control daemon selects a successor, sends it the operations, and only then
//! records the successor in the platform's store. The successor's gate never runs an operation that
//! was handed over, so it may receive the operations at any time: until then it reports their
//! outcome as unknown.

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

/// Timeout for the response of a successor, in milliseconds.
const ADOPT_TIMEOUT_MS: u64 = 2_000;

/// Maximum number of successors that are contacted.
const MAX_SUCCESSORS: usize = 3;

/// Timeout for the daemon's own gate to fetch a handover, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 1_500;

/// Handovers to deliver to the daemon's own gate.
#[derive(Debug, Default)]
pub struct Adoptions {
    pending: Mutex<Pending>,
    /// Number of the latest handover that the gate has reported.
    acknowledged: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Pending {
    /// Number of the latest handover.
    latest: u64,
    /// Handovers that the gate has not reported, in the order of their numbers.
    handovers: Vec<Numbered>,
}

impl Adoptions {
    /// Delivers a handover to the gate and returns whether the gate reported it in time.
    pub async fn deliver(&self, handover: Handover) -> bool {
        let number = self.push(handover);
        let mut acknowledged = self.acknowledged.subscribe();
        let limit = Duration::from_millis(FETCH_TIMEOUT_MS);
        let fetched = timeout(
            limit,
            acknowledged.wait_for(|acknowledged| *acknowledged >= number),
        )
        .await;
        matches!(fetched, Ok(Ok(_)))
    }

    fn push(&self, handover: Handover) -> u64 {
        let mut pending = self.lock();
        pending.latest += 1;
        let number = pending.latest;
        pending.handovers.push(Numbered { number, handover });
        number
    }

    /// Notes that the gate has all handovers up to `acknowledged` and returns the others.
    pub fn after(&self, acknowledged: u64) -> Vec<Numbered> {
        self.acknowledged.send_replace(acknowledged);
        let mut pending = self.lock();
        pending
            .handovers
            .retain(|numbered| numbered.number > acknowledged);
        pending.handovers.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends `handover` to a successor and records the successor. Returns whether both succeeded.
pub async fn hand_over(shared: &Shared, pool: &Pool, client: &Client, handover: Handover) -> bool {
    for successor in successors(shared).into_iter().take(MAX_SUCCESSORS) {
        let copy = handover.clone();
        let limit = Duration::from_millis(ADOPT_TIMEOUT_MS);
        let adopted = pool.call(successor.peer, limit, async |client, context| {
            client.adopt(context, copy).await
        });
        if let Ok(Some(gate)) = adopted.await {
            let client = client.clone();
            let from = handover.from.clone();
            let written = spawn_blocking(move || write_successor(&client, &from, &gate)).await;
            return matches!(written, Ok(Ok(())));
        }
    }
    false
}

/// Reads the successor of the stopped gate `owner`.
pub async fn read_successor(client: &Client, owner: Vm) -> Option<Vm> {
    let client = client.clone();
    let read = spawn_blocking(move || client.read::<Vm>(&key(&owner))).await;
    read.ok()?.ok()?.value
}

/// Returns the other live VMs, those of the same zone first.
fn successors(shared: &Shared) -> Vec<Entry> {
    let state = shared.lock();
    let (own, zone) = state.identity();
    let entries = state.entries(shared.timer().now());
    let is_candidate = |entry: &&Entry| entry.state == MemberState::Live && entry.name != own;
    let names = entries
        .iter()
        .filter(is_candidate)
        .map(|entry| entry.name.as_str());
    let order = rendezvous::order(&own, names);
    let entry = |name: &str| entries.iter().find(|entry| entry.name == name).cloned();
    let mut successors: Vec<Entry> = order.into_iter().filter_map(entry).collect();
    successors.sort_by_key(|entry| entry.zone != zone);
    successors
}

/// Records the successor. All parts of a handover share one successor; a part that was sent to
/// another VM is lost, and the outcome of its operations is then unknown.
fn write_successor(client: &Client, from: &Vm, successor: &Vm) -> Result<(), StoreError> {
    let found = client.read::<Vm>(&key(from))?;
    if found.value.as_ref() == Some(successor) {
        return Ok(());
    }
    match client.compare_and_set(&key(from), found.version, successor)? {
        Written::Done => Ok(()),
        Written::Conflict => Err(StoreError::Refused(409)),
    }
}

fn key(owner: &Vm) -> String {
    format!("teaseldoor/heir/{}.{}", owner.name, owner.incarnation)
}
