//! Quarantine of requests that crash the backend servers that run them.
//!
//! A closed connection alone is no evidence of a crash. Only if the server is unreachable right
//! after the connection closed, and another one is not, is the request counted as having crashed it: a VM
//! whose links break loses all servers, whatever they run.

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use event::Event;
use fleet::report::Crash;
use futures::future::join_all;
use killer::{Detector, Evidence, Fact, Fingerprint, Outcome};
use rand::seq::IndexedRandom as _;
use timer::Service;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::reach;
use crate::servers::Backend;
use crate::state::State;

/// Delay between a closed connection and the probe of its server.
const PROBE_DELAY: Duration = Duration::from_millis(60);

/// Number of crashed servers after which a request must not run again. Two servers may crash for
/// other reasons while a request is retried from one on the other.
const MAX_CRASHES: usize = 3;

/// Number of other servers that are probed before a lost connection counts as a crash.
const MAX_WITNESSES: usize = 3;

/// Time for which a crash is reported to other entry VMs, in milliseconds.
const REPORTED_MS: u64 = 30_000;

/// Maximum number of crashes reported at once.
const MAX_REPORTED: usize = 64;

/// Requests and the crashes that are attributed to them.
#[derive(Debug, Default)]
pub struct Quarantine {
    detector: RefCell<Detector>,
    timer: Service,
}

impl Quarantine {
    /// Returns whether no request is known to have crashed a server.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.detector.borrow().is_empty()
    }

    /// Returns whether a request is known to have crashed a server.
    #[must_use]
    pub fn suspects(&self, fingerprint: &Fingerprint) -> bool {
        self.detector.borrow().crashes(fingerprint) > 0
    }

    /// Returns whether a request must not run again.
    #[must_use]
    pub fn forbids(&self, fingerprint: &Fingerprint) -> bool {
        self.detector.borrow().crashes(fingerprint) >= MAX_CRASHES
    }

    /// Records that `server` answered the request, if the request is known to have crashed other
    /// servers.
    pub fn note_response(&self, fingerprint: Fingerprint, server: SocketAddr) {
        if self.suspects(&fingerprint) {
            self.note(fingerprint, server, Outcome::Responded);
        }
    }

    /// Returns the servers that a request is known to have crashed.
    fn crashed_by(&self, fingerprint: &Fingerprint) -> HashSet<SocketAddr> {
        let facts = self.detector.borrow().facts();
        let own = facts
            .into_iter()
            .filter(|fact| fact.fingerprint == *fingerprint);
        let crashed = own.filter_map(|fact| match fact.evidence {
            Evidence::Crashed { server, .. } => Some(server),
            Evidence::Succeeded => None,
        });
        crashed.collect()
    }

    /// Removes expired crashes.
    pub fn expire(&self) {
        self.detector.borrow_mut().expire(self.timer.now());
    }

    fn note(&self, fingerprint: Fingerprint, server: SocketAddr, outcome: Outcome) {
        let now = self.timer.now();
        self.detector
            .borrow_mut()
            .note(fingerprint, (server, ""), outcome, now);
    }

    /// Records crashes that other entry VMs reported.
    pub fn note_reported(&self, crashes: &[Crash]) {
        let now = self.timer.now();
        let mut detector = self.detector.borrow_mut();
        for crash in crashes {
            let fact = Fact {
                fingerprint: Fingerprint::with_bytes(crash.fingerprint),
                evidence: Evidence::Crashed {
                    server: crash.server,
                    zone: String::new(),
                },
                at: now.minus_ms(crash.age_ms),
            };
            detector.merge(fact, now);
        }
    }

    /// Returns the latest crashes.
    #[must_use]
    pub fn crashes(&self) -> Vec<Crash> {
        let now = self.timer.now();
        let facts = self.detector.borrow().facts();
        let crashes = facts.into_iter().filter_map(|fact| match fact.evidence {
            Evidence::Crashed { server, .. } => Some(Crash {
                fingerprint: *fact.fingerprint.bytes(),
                server,
                age_ms: now.ms_since(fact.at),
            }),
            Evidence::Succeeded => None,
        });
        crashes
            .filter(|crash| crash.age_ms < REPORTED_MS)
            .take(MAX_REPORTED)
            .collect()
    }
}

/// Probes whether `backend`, which closed a request's connection, has crashed.
pub fn probe(state: &Rc<State>, backend: &Rc<Backend>, fingerprint: Fingerprint) {
    let state = Rc::clone(state);
    let backend = Rc::clone(backend);
    spawn_local(async move {
        sleep(PROBE_DELAY).await;
        if reach::accepts(&state, &backend).await
            || has_lost_others(&state, &backend, &fingerprint).await
        {
            return;
        }
        state
            .quarantine
            .note(fingerprint, backend.addr, Outcome::Disconnected);
        event::emit(&Event::ServerCrashed {
            server: backend.id.to_string(),
            fingerprint: abbreviate(&fingerprint),
        });
    });
}

/// Returns whether this VM reaches no other server either: of the zone of `backend`, or of any zone if
/// there is no other one. Servers that the same request crashed tell nothing.
async fn has_lost_others(
    state: &Rc<State>,
    backend: &Rc<Backend>,
    fingerprint: &Fingerprint,
) -> bool {
    let crashed = state.quarantine.crashed_by(fingerprint);
    let witnesses = witnesses(state, backend, &crashed);
    let accepts = witnesses
        .iter()
        .map(|witness| reach::accepts(state, witness));
    let accepts = join_all(accepts).await;
    !accepts.is_empty() && !accepts.contains(&true)
}

fn witnesses(
    state: &State,
    backend: &Rc<Backend>,
    crashed: &HashSet<SocketAddr>,
) -> Vec<Rc<Backend>> {
    let servers = state.servers.borrow();
    let is_other = |other: &&Rc<Backend>| {
        other.takes_work() && other.addr != backend.addr && !crashed.contains(&other.addr)
    };
    let others: Vec<Rc<Backend>> = servers.iter().filter(is_other).cloned().collect();
    let is_near = |other: &&Rc<Backend>| other.zone == backend.zone;
    let near: Vec<Rc<Backend>> = others.iter().filter(is_near).cloned().collect();
    let pool = if near.is_empty() { others } else { near };
    let usable: Vec<Rc<Backend>> = pool
        .iter()
        .filter(|other| other.is_usable())
        .cloned()
        .collect();
    let pool = if usable.is_empty() { pool } else { usable };
    pool.choose_multiple(&mut rand::rng(), MAX_WITNESSES)
        .cloned()
        .collect()
}

/// Returns the first bytes of a fingerprint, enough to tell requests apart in a log.
fn abbreviate(fingerprint: &Fingerprint) -> String {
    let first = fingerprint
        .bytes()
        .first_chunk()
        .copied()
        .unwrap_or_default();
    format!("{:016x}", u64::from_be_bytes(first))
}
