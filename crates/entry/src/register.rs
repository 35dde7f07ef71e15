//! Applies changes of the store to the state.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event::Event;
use fleet::report::Announced;
use fleet::restore::{MISSING, Position};
use fleet::roster::Change;
use fleet::{Config, Item, Registration};

use crate::servers::Backend;
use crate::snapshot::{self, Fetched};
use crate::state::State;
use crate::store::Record;
use crate::warmth::Cause;

/// What a registration is to VMs that follow this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Effect {
    /// It contradicts what the server said before, which stays.
    Ignored,
    /// A heartbeat without news.
    Heartbeat,
    /// It has news.
    News,
}

impl State {
    /// Applies the change `record`, decoded as `item`.
    pub fn apply(&self, record: Record, item: Item) {
        let mut effect = Effect::News;
        let is_missing = record.value.is_some() && record.revision == MISSING;
        if is_missing {
            self.grace.borrow_mut().note_missing(&record.key);
        } else if record.value.is_some() {
            let mut grace = self.grace.borrow_mut();
            grace.note_written(&record.key, record.revision);
        } else if self.grace.borrow_mut().defers(&record.key) {
            let mut replica = self.replica.borrow_mut();
            replica.note_missing(&record.key, record.revision);
            return;
        }
        if self.is_outdated(&item, record.revision) {
            return;
        }
        match item {
            Item::Other => return,
            Item::Config(config) => self.apply_config(*config, record.revision),
            Item::Server { id, registration } => effect = self.register(&id, registration),
            Item::ServerRemoved { id } => self.unregister(&id),
            Item::ZoneEvacuated { zone } => self.evacuate(&zone, true),
            Item::ZoneRestored { zone } => self.evacuate(&zone, false),
            Item::Members { zone, bytes } => self.announce_zone(&zone, &bytes, is_missing),
            Item::Unreadable { key, problem } => {
                event::emit(&Event::KeyUnreadable { key, problem });
                return;
            }
        }
        if effect != Effect::Ignored {
            let mut replica = self.replica.borrow_mut();
            replica.put(record, effect == Effect::Heartbeat);
        }
    }

    /// Returns whether `item` is older than what is known of the same key. The store has such values if a
    /// write arrived late, or after it was restored from an older copy; the replica keeps the known ones for
    /// VMs that follow this one or start.
    fn is_outdated(&self, item: &Item, revision: u64) -> bool {
        match item {
            Item::Config(config) => config.version < self.version(),
            Item::Server { id, registration } => {
                let may_be_copy = self.grace().may_be_copy(revision);
                let roster = self.roster.borrow();
                roster.is_outdated(id, registration, may_be_copy)
            }
            _ => false,
        }
    }

    /// Begins the store's era of `position`, in which it has the keys `listed`, by this VM's own listing or
    /// by another VM's snapshot. Keys that it does not have are kept until `until`, unless they are written
    /// again before.
    pub fn begin_era(
        &self,
        position: Position,
        listed: &HashSet<String>,
        is_own_listing: bool,
        until: Instant,
    ) {
        let earlier = self.position();
        let known = self.replica().names();
        let is_first = known.is_empty() && earlier.revision == 0;
        self.eras.borrow_mut().begin(position);
        {
            let mut replica = self.replica.borrow_mut();
            replica.begin_era(listed, position.revision);
        }
        let mut grace = self.grace.borrow_mut();
        grace.begin(known, listed, position.revision, is_own_listing, until);
        if is_first {
            return;
        }
        self.roster.borrow_mut().note_restored();
        event::emit(&Event::StoreEraChanged {
            era: position.era,
            earlier: earlier.era,
            revision: position.revision,
            earlier_revision: earlier.revision,
            missing: grace.missing() as u64,
        });
    }

    /// Records that the store answers again after an outage. `silent_since` is when this VM last had news
    /// of it before.
    pub fn note_outage_end(&self, silent_since: Option<Instant>, now: Instant) {
        self.silent_since.set(silent_since);
        self.rejoin_from.set(None);
        self.roster.borrow_mut().note_outage_end(now);
    }

    /// Returns whether missing registrations are kept at `now` since this VM assumes that there was an outage.
    #[must_use]
    pub fn assumes_outage(&self, now: Instant) -> bool {
        let is_kept = self.rejoin_until().is_some_and(|until| now < until);
        is_kept && self.silent_since.get().is_some()
    }

    /// Takes back that there was an outage if the sender of `fetched` followed the store all the time: then
    /// it was this VM that was cut off, and what is missing has left.
    pub fn note_witness(&self, fetched: &Fetched, now: Instant) {
        let Some(silent_since) = self.silent_since.get() else {
            return;
        };
        let steady_ms = fetched.steady_ms.unwrap_or_default();
        let steady_since = now.checked_sub(Duration::from_millis(steady_ms));
        let is_recent = fetched.snapshot.age_ms < snapshot::STALE_MS;
        if is_recent && steady_since.is_some_and(|since| since <= silent_since) {
            self.take_outage_back(now);
        }
    }

    /// Takes back that there was an outage of the store: what is missing has left.
    pub fn take_outage_back(&self, now: Instant) {
        let was_assumed = self.assumes_outage(now);
        self.silent_since.set(None);
        self.rejoin_from.set(None);
        self.roster.borrow_mut().end_rejoin(now);
        self.expire(now);
        if was_assumed {
            event::emit(&Event::OutageTakenBack {});
        }
    }

    /// Returns until when unregistered backend servers are kept.
    #[must_use]
    pub fn rejoin_until(&self) -> Option<Instant> {
        self.roster.borrow().rejoin_until()
    }

    /// Keeps unregistered backend servers until `until`, as another entry VM does.
    pub fn set_rejoin_until(&self, until: Instant) {
        self.roster.borrow_mut().set_rejoin_until(until);
    }

    /// Removes backend servers that did not register again in time.
    pub fn expire(&self, now: Instant) {
        let expired = self.roster.borrow_mut().expire(now);
        for server in expired {
            self.drop_server(&server.id);
        }
    }

    /// Puts a configuration that was written in `revision` in force, unless it is older than the known one.
    fn apply_config(&self, config: Config, revision: u64) {
        if self.config.borrow().is_some() && config.version <= self.version() {
            return;
        }
        let era = self.position().era;
        self.config_position.set(Position { era, revision });
        let config = Rc::new(config);
        self.config.replace(Some(Rc::clone(&config)));
        self.admission.borrow_mut().configure(&config);
        self.forget_routes(&config);
        self.rebalance(0.0, Instant::now());
        let revision = config.version.0;
        event::emit(&Event::ConfigInForce { revision });
        for problem in &config.warnings {
            event::emit(&Event::ConfigIncomplete {
                revision,
                problem: problem.clone(),
            });
        }
    }

    /// Drops what is kept of routes that `config` does not have.
    fn forget_routes(&self, config: &Config) {
        let routes = config.hosts.values().flatten();
        let names: HashSet<&str> = routes.map(|route| route.name.as_str()).collect();
        self.splits
            .borrow_mut()
            .retain(|route, _| names.contains(route.as_str()));
        self.response_sizes.retain(|route| names.contains(route));
    }

    /// Applies a backend server's registration.
    fn register(&self, id: &str, registration: Registration) -> Effect {
        let now = Instant::now();
        let phase = registration.phase;
        let change = self.roster.borrow_mut().register(id, registration);
        let roster = self.roster.borrow();
        let Some(server) = roster.server(id) else {
            return Effect::News;
        };
        let is_contradiction = phase != server.registration.phase;
        let mut servers = self.servers.borrow_mut();
        match (change, servers.get(id)) {
            (Change::Unchanged, Some(_)) => {}
            (Change::Heartbeat | Change::Updated | Change::Draining, Some(backend))
                if backend.is_at(&server.registration) =>
            {
                backend.note_registered_slots(server.registration.slots);
                backend
                    .ready
                    .set(server.registration.phase == fleet::Phase::Ready);
                backend.note_heartbeat(&server.registration, self.complete_until(), now);
                backend.log_warmth_change(Cause::Registration, now);
                if change == Change::Draining {
                    backend.idle.borrow_mut().clear();
                    event::emit(&Event::ServerLeaving {
                        server: id.to_owned(),
                    });
                }
            }
            _ => {
                let zone = &server.registration.zone;
                let region = self.region_of(zone).to_owned();
                let backend = Backend::new(server, &region, self.distance_to(zone), now);
                backend.leaves.set(self.leaving.contains(&backend));
                event::emit(&Event::ServerJoined {
                    server: id.to_owned(),
                    service: server.registration.service.clone(),
                    zone: zone.clone(),
                    backend: server.registration.addr,
                });
                backend.log_warmth_change(Cause::Registration, now);
                servers.put(backend);
            }
        }
        match change {
            _ if is_contradiction => Effect::Ignored,
            Change::Unchanged | Change::Heartbeat => Effect::Heartbeat,
            Change::Updated | Change::Joined | Change::Draining => Effect::News,
        }
    }

    fn unregister(&self, id: &str) {
        let removed = self.roster.borrow_mut().remove(id, Instant::now());
        if removed.is_some() {
            self.drop_server(id);
        }
    }

    fn drop_server(&self, id: &str) {
        self.servers.borrow_mut().remove(id);
        event::emit(&Event::ServerGone {
            server: id.to_owned(),
        });
    }

    /// Begins or ends the evacuation of a zone. Its servers may be cold afterwards.
    fn evacuate(&self, zone: &str, evacuated: bool) {
        if !self.roster.borrow_mut().set_evacuated(zone, evacuated) {
            return;
        }
        let now = Instant::now();
        event::emit(&Event::ZoneEvacuated {
            zone: zone.to_owned(),
            evacuated,
        });
        let servers = self.servers.borrow();
        for backend in servers.iter().filter(|backend| backend.zone == zone) {
            let warmup = self.warmup_time(&backend.service);
            backend.warmup.borrow_mut().suspect(warmup, now);
            backend.log_warmth_change(Cause::Evacuation, now);
        }
    }

    /// Applies the announced VMs of `zone`. If the store lost their key (`is_missing`), those of this zone
    /// still have to be announced.
    fn announce_zone(&self, zone: &str, bytes: &[u8], is_missing: bool) {
        let decoded = match bytes {
            [] => Ok(Vec::new()),
            bytes => postcard::from_bytes::<Vec<Announced>>(bytes),
        };
        match decoded {
            Ok(vms) => {
                if zone == self.settings.zone && !is_missing {
                    self.announced.replace(vms.clone());
                }
                let mut membership = self.membership.borrow_mut();
                membership.announce_zone(zone, vms, Instant::now());
            }
            Err(error) => event::emit(&Event::KeyUnreadable {
                key: zone.to_owned(),
                problem: error.to_string(),
            }),
        }
    }
}

#[cfg(test)]
mod tests;
