//! Exchange of load reports with the other entry VMs; see [`steer::pressure`] for what is sent.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fleet::pressure::LoadReport;
use fleet::report::{Datagram, Scope};
use steer::pressure::{Exchange, Heard, Level, Origin, Size, Taken};
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::peers;
use crate::said;
use crate::servers::Backend;
use crate::state::State;

/// Load reports that are passed on.
#[derive(Debug, Default)]
pub struct Sharing {
    exchange: RefCell<Exchange>,
    /// Wakes the sender when there is news. Without servers that report a slowdown, it never wakes.
    news: Notify,
}

impl Sharing {
    /// Drops reports that are too old.
    pub fn expire(&self, now: Instant) {
        self.exchange.borrow_mut().expire(now);
    }

    fn note(&self, server: u32, heard: Heard, origin: Origin, is_leader: bool) {
        let mut exchange = self.exchange.borrow_mut();
        exchange.note(server, heard, origin, is_leader);
        if exchange.has_news() {
            self.news.notify_one();
        }
    }
}

impl State {
    /// Records the load that a response of `backend` reports, and passes it on if the server reports its
    /// slowdown too.
    pub fn note_load(&self, backend: &Backend, load: &said::Load, now: Instant) {
        backend.note_load(load, now);
        let Some(slowdown) = load.slowdown else {
            return;
        };
        let requests = f64::from(load.running) + f64::from(load.waiting);
        let per_slot = requests / f64::from(backend.slots.get().max(1));
        let heard = Heard {
            level: Level::new(per_slot, slowdown),
            at: now,
        };
        let is_leader = self.membership.borrow().is_leader(now);
        let server = peers::short_hash(&backend.id);
        self.sharing
            .note(server, heard, Origin::Response, is_leader);
    }

    /// Applies a report of another entry VM. Servers that this VM does not know yet are left out.
    pub fn note_load_report(&self, report: &LoadReport, now: Instant) {
        self.metrics
            .note_load_entries("received", report.entries.len());
        let is_leader = self.membership.borrow().is_leader(now);
        let servers = self.servers.borrow();
        for entry in &report.entries {
            let Some(backend) = servers.with_short_hash(entry.server) else {
                continue;
            };
            if let Some(heard) = Heard::from_entry(entry, now) {
                backend.note_shared_load(heard, now);
                let origin = Origin::Message(report.scope);
                self.sharing.note(entry.server, heard, origin, is_leader);
            }
        }
    }

    /// Returns the size of the fleet as this VM knows it.
    fn fleet_size(&self) -> Size {
        let membership = self.membership.borrow();
        let zones: HashSet<&str> = membership.zones().collect();
        let own = &self.settings.zone;
        Size {
            zone_vms: membership.zones().filter(|zone| zone == own).count(),
            zones: zones.len(),
        }
    }

    fn take_load_entries(&self, scope: Scope, size: Size, now: Instant) -> Taken {
        let mut exchange = self.sharing.exchange.borrow_mut();
        exchange.take(scope, size, now)
    }
}

/// Sends load reports: the first news at once, further ones in rounds.
pub async fn run(state: Rc<State>) {
    loop {
        state.sharing.news.notified().await;
        while state.sharing.exchange.borrow().has_news() {
            let interval = send_round(&state, Instant::now()).await;
            sleep(interval).await;
        }
    }
}

/// Sends the reports of one round; returns the time until the next.
async fn send_round(state: &State, now: Instant) -> Duration {
    state.sharing.expire(now);
    let size = state.fleet_size();
    for (scope, targets) in targets(state, now) {
        if targets.is_empty() {
            continue;
        }
        let Taken { entries, cut } = state.take_load_entries(scope, size, now);
        state.metrics.note_load_entries("cut", cut);
        if entries.is_empty() {
            continue;
        }
        let sent = entries.len() * targets.len();
        state.metrics.note_load_entries("sent", sent);
        let datagram = Datagram::Load(LoadReport { scope, entries });
        for target in targets {
            peers::send(state, target, &datagram).await;
        }
    }
    size.interval()
}

/// Returns who gets which reports from this VM.
fn targets(state: &State, now: Instant) -> Vec<(Scope, Vec<std::net::SocketAddr>)> {
    let membership = state.membership.borrow();
    if membership.is_leader(now) {
        let others = (Scope::Zone, membership.other_leaders());
        let zone = (Scope::Fleet, membership.reporting_vms());
        return vec![others, zone];
    }
    let leader = membership.leader_addr(now).into_iter().collect();
    vec![(Scope::Vm, leader)]
}
