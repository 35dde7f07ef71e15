//! Known backend servers and evacuated zones.
//!
//! Registrations expire during an outage of the store although the backend servers are still
//! running. A registration that is missing after an outage is therefore kept for [`REJOIN_GRACE`];
//! at any other time a removal takes effect immediately.

use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::server::{Phase, Registration, Server, ServerId};

/// Time after an outage of the store within which running backend servers register again: two
/// seconds by the platform's documentation, plus part of a heartbeat interval.
pub const REJOIN_GRACE: Duration = Duration::from_millis(2_200);

/// Number of removed servers whose last registration is remembered.
const MAX_GONE: usize = 4_096;

/// Backend servers and evacuated zones.
#[derive(Debug, Default)]
pub struct Roster {
    servers: HashMap<ServerId, Server>,
    evacuated: HashSet<String>,
    /// Servers whose registration is missing after an outage, and when they are removed.
    missing: HashMap<ServerId, Instant>,
    /// Until when missing registrations are attributed to an outage.
    rejoin_until: Option<Instant>,
    /// Last registrations of removed servers. A store that was restored from an older copy has earlier
    /// ones.
    gone: HashMap<ServerId, Registration>,
    /// Names of the removed servers, the latest last.
    gone_order: VecDeque<ServerId>,
    /// Whether the store was restored from an older copy.
    is_restored: bool,
}

/// Effect of a registration on the roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// No effect: an old or duplicate heartbeat.
    Unchanged,
    /// A later heartbeat of the known incarnation without news.
    Heartbeat,
    /// A later heartbeat of the known incarnation with news.
    Updated,
    /// A new incarnation.
    Joined,
    /// The server no longer accepts new requests.
    Draining,
}

impl Roster {
    /// Returns the backend server `id`.
    #[must_use]
    pub fn server(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Returns all backend servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Returns whether `zone` is evacuated, so that it gets no requests.
    #[must_use]
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.contains(zone)
    }

    /// Returns the evacuated zones.
    pub fn evacuated(&self) -> impl Iterator<Item = &String> {
        self.evacuated.iter()
    }

    /// Sets whether `zone` is evacuated; returns whether this changed.
    pub fn set_evacuated(&mut self, zone: &str, evacuated: bool) -> bool {
        if evacuated {
            self.evacuated.insert(zone.to_owned())
        } else {
            self.evacuated.remove(zone)
        }
    }

    /// Notes that the store was restored from an older copy: it may have registrations of servers that
    /// left.
    pub fn note_restored(&mut self) {
        self.is_restored = true;
    }

    /// Returns whether a registration is outdated: older than the latest one of its server or, after a
    /// restore of the store, not newer than the last one of a removed server. With `may_be_copy`, every
    /// registration of a removed incarnation is outdated, even if it is newer than the last known one: later
    /// heartbeats may have been lost here. An incarnation that is alive sends another one.
    #[must_use]
    pub fn is_outdated(&self, id: &str, registration: &Registration, may_be_copy: bool) -> bool {
        if let Some(server) = self.servers.get(id) {
            return server.registration.is_newer_than(registration);
        }
        let last = self.gone.get(id).filter(|_| self.is_restored);
        last.is_some_and(|last| {
            let is_copy = may_be_copy && registration.born_ms <= last.born_ms;
            is_copy || !registration.is_newer_than(last)
        })
    }

    /// Applies a registration of the backend server `id`. A heartbeat older than the latest one is
    /// ignored, and a draining incarnation never becomes ready again. After a restore of the store, this
    /// also holds for servers that were removed.
    pub fn register(&mut self, id: &str, mut registration: Registration) -> Change {
        if !self.servers.contains_key(id) {
            if self.is_outdated(id, &registration, false) {
                return Change::Unchanged;
            }
            if let Some(last) = self.recall(id)
                && self.is_restored
                && last.born_ms == registration.born_ms
                && last.phase == Phase::Draining
            {
                registration.phase = Phase::Draining;
            }
        }
        let Some(server) = self.servers.get_mut(id) else {
            let id: ServerId = Rc::from(id);
            let change = joined_or_draining(&registration);
            self.servers
                .insert(Rc::clone(&id), Server { id, registration });
            return change;
        };
        let is_same_incarnation = server.registration.born_ms == registration.born_ms;
        let is_duplicate =
            is_same_incarnation && server.registration.sequence == registration.sequence;
        if !is_duplicate && !registration.is_newer_than(&server.registration) {
            return Change::Unchanged;
        }
        self.missing.remove(id);
        if is_duplicate && server.registration == registration {
            return Change::Unchanged;
        }
        let was_draining = server.registration.phase == Phase::Draining;
        if is_same_incarnation && was_draining {
            registration.phase = Phase::Draining;
        }
        let has_moved = server.registration.addr != registration.addr
            || server.registration.service != registration.service
            || server.registration.zone != registration.zone;
        let change = match (is_same_incarnation && !has_moved, registration.phase) {
            (false, _) => joined_or_draining(&registration),
            (true, Phase::Draining) if !was_draining => Change::Draining,
            (true, _) if registration.has_news_beyond(&server.registration) => Change::Updated,
            (true, _) => Change::Heartbeat,
        };
        server.registration = registration;
        change
    }

    /// Notes that the store is reachable again after an outage.
    pub fn note_outage_end(&mut self, now: Instant) {
        self.rejoin_until = Some(now + REJOIN_GRACE);
    }

    /// Ends the time for which missing registrations are kept; those that are missing are due for removal
    /// at `now`.
    pub fn end_rejoin(&mut self, now: Instant) {
        self.rejoin_until = None;
        for until in self.missing.values_mut() {
            *until = now;
        }
    }

    /// Returns until when missing registrations are kept.
    #[must_use]
    pub fn rejoin_until(&self) -> Option<Instant> {
        self.rejoin_until
    }

    /// Extends the time for which missing registrations are kept to `until`, as reported by another
    /// registration VM.
    pub fn set_rejoin_until(&mut self, until: Instant) {
        self.rejoin_until = self.rejoin_until.max(Some(until));
    }

    /// Removes a registration; returns the server if the removal takes effect immediately.
    pub fn remove(&mut self, id: &str, now: Instant) -> Option<Server> {
        match self.rejoin_until {
            Some(until) if now < until && self.servers.contains_key(id) => {
                self.missing.entry(Rc::from(id)).or_insert(until);
                None
            }
            _ => self.forget(id),
        }
    }

    /// Returns the last registration of a removed server that registers again, and forgets it.
    fn recall(&mut self, id: &str) -> Option<Registration> {
        let last = self.gone.remove(id)?;
        self.gone_order.retain(|gone| gone.as_ref() != id);
        Some(last)
    }

    /// Removes a server and remembers its last registration.
    fn forget(&mut self, id: &str) -> Option<Server> {
        let server = self.servers.remove(id)?;
        let last = server.registration.clone();
        if self.gone.insert(Rc::clone(&server.id), last).is_none() {
            self.gone_order.push_back(Rc::clone(&server.id));
        }
        if self.gone_order.len() > MAX_GONE
            && let Some(oldest) = self.gone_order.pop_front()
        {
            self.gone.remove(&oldest);
        }
        Some(server)
    }

    /// Removes all servers that are not in `listed`; returns those removed immediately.
    pub fn retain(&mut self, listed: &HashSet<String>, now: Instant) -> Vec<Server> {
        let unlisted = |id: &&ServerId| !listed.contains(id.as_ref());
        let missing: Vec<ServerId> = self.servers.keys().filter(unlisted).cloned().collect();
        let removed = missing.iter().filter_map(|id| self.remove(id, now));
        removed.collect()
    }

    /// Removes and returns the servers that have not registered again in time.
    pub fn expire(&mut self, now: Instant) -> Vec<Server> {
        let due = |entry: (&ServerId, &Instant)| (*entry.1 <= now).then(|| Rc::clone(entry.0));
        let due: Vec<ServerId> = self.missing.iter().filter_map(due).collect();
        for id in &due {
            self.missing.remove(id);
        }
        due.iter().filter_map(|id| self.forget(id)).collect()
    }
}

fn joined_or_draining(registration: &Registration) -> Change {
    match registration.phase {
        Phase::Ready => Change::Joined,
        Phase::Draining => Change::Draining,
    }
}
