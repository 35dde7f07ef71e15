//! Acquiring and renewing the leases of leads.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use store::{Acquired, Client, Lock, Renewed, Session, StoreError};
use timer::Moment;

use crate::handler::Shared;
use crate::leader::{Holder, Step, TERM_MS};
use crate::view::Scope;

/// Start of the keys of leases.
const LEAD_PREFIX: &str = "teaseldoor/lead/";

/// Name that stands for the fleet among the names of zones.
const FLEET: &str = "_fleet";

/// Time between two looks at what is due, in milliseconds.
const TICK_MS: u64 = 100;

/// One lease of one daemon.
#[derive(Debug)]
struct Lease {
    scope: Scope,
    key: String,
    /// Name of this daemon's VM.
    name: String,
    session: Option<Session>,
}

/// Keeps up this daemon's leases until `stopping`, then gives them back.
pub fn run(shared: &Arc<Shared>, client: &Client, stopping: &AtomicBool) {
    let (name, zone) = shared.lock().identity();
    let lease = |scope, key: &str| Lease {
        scope,
        key: format!("{LEAD_PREFIX}{key}"),
        name: name.clone(),
        session: None,
    };
    let mut leases = [lease(Scope::Zone, &zone), lease(Scope::Fleet, FLEET)];
    while !stopping.load(Ordering::Relaxed) {
        for lease in &mut leases {
            lease.act(shared, client);
        }
        thread::sleep(Duration::from_millis(TICK_MS));
    }
    if shared.is_abandoned() {
        return;
    }
    for lease in &mut leases {
        lease.give_back(shared, client);
    }
}

impl Lease {
    fn act(&mut self, shared: &Shared, client: &Client) {
        let now = shared.timer().now();
        let step = {
            let mut state = shared.lock();
            let rank = state.rank(self.scope, now);
            let holder = state.lead_holder(self.scope, now);
            if holder.is_some_and(|holder| state.distrusts(&holder.name)) {
                state.part_mut(self.scope).forget_holder();
            }
            if state.is_leaving() {
                state.part_mut(self.scope).lose(now);
            }
            state.part_mut(self.scope).step(rank, now)
        };
        let outcome = match step {
            Step::Wait => return self.drop_idle(shared, client, now),
            Step::Look => self.look(shared, client),
            Step::Renew => self.renew(shared, client),
        };
        if outcome.is_err() {
            let now = shared.timer().now();
            shared
                .lock()
                .part_mut(self.scope)
                .fail(now, &mut rand::rng());
        }
    }

    /// Ends a session that holds nothing any more.
    fn drop_idle(&mut self, shared: &Shared, client: &Client, now: Moment) {
        if self.session.is_some() && shared.lock().lead(self.scope, now).is_none() {
            self.give_back(shared, client);
        }
    }

    /// Acquires the lease if nobody holds it.
    fn look(&mut self, shared: &Shared, client: &Client) -> Result<(), StoreError> {
        let asked = shared.timer().now();
        let lock: Lock<String> = client.lock(&self.key)?;
        if lock.session.is_some() && lock.session != self.session {
            self.note_held(shared, lock, asked);
            return Ok(());
        }
        let asked = shared.timer().now();
        let session = self.fresh_session(client)?;
        let acquired = client.acquire(&self.key, &session, &self.name)?;
        let lock: Lock<String> = client.lock(&self.key)?;
        if acquired == Acquired::Held || lock.session.as_ref() != Some(&session) {
            self.note_held(shared, lock, asked);
            return Ok(());
        }
        let now = shared.timer().now();
        let mut state = shared.lock();
        state
            .part_mut(self.scope)
            .acquire(&self.name, lock.epoch, asked, now);
        Ok(())
    }

    /// Returns a session whose term starts anew during this call.
    fn fresh_session(&mut self, client: &Client) -> Result<Session, StoreError> {
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
        let asked = shared.timer().now();
        let renewed = match &self.session {
            Some(session) => client.renew_session(session)?,
            None => Renewed::Ended,
        };
        let now = shared.timer().now();
        let mut state = shared.lock();
        match renewed {
            Renewed::Done => state.part_mut(self.scope).renew(&self.name, asked),
            Renewed::Ended => {
                state.part_mut(self.scope).lose(now);
                self.session = None;
            }
        }
        Ok(())
    }

    fn note_held(&self, shared: &Shared, lock: Lock<String>, asked: Moment) {
        let now = shared.timer().now();
        let mut state = shared.lock();
        let part = state.part_mut(self.scope);
        part.fail(now, &mut rand::rng());
        if let Some(name) = lock.value {
            part.hear(Holder {
                name,
                epoch: lock.epoch,
                seen_at: asked,
            });
        }
    }

    /// Stops acting as lead, then ends the session.
    fn give_back(&mut self, shared: &Shared, client: &Client) {
        let now = shared.timer().now();
        shared.lock().part_mut(self.scope).lose(now);
        if let Some(session) = self.session.take() {
            let _ = client.end_session(&session);
        }
    }
}
