//! State shared between the daemon's tasks, and the handler of requests from peers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use burn::History;
use event::Event;
use store::{Meter, Purpose};
use timer::Service;
use wire::burn::Recording;
use wire::claim;
use wire::handover::Handover;
use wire::keyring::Keyring;
use wire::lend::{Borrower, Grants, Requests, ReserveRequest};
use wire::peer::Handler;
use wire::report::Report;
use wire::status::{Calls, Status};
use wire::sync::{Probe, Receipt, Request, Response};
use wire::view::View;
use wire::{Pool, Tally, Vm};

use crate::claims::{self, Claims};
use crate::handover::{self, Adoptions};
use crate::lend::Ledger;
use crate::probe;
use crate::state::{Change, State};
use crate::view::Scope;

/// The daemon's locked state, its clock and its counters.
#[derive(Debug)]
pub struct Shared {
    state: Mutex<State>,
    /// Never locked before `state`, to prevent deadlocks.
    ledger: Mutex<Ledger>,
    history: Mutex<History>,
    timer: Service,
    meter: Arc<Meter>,
    tally: Tally,
    pool: Arc<Pool>,
    claims: Claims,
    adoptions: Adoptions,
    abandoned: AtomicBool,
}

impl Shared {
    /// Creates shared state.
    #[must_use]
    pub fn new(
        state: State,
        timer: Service,
        meter: Arc<Meter>,
        tally: Tally,
        pool: Arc<Pool>,
        claims: Claims,
    ) -> Self {
        let (vm, zone) = state.identity();
        let vm = Vm::new(&vm, state.incarnation());
        let ledger = Ledger::new(vm, &zone, timer.now());
        Self {
            ledger: Mutex::new(ledger),
            state: Mutex::new(state),
            history: Mutex::new(History::new(unix_s())),
            timer,
            meter,
            tally,
            pool,
            claims,
            adoptions: Adoptions::default(),
            abandoned: AtomicBool::new(false),
        }
    }

    /// Makes the daemon stop without releasing its leases.
    pub fn abandon(&self) {
        self.abandoned.store(true, Ordering::Relaxed);
    }

    /// Returns whether the daemon stops without releasing its leases.
    #[must_use]
    pub fn is_abandoned(&self) -> bool {
        self.abandoned.load(Ordering::Relaxed)
    }

    fn calls(&self) -> Vec<Calls> {
        let calls = |purpose: Purpose| {
            let count = self.meter.count(purpose);
            Calls {
                purpose: purpose.name().to_owned(),
                reads: count.reads,
                writes: count.writes,
                failures: count.failures,
                throttled: count.throttled,
            }
        };
        Purpose::ALL.into_iter().map(calls).collect()
    }

    /// Locks the state. A panic while it was locked leaves it usable, because each change is one call.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the ledger of shares. The state must not be locked after it.
    pub fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Responds to requests for shares, if this daemon is the leader that they are addressed to.
    pub fn lend_to(&self, requests: &Requests) -> Grants {
        let now = self.timer.now();
        let scope = match requests.borrower {
            Borrower::Vm(_) => Scope::Zone,
            Borrower::Zone(_) => Scope::Fleet,
        };
        let term = self.lock().leader_term(scope, now);
        if term.is_none_or(|term| term.epoch != requests.epoch) {
            return Grants::default();
        }
        self.ledger().serve(requests, now)
    }

    fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the timer service.
    #[must_use]
    pub fn timer(&self) -> &Service {
        &self.timer
    }

    /// Logs a change.
    pub fn log(&self, change: Change, source: &str) {
        let state = self.lock();
        if change.config {
            let revision = state.revision();
            let source = source.to_owned();
            event::emit(&Event::ConfigReceived { revision, source });
        }
        if change.rejected {
            event::emit(&Event::ConfigRejected {
                revision: state.rejected(),
                problem: format!("invalid configuration, received from {source}"),
            });
        }
        if change.keys {
            let records = state.keys();
            let withdrawn = state.withdrawn();
            event::emit(&Event::KeysChanged { records, withdrawn });
        }
    }
}

impl Handler for Shared {
    fn sync(&self, request: Request) -> Response {
        self.lock().respond(&request, self.timer.now())
    }

    fn report(&self, report: Report) -> View {
        self.history().add(&report.served, unix_s());
        let adoptions = self.adoptions.after(report.adopted);
        let now = self.timer.now();
        let (grants, ordinal) = {
            let mut ledger = self.ledger();
            let grants = ledger.serve_gate(&report.gate, &report.share_requests, now);
            (grants.grants, ledger.ordinal())
        };
        View {
            grants,
            ordinal,
            adoptions,
            ..self.lock().handle_report(report, now)
        }
    }

    fn withdraw(&self, keyring: Keyring) -> Receipt {
        let keys = self.lock().merge_keys(&keyring);
        let change = Change {
            keys,
            ..Change::default()
        };
        self.log(change, "operator");
        self.lock().receipt()
    }

    fn probe(&self, probe: Probe) -> Probe {
        let now = self.timer.now();
        let mut state = self.lock();
        state.member.hear_probe(&probe, now);
        state.member.probe(&probe.from.name)
    }

    async fn probe_for(&self, target: SocketAddr) -> bool {
        let name = self.lock().name_at(target);
        match name {
            Some(name) => probe::probe(self, &self.pool, &name, target).await,
            None => false,
        }
    }

    async fn claim(&self, request: claim::Request) -> claim::Response {
        claims::claim(self, &self.pool, &self.claims, request).await
    }

    async fn hand_over(&self, handover: Handover) -> bool {
        handover::hand_over(self, &self.pool, self.claims.client(), handover).await
    }

    async fn adopt(&self, handover: Handover) -> Option<Vm> {
        let gate = self.lock().gate()?;
        self.adoptions.deliver(handover).await.then_some(gate)
    }

    async fn successor(&self, owner: Vm) -> Option<Vm> {
        handover::read_successor(self.claims.client(), owner).await
    }

    fn lend(&self, requests: &Requests) -> Grants {
        self.lend_to(requests)
    }

    fn take_from_reserve(&self, request: &ReserveRequest) -> bool {
        let now = self.timer.now();
        let term = self.lock().leader_term(Scope::Fleet, now);
        let is_current = term.is_some_and(|term| term.epoch == request.epoch);
        is_current && self.ledger().take_from_reserve(request, now)
    }

    fn status(&self) -> Status {
        let bytes = self.tally.peers();
        Status {
            store_calls: self.calls(),
            sent_bytes: bytes.sent,
            received_bytes: bytes.received,
            ..self.lock().status(self.timer.now())
        }
    }

    fn burn(&self) -> Recording {
        self.history().recording(unix_s())
    }
}

fn unix_s() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_secs()
}
