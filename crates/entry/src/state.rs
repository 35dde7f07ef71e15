//! State that all tasks of the daemon share.

use std::cell::{Cell, Ref, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use fleet::config::Limits;
use fleet::report::Report;
use fleet::{Config, Membership, Roster, Version};
use steer::budget::Budget;
use steer::idle::Limit;
use steer::owner::Views;
use steer::quota::Limiter;
use steer::spill::Spill;
use steer::split::Split;
use tokio::sync::watch;

use crate::memory::Room;
use crate::metrics::Metrics;
use crate::names::Names;
use crate::peers;
use crate::quarantine::Quarantine;
use crate::replica::Replica;
use crate::servers::Servers;
use crate::settings::{Bounds, Settings};

/// State of the daemon.
#[derive(Debug)]
pub struct State {
    /// Settings at the start; see [`State::bounds`] for those that may change.
    pub settings: Settings,
    bounds: Cell<Bounds>,
    /// Header names.
    pub names: Names,
    /// Backend servers.
    pub servers: RefCell<Servers>,
    /// Other entry VMs.
    pub board: RefCell<Membership>,
    /// Workspaces that have a rate.
    pub accounts: RefCell<HashMap<String, Limiter>>,
    /// Repeats by service.
    pub budgets: RefCell<HashMap<String, Budget>>,
    /// Shares by route.
    pub splits: RefCell<HashMap<String, Split>>,
    /// Objects that begin away from this zone, by service.
    pub spills: RefCell<HashMap<String, Spill>>,
    /// How busy the backend servers of this zone are, by service.
    pub busy: RefCell<HashMap<String, f64>>,
    /// How long idle connections to backend servers may be used again.
    pub idle_limit: Cell<Limit>,
    /// What was known lately of the VMs that may own cold servers.
    pub(crate) views: RefCell<Views>,
    /// Cold servers, by hash, and whether this entry VM may send work to them; since the latest tick.
    pub(crate) owned: RefCell<HashMap<u64, bool>>,
    /// Entry VMs that serve callers, by zone; since the latest tick.
    serving: RefCell<HashMap<String, f64>>,
    /// Requests that crash backend servers.
    pub quarantine: Quarantine,
    /// Memory for request bodies.
    pub room: Room,
    /// Metrics.
    pub metrics: Metrics,
    /// What is known of the fleet, this VM included.
    pub(crate) picture: RefCell<Report>,
    pub(crate) config: RefCell<Option<Rc<Config>>>,
    pub(crate) roster: RefCell<Roster>,
    /// Keys as the store holds them, for entry VMs that do not read it.
    pub(crate) replica: RefCell<Replica>,
    /// When this VM was last found to be cut off.
    pub(crate) cut_at: Cell<Option<Instant>>,
    /// When the state was last brought up to date.
    read_at: Cell<Option<Instant>>,
    /// Until when all changes of the store are known: what is heard next was written later.
    complete_at: Cell<Option<Instant>>,
    revision: Cell<u64>,
    phase: watch::Sender<Phase>,
    /// When the process ends, once it has been told to.
    ends: Cell<Option<Instant>>,
    in_flight: Cell<u64>,
    /// Log lines that were left out when that was last logged.
    pub(crate) dropped_lines: Cell<u64>,
}

/// When a question to the store was asked and answered. Its answer holds all changes until some time
/// between.
#[derive(Debug, Clone, Copy)]
pub struct Reading {
    /// When it was asked, if that is known.
    pub asked: Option<Instant>,
    /// When it was answered.
    pub answered: Instant,
}

/// A request counted as in flight until dropped.
#[derive(Debug)]
pub struct InFlight<'a>(&'a State);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// How far the daemon is from its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Serving,
    Leaving,
    Closing,
}

impl State {
    /// Creates the state of a daemon that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, names: Names) -> Self {
        let (phase, _) = watch::channel(Phase::Serving);
        let board = peers::board(&settings);
        let room = Room::new(settings.memory_bytes);
        Self {
            bounds: Cell::new(settings.bounds),
            settings,
            names,
            servers: RefCell::default(),
            board: RefCell::new(board),
            accounts: RefCell::default(),
            picture: RefCell::default(),
            budgets: RefCell::default(),
            splits: RefCell::default(),
            spills: RefCell::default(),
            busy: RefCell::default(),
            idle_limit: Cell::default(),
            views: RefCell::default(),
            owned: RefCell::default(),
            serving: RefCell::default(),
            quarantine: Quarantine::default(),
            room,
            metrics: Metrics::default(),
            config: RefCell::default(),
            roster: RefCell::default(),
            replica: RefCell::default(),
            cut_at: Cell::new(None),
            read_at: Cell::new(None),
            complete_at: Cell::new(None),
            revision: Cell::new(0),
            phase,
            ends: Cell::new(None),
            in_flight: Cell::new(0),
            dropped_lines: Cell::new(0),
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// Returns the version in force.
    #[must_use]
    pub fn version(&self) -> Version {
        let config = self.config.borrow();
        config
            .as_ref()
            .map(|config| config.version)
            .unwrap_or_default()
    }

    /// Returns the fleet's bounds in force.
    #[must_use]
    pub fn bounds(&self) -> Bounds {
        self.bounds.get()
    }

    /// Puts other bounds in force; returns whether they differ.
    pub fn set_bounds(&self, bounds: Bounds) -> bool {
        self.bounds.replace(bounds) != bounds
    }

    /// Returns the bounds on what callers may send.
    #[must_use]
    pub fn limits(&self) -> Limits {
        let config = self.config.borrow();
        config
            .as_ref()
            .map(|config| config.limits)
            .unwrap_or_default()
    }

    /// Returns the store's revision up to which changes are known.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Notes that all changes up to `revision` are known, as `reading` got them.
    pub fn set_revision(&self, revision: u64, reading: Reading) {
        self.revision.set(revision);
        self.read_at.set(Some(reading.answered));
        self.complete_at.set(reading.asked);
    }

    /// Notes that what is heard next may be old: a list holds heartbeats that a lead left out before.
    pub fn forget_completeness(&self) {
        self.complete_at.set(None);
    }

    /// Returns until when all changes of the store are known.
    #[must_use]
    pub fn complete_at(&self) -> Option<Instant> {
        self.complete_at.get()
    }

    /// Returns when the state was last brought up to date.
    #[must_use]
    pub fn read_at(&self) -> Option<Instant> {
        self.read_at.get()
    }

    /// Notes that all keys are known as of `revision`.
    pub fn note_listed(&self, revision: u64) {
        self.replica.borrow_mut().note_listed(revision);
    }

    /// Returns the replica of the store's keys.
    pub fn replica(&self) -> Ref<'_, Replica> {
        self.replica.borrow()
    }

    /// Returns whether the daemon can serve callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.read_at.get().is_some() && self.config.borrow().is_some()
    }

    /// Returns whether the daemon has begun to stop.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        *self.phase.borrow() >= Phase::Leaving
    }

    /// Counts a request as in flight.
    #[must_use]
    pub fn begin(&self) -> InFlight<'_> {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight(self)
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        self.in_flight.get()
    }

    /// Returns whether a request that takes until `deadline` can end before the process does.
    #[must_use]
    pub fn can_finish(&self, deadline: Instant) -> bool {
        self.ends.get().is_none_or(|ends| deadline <= ends)
    }

    /// Begins to stop: callers are told to go elsewhere, and the process ends at `ends`.
    pub fn leave(&self, ends: Instant) {
        self.ends.set(Some(ends));
        self.phase.send_replace(Phase::Leaving);
    }

    /// Ends idle connections.
    pub fn close(&self) {
        self.phase.send_replace(Phase::Closing);
    }

    /// Waits until the daemon begins to stop.
    pub async fn left(&self) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as the state.
        let _ = phase.wait_for(|phase| *phase >= Phase::Leaving).await;
    }

    /// Waits until idle connections are to end.
    pub async fn closing(&self) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as the state.
        let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
    }

    /// Returns the region of `zone`.
    #[must_use]
    pub fn region_of(&self, zone: &str) -> &str {
        self.settings.zones.get(zone).map_or("", String::as_str)
    }

    /// Returns whether no requests may go to `zone`.
    #[must_use]
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.roster.borrow().is_evacuated(zone)
    }

    /// Lets what follows from the other entry VMs be worked out anew.
    pub fn forget_derived(&self) {
        self.owned.borrow_mut().clear();
        self.serving.borrow_mut().clear();
    }

    /// Returns the zones and addresses of the other entry VMs that callers may be sent to.
    #[must_use]
    pub fn ready_peers(&self) -> Vec<(String, SocketAddr)> {
        let board = self.board.borrow();
        let ready = board.ready(&self.picture.borrow());
        let ready = ready.into_iter().filter_map(|(_, announcement)| {
            Some((announcement.zone.clone(), announcement.callers?))
        });
        ready.collect()
    }

    /// Returns the number of entry VMs in `zone` that serve callers, at least 1, as of the latest
    /// tick.
    #[must_use]
    pub fn vms_in(&self, zone: &str) -> f64 {
        if let Some(vms) = self.serving.borrow().get(zone) {
            return *vms;
        }
        let vms = self.count_in(zone);
        self.serving.borrow_mut().insert(zone.to_owned(), vms);
        vms
    }

    fn count_in(&self, zone: &str) -> f64 {
        let board = self.board.borrow();
        let others = board.ready(&self.picture.borrow());
        let others = others.iter().filter(|(_, peer)| peer.zone == zone).count();
        let own = usize::from(self.settings.zone == zone);
        steer::to_f64((others + own).max(1))
    }

    /// Returns the state services of entry VMs that know more of the store.
    #[must_use]
    pub fn ahead(&self) -> Vec<SocketAddr> {
        let board = self.board.borrow();
        board.ahead(&self.picture.borrow(), self.revision())
    }

    /// Returns the state service of the entry VM that leads the zone, if that is another.
    #[must_use]
    pub fn lead(&self) -> Option<SocketAddr> {
        self.board.borrow().leader_state_addr(Instant::now())
    }

    /// Counts a repeat for `service` if there is room for it.
    pub fn take_repeat(&self, service: &str) -> bool {
        let vms = self.board.borrow().count();
        let mut budgets = self.budgets.borrow_mut();
        let bound = self.bounds().retries;
        let budget = budgets
            .entry(service.to_owned())
            .or_insert_with(|| Budget::new(bound));
        budget.set_limit(bound);
        budget.take(vms, Instant::now())
    }

    /// Counts a request for `service`.
    pub fn note_request(&self, service: &str) {
        let mut budgets = self.budgets.borrow_mut();
        let now = Instant::now();
        if let Some(budget) = budgets.get_mut(service) {
            budget.note_request(now);
            return;
        }
        let mut budget = Budget::new(self.bounds().retries);
        budget.note_request(now);
        budgets.insert(service.to_owned(), budget);
    }
}
