//! Claims of operations that must run at most once, batched into few writes.
//!
//! Each shard of operations has a preferred writer: the daemon selected by rendezvous hashing. Other
//! daemons forward claims to it, and it writes all pending claims of the shard at once. This keeps
//! writes few and conflicts rare. Safety depends only on the compare-and-set, so a wrong or
//! unreachable preferred writer merely costs additional writes.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use once::{Id, Outcome, SHARDS, shard_of};
use store::{Client, StoreError, Written};
use tokio::sync::oneshot;
use wire::claim::{Request, Response};
use wire::view::{Entry, MemberState};
use wire::{Pool, Vm};

use crate::handler::Shared;
use crate::rendezvous;

/// Timeout for the response of a shard's preferred writer, in milliseconds.
const FORWARD_TIMEOUT_MS: u64 = 1_200;

/// Minimum interval between two writes of one shard, in milliseconds.
const WRITE_INTERVAL_MS: u64 = 500;

/// Maximum number of attempts of a write that conflicts with other writers.
const MAX_ATTEMPTS: usize = 4;

/// A claim to include in its shard's next write.
#[derive(Debug)]
struct PendingClaim {
    id: Id,
    from: Vm,
    reply: oneshot::Sender<Response>,
}

/// Pending and known claims of one shard.
#[derive(Debug, Default)]
struct Shard {
    pending: Vec<PendingClaim>,
    /// Whether a task is writing the shard.
    writing: bool,
    written_at: Option<Instant>,
    /// The claims as last read or written by this daemon. An owner never changes while its claim
    /// exists.
    known: once::Claims,
}

/// Claims written by this daemon.
#[derive(Debug)]
pub struct Claims {
    client: Client,
    shards: Arc<Mutex<HashMap<u8, Shard>>>,
}

impl Claims {
    /// Creates claims written with `client`.
    #[must_use]
    pub fn new(client: Client) -> Self {
        Self {
            client,
            shards: Arc::default(),
        }
    }

    /// Returns the client with which claims are written.
    #[must_use]
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Claims an operation with the next write of its shard.
    async fn claim(&self, request: Request) -> Response {
        let id = Id(request.operation);
        let number = shard_of(&id);
        let (reply, response) = oneshot::channel();
        let from = request.from;
        let start = {
            let mut shards = lock(&self.shards);
            let shard = shards.entry(number).or_default();
            if let Some(owner) = shard.known.owner(&id).filter(|owner| **owner != from) {
                return Response::Owner(owner.clone());
            }
            shard.pending.push(PendingClaim { id, from, reply });
            !std::mem::replace(&mut shard.writing, true)
        };
        if start {
            let client = self.client.clone();
            tokio::spawn(write_pending(number, client, Arc::clone(&self.shards)));
        }
        response.await.unwrap_or(Response::Unavailable)
    }
}

/// Claims an operation, through its shard's preferred writer unless that is this daemon.
pub async fn claim(shared: &Shared, pool: &Pool, claims: &Claims, request: Request) -> Response {
    if request.relayed {
        return claims.claim(request).await;
    }
    let Some(preferred_writer) = preferred_writer(shared, shard_of(&Id(request.operation))) else {
        return claims.claim(request).await;
    };
    let mut relayed = request.clone();
    relayed.relayed = true;
    let limit = Duration::from_millis(FORWARD_TIMEOUT_MS);
    let outcome = pool
        .call(preferred_writer.peer, limit, async |client, context| {
            client.claim(context, relayed).await
        })
        .await;
    match outcome {
        Ok(response) if response != Response::Unavailable => response,
        _ => claims.claim(request).await,
    }
}

/// Returns the preferred writer of a shard; `None` if that is this daemon.
fn preferred_writer(shared: &Shared, number: u8) -> Option<Entry> {
    let state = shared.lock();
    let (own, _) = state.identity();
    let entries = state.entries(shared.timer().now());
    let live = entries
        .iter()
        .filter(|entry| entry.state == MemberState::Live);
    let topic = format!("claims {number}");
    let order = rendezvous::order(&topic, live.map(|entry| entry.name.as_str()));
    let first = *order.first()?;
    let preferred_writer = entries.iter().find(|entry| entry.name == first)?;
    (first != own).then(|| preferred_writer.clone())
}

/// Writes a shard's pending claims until none is left.
async fn write_pending(number: u8, client: Client, shards: Arc<Mutex<HashMap<u8, Shard>>>) {
    loop {
        let pause = lock(&shards).get(&number).and_then(pause);
        if let Some(pause) = pause {
            tokio::time::sleep(pause).await;
        }
        let pending = {
            let mut shards = lock(&shards);
            let shard = shards.entry(number).or_default();
            if shard.pending.is_empty() {
                shard.writing = false;
                return;
            }
            shard.written_at = Some(Instant::now());
            std::mem::take(&mut shard.pending)
        };
        let client = client.clone();
        let write = tokio::task::spawn_blocking(move || write(number, &client, pending));
        let known = write.await;
        let mut shards = lock(&shards);
        let shard = shards.entry(number).or_default();
        match known {
            Ok(Some(known)) => shard.known = known,
            Ok(None) => {}
            Err(_) => {
                shard.writing = false;
                return;
            }
        }
    }
}

fn pause(shard: &Shard) -> Option<Duration> {
    let interval = Duration::from_millis(WRITE_INTERVAL_MS);
    interval.checked_sub(shard.written_at?.elapsed())
}

/// Writes the claims of `pending`, sends their responses, and returns the shard's claims if known.
fn write(number: u8, client: &Client, pending: Vec<PendingClaim>) -> Option<once::Claims> {
    let requests: Vec<(Id, Vm)> = pending
        .iter()
        .map(|pending| (pending.id, pending.from.clone()))
        .collect();
    let committed = commit(number, client, &requests).ok();
    for (index, pending) in pending.into_iter().enumerate() {
        let outcome = committed
            .as_ref()
            .map(|committed| &committed.outcomes[index]);
        let _ = pending
            .reply
            .send(outcome.map_or(Response::Unavailable, response));
    }
    committed.map(|committed| committed.claims)
}

fn response(outcome: &Outcome) -> Response {
    match outcome {
        Outcome::Owner(vm) => Response::Owner(vm.clone()),
        Outcome::Full => Response::Full,
    }
}

/// A shard's claims with the outcomes of the latest requests.
struct Committed {
    claims: once::Claims,
    /// One outcome for each request, in the same order.
    outcomes: Vec<Outcome>,
}

/// Claims all of `requests` in one compare-and-set. A write whose response was lost is retried: if
/// it took effect, the claims read back belong to the requesters.
fn commit(number: u8, client: &Client, requests: &[(Id, Vm)]) -> Result<Committed, StoreError> {
    debug_assert!(number < SHARDS);
    let key = format!("teaseldoor/once/{number}");
    let mut last = Err(StoreError::Unanswered(
        "too many conflicting writes".to_owned(),
    ));
    for _ in 0..MAX_ATTEMPTS {
        let found = client.read::<once::Claims>(&key)?;
        let before = found.value.unwrap_or_default();
        let mut claims = before.clone();
        let now_unix_s = unix_s();
        claims.prune(now_unix_s);
        let outcomes: Vec<Outcome> = requests
            .iter()
            .map(|(id, from)| claims.claim(*id, from, now_unix_s))
            .collect();
        if claims == before {
            return Ok(Committed { claims, outcomes });
        }
        match client.compare_and_set(&key, found.version, &claims) {
            Ok(Written::Done) => return Ok(Committed { claims, outcomes }),
            Ok(Written::Conflict) => {}
            Err(error) => last = Err(error),
        }
    }
    last
}

fn lock(shards: &Mutex<HashMap<u8, Shard>>) -> MutexGuard<'_, HashMap<u8, Shard>> {
    shards.lock().unwrap_or_else(PoisonError::into_inner)
}

fn unix_s() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_secs()
}
