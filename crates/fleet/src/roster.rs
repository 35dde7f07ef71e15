//! The backend servers and evacuated zones that an entry VM knows of.
//!
//! Registrations lapse while the store is away although the backend servers live on. A
//! registration that is found missing after an outage is therefore kept for [`REJOIN`] more; at
//! any other time its removal takes effect at once.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::server::{Phase, Registration, Server, ServerId};

/// Time after an outage of the store within which living backend servers register again; the
/// platform names two seconds, and a part of a heartbeat is added.
pub const REJOIN: Duration = Duration::from_millis(2_200);

/// Backend servers by name, and evacuated zones.
#[derive(Debug, Default)]
pub struct Roster {
    servers: HashMap<ServerId, Server>,
    evacuated: HashSet<String>,
    /// Servers whose registration is missing since an outage, and when they are given up.
    missing: HashMap<ServerId, Instant>,
    /// Until when a missing registration may still be due to an outage.
    rejoin_until: Option<Instant>,
}

/// What a registration changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing: an old or repeated heartbeat.
    Unchanged,
    /// A heartbeat of a known incarnation.
    Heartbeat,
    /// A new incarnation.
    Joined,
    /// The server takes no new work.
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

    /// Returns whether no requests may go to `zone`.
    #[must_use]
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.contains(zone)
    }

    /// Returns the evacuated zones.
    pub fn evacuated(&self) -> impl Iterator<Item = &String> {
        self.evacuated.iter()
    }

    /// Sets whether `zone` is evacuated; returns whether that is new.
    pub fn set_evacuated(&mut self, zone: &str, evacuated: bool) -> bool {
        if evacuated {
            self.evacuated.insert(zone.to_owned())
        } else {
            self.evacuated.remove(zone)
        }
    }

    /// Takes a registration of the backend server `id`. A heartbeat that is older than the known
    /// one changes nothing, and an incarnation that has begun to leave stays so.
    pub fn register(&mut self, id: &str, mut entry: Registration) -> Change {
        let Some(server) = self.servers.get_mut(id) else {
            let id: ServerId = Rc::from(id);
            let change = change_of_new(&entry);
            self.servers.insert(
                Rc::clone(&id),
                Server {
                    id,
                    registration: entry,
                },
            );
            return change;
        };
        let same = server.registration.born_ms == entry.born_ms;
        let repeated = same && server.registration.sequence == entry.sequence;
        if !repeated && !entry.is_newer_than(&server.registration) {
            return Change::Unchanged;
        }
        self.missing.remove(id);
        if repeated && server.registration == entry {
            return Change::Unchanged;
        }
        let was_leaving = server.registration.phase == Phase::Draining;
        if same && was_leaving {
            entry.phase = Phase::Draining;
        }
        let moved =
            server.registration.addr != entry.addr || server.registration.service != entry.service;
        let change = match (same && !moved, entry.phase) {
            (false, _) => change_of_new(&entry),
            (true, Phase::Draining) if !was_leaving => Change::Draining,
            (true, _) => Change::Heartbeat,
        };
        server.registration = entry;
        change
    }

    /// Notes that the store answers again after an outage.
    pub fn note_outage_end(&mut self, now: Instant) {
        self.rejoin_until = Some(now + REJOIN);
    }

    /// Returns until when missing registrations are kept.
    #[must_use]
    pub fn rejoin_until(&self) -> Option<Instant> {
        self.rejoin_until
    }

    /// Keeps missing registrations until `until`, as another entry VM does.
    pub fn set_rejoin_until(&mut self, until: Instant) {
        self.rejoin_until = self.rejoin_until.max(Some(until));
    }

    /// Takes the removal of a registration; returns the server if it is gone at once.
    pub fn remove(&mut self, id: &str, now: Instant) -> Option<Server> {
        match self.rejoin_until {
            Some(until) if now < until && self.servers.contains_key(id) => {
                self.missing.entry(Rc::from(id)).or_insert(until);
                None
            }
            _ => self.servers.remove(id),
        }
    }

    /// Treats every server that is not in `listed` as removed; returns those gone at once.
    pub fn retain(&mut self, listed: &HashSet<String>, now: Instant) -> Vec<Server> {
        let unlisted = |id: &&ServerId| !listed.contains(id.as_ref());
        let missing: Vec<ServerId> = self.servers.keys().filter(unlisted).cloned().collect();
        let removed = missing.iter().filter_map(|id| self.remove(id, now));
        removed.collect()
    }

    /// Gives up the servers that have not registered again in time and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<Server> {
        let due = |entry: (&ServerId, &Instant)| (*entry.1 <= now).then(|| Rc::clone(entry.0));
        let due: Vec<ServerId> = self.missing.iter().filter_map(due).collect();
        for id in &due {
            self.missing.remove(id);
        }
        due.iter()
            .filter_map(|id| self.servers.remove(id))
            .collect()
    }
}

fn change_of_new(entry: &Registration) -> Change {
    match entry.phase {
        Phase::Ready => Change::Joined,
        Phase::Draining => Change::Draining,
    }
}
