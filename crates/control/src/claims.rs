//! Claims of operations that must not repeat, many in one write.
//!
//! Each shard of operations has a home: the daemon that rendezvous hashing gives it. Other
//! daemons pass claims on to the home, which writes all that wait for the shard at once. That
//! keeps writes few and conflicts rare; safety rests on the compare-and-set alone, so a wrong
//! or missing home costs only writes.

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

/// Longest time that a shard's home may take to answer, in milliseconds.
const HOME_MS: u64 = 1_200;

/// Least time between two writes of one shard, in milliseconds.
const SHARD_GAP_MS: u64 = 500;

/// Most tries of a write that others race with.
const MAX_TRIES: usize = 4;

/// A claim that waits for its shard's next write.
#[derive(Debug)]
struct Waiting {
    id: Id,
    from: Vm,
    reply: oneshot::Sender<Response>,
}

/// Claims that wait at one shard.
#[derive(Debug, Default)]
struct Shard {
    waiting: Vec<Waiting>,
    /// True while a task writes the shard.
    busy: bool,
    written: Option<Instant>,
    /// The claims as this daemon last saw them. An owner never changes while its claim stands.
    known: once::Claims,
}

/// Claims that this daemon writes.
#[derive(Debug)]
pub struct Claims {
    client: Client,
    shards: Arc<Mutex<HashMap<u8, Shard>>>,
}

impl Claims {
    /// Creates claims that are written through `client`.
    #[must_use]
    pub fn new(client: Client) -> Self {
        Self {
            client,
            shards: Arc::default(),
        }
    }

    /// Returns the client through which claims are written.
    #[must_use]
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Claims an operation in the shard's next write.
    async fn claim(&self, ask: Request) -> Response {
        let id = Id(ask.operation);
        let number = shard_of(&id);
        let (reply, answer) = oneshot::channel();
        let from = ask.from;
        let start = {
            let mut shards = lock(&self.shards);
            let shard = shards.entry(number).or_default();
            if let Some(owner) = shard.known.owner(&id).filter(|owner| **owner != from) {
                return Response::Owner(owner.clone());
            }
            shard.waiting.push(Waiting { id, from, reply });
            !std::mem::replace(&mut shard.busy, true)
        };
        if start {
            let client = self.client.clone();
            tokio::spawn(write_waiting(number, client, Arc::clone(&self.shards)));
        }
        answer.await.unwrap_or(Response::Unavailable)
    }
}

/// Claims an operation, by way of its shard's home unless that is this daemon.
pub async fn claim(shared: &Shared, pool: &Pool, claims: &Claims, ask: Request) -> Response {
    if ask.relayed {
        return claims.claim(ask).await;
    }
    let Some(home) = home(shared, shard_of(&Id(ask.operation))) else {
        return claims.claim(ask).await;
    };
    let mut relayed = ask.clone();
    relayed.relayed = true;
    let limit = Duration::from_millis(HOME_MS);
    let outcome = pool
        .call(home.peer, limit, async |client, context| {
            client.claim(context, relayed).await
        })
        .await;
    match outcome {
        Ok(answer) if answer != Response::Unavailable => answer,
        _ => claims.claim(ask).await,
    }
}

/// Returns the home of a shard, or nothing if that is this daemon.
fn home(shared: &Shared, number: u8) -> Option<Entry> {
    let state = shared.lock();
    let (own, _) = state.identity();
    let entries = state.entries(shared.timer().now());
    let live = entries
        .iter()
        .filter(|entry| entry.state == MemberState::Live);
    let topic = format!("claims {number}");
    let order = rendezvous::order(&topic, live.map(|entry| entry.name.as_str()));
    let first = *order.first()?;
    let home = entries.iter().find(|entry| entry.name == first)?;
    (first != own).then(|| home.clone())
}

/// Writes the claims that wait at a shard until none is left.
async fn write_waiting(number: u8, client: Client, shards: Arc<Mutex<HashMap<u8, Shard>>>) {
    loop {
        let pause = lock(&shards).get(&number).and_then(pause);
        if let Some(pause) = pause {
            tokio::time::sleep(pause).await;
        }
        let waiting = {
            let mut shards = lock(&shards);
            let shard = shards.entry(number).or_default();
            if shard.waiting.is_empty() {
                shard.busy = false;
                return;
            }
            shard.written = Some(Instant::now());
            std::mem::take(&mut shard.waiting)
        };
        let client = client.clone();
        let write = tokio::task::spawn_blocking(move || write(number, &client, waiting));
        let known = write.await;
        let mut shards = lock(&shards);
        let shard = shards.entry(number).or_default();
        match known {
            Ok(Some(known)) => shard.known = known,
            Ok(None) => {}
            Err(_) => {
                shard.busy = false;
                return;
            }
        }
    }
}

fn pause(shard: &Shard) -> Option<Duration> {
    let gap = Duration::from_millis(SHARD_GAP_MS);
    gap.checked_sub(shard.written?.elapsed())
}

/// Writes the claims of `waiting`, answers them, and returns the shard's claims if they are known.
fn write(number: u8, client: &Client, waiting: Vec<Waiting>) -> Option<once::Claims> {
    let asks: Vec<(Id, Vm)> = waiting
        .iter()
        .map(|waiting| (waiting.id, waiting.from.clone()))
        .collect();
    let committed = commit(number, client, &asks).ok();
    for (index, waiting) in waiting.into_iter().enumerate() {
        let verdict = committed
            .as_ref()
            .map(|committed| &committed.verdicts[index]);
        let _ = waiting
            .reply
            .send(verdict.map_or(Response::Unavailable, answer));
    }
    committed.map(|committed| committed.claims)
}

fn answer(verdict: &Outcome) -> Response {
    match verdict {
        Outcome::Owner(vm) => Response::Owner(vm.clone()),
        Outcome::Full => Response::Full,
    }
}

/// A shard's claims with what came of the latest requests.
struct Committed {
    claims: once::Claims,
    /// One for each request, in their order.
    verdicts: Vec<Outcome>,
}

/// Claims all of `asks` in one compare-and-set. A write whose answer was lost is tried again: if
/// it took effect, the claims read back are the askers' own.
fn commit(number: u8, client: &Client, asks: &[(Id, Vm)]) -> Result<Committed, StoreError> {
    debug_assert!(number < SHARDS);
    let key = format!("teaseldoor/once/{number}");
    let mut last = Err(StoreError::Unanswered("others kept writing".to_owned()));
    for _ in 0..MAX_TRIES {
        let found = client.read::<once::Claims>(&key)?;
        let before = found.value.unwrap_or_default();
        let mut claims = before.clone();
        let now_unix_s = unix_s();
        claims.prune(now_unix_s);
        let verdicts: Vec<Outcome> = asks
            .iter()
            .map(|(id, from)| claims.claim(*id, from, now_unix_s))
            .collect();
        if claims == before {
            return Ok(Committed { claims, verdicts });
        }
        match client.compare_and_set(&key, found.version, &claims) {
            Ok(Written::Done) => return Ok(Committed { claims, verdicts }),
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
