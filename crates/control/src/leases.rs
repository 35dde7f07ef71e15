//! Acquisition and renewal of leader leases.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use store::{Acquired, Client, Lock, Renewed, Session, StoreError};
use timer::Moment;

use crate::handler::Shared;
use crate::leader::{Holder, Step, TERM_MS};
use crate::view::Scope;

/// Prefix of the keys of leases.
const LEADER_PREFIX: &str = "teaseldoor/lead/";

/// Name of the fleet's lease; the other leases are named after their zones.
const FLEET: &str = "_fleet";

/// Interval at which the leases are checked for due calls, in milliseconds.
const TICK_MS: u64 = 100;

/// This daemon's handle of one lease.
#[derive(Debug)]
struct Lease {
    scope: Scope,
    key: String,
    /// Name of this daemon's VM.
    name: String,
    session: Option<Session>,
}

/// Acquires and renews this daemon's leases until `stopping`, then releases them.
pub fn run(shared: &Arc<Shared>, client: &Client, stopping: &AtomicBool) {
    let (name, zone) = shared.lock().identity();
    let lease = |scope, key: &str| Lease {
        scope,
        key: format!("{LEADER_PREFIX}{key}"),
        name: name.clone(),
        session: None,
    };
    let mut leases = [lease(Scope::Zone, &zone), lease(Scope::Fleet, FLEET)];
    while !stopping.load(Ordering::Relaxed) {
        for lease in &mut leases {
            lease.tick(shared, client);
        }
        thread::sleep(Duration::from_millis(TICK_MS));
    }
    if shared.is_abandoned() {
        return;
    }
    for lease in &mut leases {
        lease.release(shared, client);
    }
}

impl Lease {
    fn tick(&mut self, shared: &Shared, client: &Client) {
        let now = shared.timer().now();
        let step = {
            let mut state = shared.lock();
            let rank = state.rank(self.scope, now);
            let holder = state.lease_holder(self.scope, now);
            if holder.is_some_and(|holder| state.is_unavailable(&holder.name)) {
                state.lease_mut(self.scope).forget_holder();
            }
            if state.is_leaving() {
                state.lease_mut(self.scope).lose(now);
            }
            state.lease_mut(self.scope).step(rank, now)
        };
        let outcome = match step {
            Step::Wait => return self.release_idle(shared, client, now),
            Step::TryAcquire => self.try_acquire(shared, client),
            Step::Renew => self.renew(shared, client),
        };
        if outcome.is_err() {
            let now = shared.timer().now();
            shared
                .lock()
                .lease_mut(self.scope)
                .fail(now, &mut rand::rng());
        }
    }

    /// Ends a session whose lease has ended.
    fn release_idle(&mut self, shared: &Shared, client: &Client, now: Moment) {
        if self.session.is_some() && shared.lock().leader_term(self.scope, now).is_none() {
            self.release(shared, client);
        }
    }

    /// Acquires the lease if no daemon holds it.
    fn try_acquire(&mut self, shared: &Shared, client: &Client) -> Result<(), StoreError> {
        let requested_at = shared.timer().now();
        let lock: Lock<String> = client.lock(&self.key)?;
        if lock.session.is_some() && lock.session != self.session {
            self.note_held(shared, lock, requested_at);
            return Ok(());
        }
        let requested_at = shared.timer().now();
        let session = self.renewed_session(client)?;
        let acquired = client.acquire(&self.key, &session, &self.name)?;
        let lock: Lock<String> = client.lock(&self.key)?;
        if acquired == Acquired::Held || lock.session.as_ref() != Some(&session) {
            self.note_held(shared, lock, requested_at);
            return Ok(());
        }
        let now = shared.timer().now();
        let mut state = shared.lock();
        state
            .lease_mut(self.scope)
            .acquire(&self.name, lock.epoch, requested_at, now);
        Ok(())
    }

    /// Returns a session that is created or renewed by this call.
    fn renewed_session(&mut self, client: &Client) -> Result<Session, StoreError> {
        if let Some(session) = &self.session
            && client.renew_session(session)? == Renewed::Done
        {
            return Ok(session.clone());
        }
        let session = client.create_session(&self.name, TERM_MS)?;
        self.session = Some(session.clone());
        Ok(session)
    }

    fn renew(&mut self, shared: &Shared, client: &Client) -> Result<(), StoreError> {
        let requested_at = shared.timer().now();
        let renewed = match &self.session {
            Some(session) => client.renew_session(session)?,
            None => Renewed::Ended,
        };
        let now = shared.timer().now();
        let mut state = shared.lock();
        match renewed {
            Renewed::Done => state.lease_mut(self.scope).renew(&self.name, requested_at),
            Renewed::Ended => {
                state.lease_mut(self.scope).lose(now);
                self.session = None;
            }
        }
        Ok(())
    }

    fn note_held(&self, shared: &Shared, lock: Lock<String>, requested_at: Moment) {
        let now = shared.timer().now();
        let mut state = shared.lock();
        let lease = state.lease_mut(self.scope);
        lease.fail(now, &mut rand::rng());
        if let Some(name) = lock.value {
            lease.note_holder(Holder {
                name,
                epoch: lock.epoch,
                seen_at: requested_at,
            });
        }
    }

    /// Stops acting as leader, then ends the session.
    fn release(&mut self, shared: &Shared, client: &Client) {
        let now = shared.timer().now();
        shared.lock().lease_mut(self.scope).lose(now);
        if let Some(session) = self.session.take() {
            let _ = client.end_session(&session);
        }
    }
}
