//! State shared between the daemon's parts, and its answers to peers.

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
use crate::lend::Lend;
use crate::probe;
use crate::state::{Change, State};
use crate::view::Scope;

/// The daemon's state behind a lock, with the clock.
#[derive(Debug)]
pub struct Shared {
    state: Mutex<State>,
    /// Never locked before `state`, so that the two cannot wait for each other.
    lend: Mutex<Lend>,
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
        let lend = Lend::new(vm, &zone, timer.now());
        Self {
            lend: Mutex::new(lend),
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

    /// Lets the daemon end without giving back what it holds.
    pub fn abandon(&self) {
        self.abandoned.store(true, Ordering::Relaxed);
    }

    /// Returns whether nothing is to be given back at the end.
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

    /// Locks the state. A panic of another holder leaves it usable: each change is one call.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the account of shares. The state must not be locked after it.
    pub fn shares(&self) -> MutexGuard<'_, Lend> {
        self.lend.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers requests for shares, if this daemon is the lead that is asked.
    pub fn lend_to(&self, asks: &Requests) -> Grants {
        let now = self.timer.now();
        let scope = match asks.borrower {
            Borrower::Vm(_) => Scope::Zone,
            Borrower::Zone(_) => Scope::Fleet,
        };
        let term = self.lock().lead(scope, now);
        if term.is_none_or(|term| term.epoch != asks.epoch) {
            return Grants::default();
        }
        self.shares().serve(asks, now)
    }

    fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the timer service.
    #[must_use]
    pub fn timer(&self) -> &Service {
        &self.timer
    }

    /// Logs what changed.
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
                problem: format!("cannot be read; it came from {source}"),
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
    fn sync(&self, ask: Request) -> Response {
        self.lock().answer(&ask, self.timer.now())
    }

    fn report(&self, report: Report) -> View {
        self.history().add(&report.served, unix_s());
        let adoptions = self.adoptions.after(report.adopted);
        let now = self.timer.now();
        let (grants, seat) = {
            let mut shares = self.shares();
            let grants = shares.serve_gate(&report.gate, &report.share_requests, now);
            (grants.grants, shares.seat())
        };
        View {
            grants,
            ordinal: seat,
            adoptions,
            ..self.lock().attach(report, now)
        }
    }

    fn withdraw(&self, keyring: Keyring) -> Receipt {
        let keys = self.lock().learn_keys(&keyring);
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
        state.member.handle_probe(&probe, now);
        state.member.probe(&probe.from.name)
    }

    async fn probe_for(&self, target: SocketAddr) -> bool {
        let name = self.lock().name_at(target);
        match name {
            Some(name) => probe::probe(self, &self.pool, &name, target).await,
            None => false,
        }
    }

    async fn claim(&self, ask: claim::Request) -> claim::Response {
        claims::claim(self, &self.pool, &self.claims, ask).await
    }

    async fn hand_over(&self, handover: Handover) -> bool {
        handover::hand_over(self, &self.pool, self.claims.client(), handover).await
    }

    async fn adopt(&self, handover: Handover) -> Option<Vm> {
        let gate = self.lock().gate()?;
        self.adoptions.deliver(handover).await.then_some(gate)
    }

    async fn successor(&self, owner: Vm) -> Option<Vm> {
        handover::heir(self.claims.client(), owner).await
    }

    fn lend(&self, asks: &Requests) -> Grants {
        self.lend_to(asks)
    }

    fn take_from_reserve(&self, draw: &ReserveRequest) -> bool {
        let now = self.timer.now();
        let term = self.lock().lead(Scope::Fleet, now);
        let is_asked = term.is_some_and(|term| term.epoch == draw.epoch);
        is_asked && self.shares().draw(draw, now)
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
