//! State shared by all tasks of the daemon.

use std::cell::{Cell, OnceCell, Ref, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fleet::config::Limits;
use fleet::report::{Announced, Report};
use fleet::restore::{Eras, Grace, Position};
use fleet::{Config, Membership, Roster, Version};
use steer::admission::Admission;
use steer::budget::Budget;
use steer::idle::Limit;
use steer::owner::Views;
use steer::partition::Detector;
use steer::placement::Distance;
use steer::quota::Limiter;
use steer::spill::Spill;
use steer::split::Split;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};

use crate::ask::Asks;
use crate::bulk::Bulk;
use crate::catch_up::CatchUp;
use crate::leaving::Leaving;
use crate::memory::{Pool, ResponseSizes};
use crate::metrics::Metrics;
use crate::names::Names;
use crate::peers;
use crate::pressure::Sharing;
use crate::quarantine::Quarantine;
use crate::relay::scout::Scout;
use crate::relay::{Confirmed, Resting};
use crate::replica::Replica;
use crate::servers::Servers;
use crate::settings::{Bounds, Settings};

/// Time in which a response that is there at the deadline reaches its caller.
const ANSWER_TIME: Duration = Duration::from_millis(500);

/// Time without an update after which the store may have been down: longer than a pause and a watch of a
/// leader, a slow response and the interval between two fetches from it.
pub const MIN_GAP: Duration = Duration::from_millis(1_500);

/// State of the daemon.
#[derive(Debug)]
pub struct State {
    /// Settings at the start; see [`State::bounds`] for those that may change.
    pub settings: Settings,
    bounds: Cell<Bounds>,
    /// Names of headers and paths.
    pub names: Names,
    /// Backend servers.
    pub servers: RefCell<Servers>,
    /// Other entry VMs.
    pub membership: RefCell<Membership>,
    /// Rate limiters of the workspaces that have a rate, by the hash of the workspace's name.
    pub limiters: RefCell<HashMap<u32, Limiter>>,
    /// Questions to the owners of limits.
    pub(crate) asks: Asks,
    /// When each workspace was last logged as having used up its rate.
    pub(crate) logged_rates: RefCell<HashMap<u32, Instant>>,
    /// Socket for messages between entry VMs, once it is bound.
    pub(crate) peer_socket: OnceCell<UdpSocket>,
    /// Retry budgets by service.
    pub budgets: RefCell<HashMap<String, Budget>>,
    /// Requests, times and priorities by service, for the decision on who waits and who is refused.
    pub(crate) admission: RefCell<Admission>,
    /// Traffic splits by route.
    pub splits: RefCell<HashMap<String, Split>>,
    /// Part of the requests that spills to other zones, by service.
    pub spills: RefCell<HashMap<String, Spill>>,
    /// Services whose servers answer without their load.
    pub(crate) without_load: RefCell<HashSet<String>>,
    /// Since when backend servers have been known.
    pub(crate) servers_since: Cell<Option<Instant>>,
    /// Utilization of the backend servers of this zone, by service.
    pub utilization: RefCell<HashMap<String, f64>>,
    /// How long connections to backend servers may be idle and still be reused.
    pub idle_limit: Cell<Limit>,
    /// Recent views of the VMs that may own cold servers.
    pub(crate) views: RefCell<Views>,
    /// Cold servers by hash, and whether this entry VM may send requests to them; cleared by each
    /// tick.
    pub(crate) owned: RefCell<HashMap<u64, bool>>,
    /// Number of entry VMs that serve callers, by zone; cleared by each tick.
    serving: RefCell<HashMap<String, f64>>,
    /// Load reports shared with other entry VMs.
    pub(crate) sharing: Sharing,
    /// Requests that crash backend servers.
    pub quarantine: Quarantine,
    /// Memory for request bodies.
    pub body_memory: Pool,
    /// Sizes of the routes' responses.
    pub(crate) response_sizes: ResponseSizes,
    /// Backend servers that said that they leave.
    pub(crate) leaving: Leaving,
    /// Servers that were found unreachable since the latest response.
    pub(crate) partition: RefCell<Detector>,
    /// Wakes the probes of servers that were lost in a partition of this VM.
    pub(crate) partition_ended: Notify,
    /// When all servers were last probed because this VM seemed to be partitioned.
    pub(crate) swept_at: Cell<Option<Instant>>,
    /// The search for VMs that reach the servers which this VM does not reach.
    pub(crate) scout: Scout,
    /// VMs through which requests cannot be passed on for now.
    pub(crate) resting_relays: Resting,
    /// Which states of the store VMs of older versions know.
    pub(crate) confirmed: Confirmed,
    /// Whether requests are being passed on through other VMs, as last logged.
    pub(crate) relays_logged: Cell<bool>,
    /// Metrics.
    pub metrics: Metrics,
    /// Reports about the fleet, including this VM's.
    pub(crate) fleet_report: RefCell<Report>,
    pub(crate) config: RefCell<Option<Rc<Config>>>,
    /// State of the store in which the configuration in force was written.
    pub(crate) config_position: Cell<Position>,
    pub(crate) roster: RefCell<Roster>,
    /// Requests that wait for the state of another VM.
    pub(crate) catch_up: CatchUp,
    /// Large values of the store.
    pub(crate) bulk: Bulk,
    /// Keys as the store has them, for entry VMs that do not read the store.
    pub(crate) replica: RefCell<Replica>,
    /// Announced VMs of this zone, as the store has them.
    pub(crate) announced: RefCell<Vec<Announced>>,
    /// Wakes the task that announces the VMs of this zone.
    pub(crate) announcement_due: Notify,
    /// Whether an entry VM that knows the store's state has told which VMs there are.
    pub(crate) is_introduced: Cell<bool>,
    /// When this VM was last found to be partitioned.
    pub(crate) partitioned_at: Cell<Option<Instant>>,
    /// When the state was last updated.
    read_at: Cell<Option<Instant>>,
    /// Since when the state has been recent, without a gap of [`MIN_GAP`].
    steady_since: Cell<Option<Instant>>,
    /// When this VM last had news of the store before the outage that it assumes.
    pub(crate) silent_since: Cell<Option<Instant>>,
    /// The VM by which this one assumes an outage of the store, unless it does so by itself.
    pub(crate) rejoin_from: Cell<Option<SocketAddr>>,
    /// Time up to which all changes of the store are known: changes that arrive next were written
    /// later.
    complete_until: Cell<Option<Instant>>,
    /// The store's state up to which changes are known.
    pub(crate) eras: RefCell<Eras>,
    /// Keys that may be missing in the store only since it was restored from an older copy.
    pub(crate) grace: RefCell<Grace>,
    phase: watch::Sender<Phase>,
    /// When the process ends, once it is shutting down.
    ends_at: Cell<Option<Instant>>,
    in_flight: Cell<u64>,
    /// Connections that stay open until the caller has read the last response.
    lingering: Cell<u64>,
    /// Number of dropped log lines as last logged.
    pub(crate) dropped_lines: Cell<u64>,
}

/// When a query to the store was sent and answered. The response contains all changes up to some
/// time in between.
#[derive(Debug, Clone, Copy)]
pub struct Reading {
    /// When it was sent, if that is known.
    pub sent_at: Option<Instant>,
    /// When it was answered.
    pub answered_at: Instant,
}

/// Counts a request as in flight until dropped: until its response is written.
#[derive(Debug)]
pub struct InFlight(Rc<State>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Counts a connection as open for its last response to be read until dropped.
#[derive(Debug)]
pub struct Lingering(Rc<State>);

impl Drop for Lingering {
    fn drop(&mut self) {
        self.0.lingering.set(self.0.lingering.get() - 1);
    }
}

/// Phases of the shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Serving,
    Leaving,
    Closing,
}

impl State {
    /// Creates the state of a daemon that has no configuration yet.
    #[must_use]
    pub fn new(settings: Settings, names: Names) -> Self {
        let (phase, _) = watch::channel(Phase::Serving);
        let membership = peers::membership(&settings);
        let body_memory = Pool::new(settings.memory_bytes);
        let bulk = Bulk::new(settings.link_bytes_per_s);
        Self {
            bounds: Cell::new(settings.bounds),
            settings,
            names,
            servers: RefCell::default(),
            membership: RefCell::new(membership),
            limiters: RefCell::default(),
            asks: Asks::default(),
            logged_rates: RefCell::default(),
            peer_socket: OnceCell::new(),
            fleet_report: RefCell::default(),
            budgets: RefCell::default(),
            admission: RefCell::default(),
            splits: RefCell::default(),
            spills: RefCell::default(),
            without_load: RefCell::default(),
            servers_since: Cell::new(None),
            utilization: RefCell::default(),
            idle_limit: Cell::default(),
            views: RefCell::default(),
            owned: RefCell::default(),
            serving: RefCell::default(),
            sharing: Sharing::default(),
            quarantine: Quarantine::default(),
            body_memory,
            response_sizes: ResponseSizes::default(),
            leaving: Leaving::default(),
            partition: RefCell::default(),
            partition_ended: Notify::new(),
            swept_at: Cell::new(None),
            scout: Scout::default(),
            resting_relays: Resting::default(),
            confirmed: Confirmed::default(),
            relays_logged: Cell::new(false),
            metrics: Metrics::default(),
            config: RefCell::default(),
            config_position: Cell::default(),
            roster: RefCell::default(),
            catch_up: CatchUp::default(),
            bulk,
            replica: RefCell::default(),
            announced: RefCell::default(),
            announcement_due: Notify::new(),
            is_introduced: Cell::new(false),
            partitioned_at: Cell::new(None),
            read_at: Cell::new(None),
            steady_since: Cell::new(None),
            silent_since: Cell::new(None),
            rejoin_from: Cell::new(None),
            complete_until: Cell::new(None),
            eras: RefCell::default(),
            grace: RefCell::default(),
            phase,
            ends_at: Cell::new(None),
            in_flight: Cell::new(0),
            lingering: Cell::new(0),
            dropped_lines: Cell::new(0),
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// Returns the version of the configuration in force.
    #[must_use]
    pub fn version(&self) -> Version {
        let config = self.config.borrow();
        config
            .as_ref()
            .map(|config| config.version)
            .unwrap_or_default()
    }

    /// Returns the state of the store in which the configuration in force was written.
    #[must_use]
    pub fn config_position(&self) -> Position {
        self.config_position.get()
    }

    /// Returns the fleet's bounds in force.
    #[must_use]
    pub fn bounds(&self) -> Bounds {
        self.bounds.get()
    }

    /// Replaces the fleet's bounds; returns whether they differ.
    pub fn set_bounds(&self, bounds: Bounds) -> bool {
        self.bounds.replace(bounds) != bounds
    }

    /// Returns the limits on callers' requests.
    #[must_use]
    pub fn limits(&self) -> Limits {
        let config = self.config.borrow();
        config
            .as_ref()
            .map(|config| config.limits)
            .unwrap_or_default()
    }

    /// Returns the store's state up to which changes are known.
    #[must_use]
    pub fn position(&self) -> Position {
        self.eras.borrow().position()
    }

    /// Returns the store's revision up to which changes are known.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.position().revision
    }

    /// Returns what is known of the store's eras.
    pub fn eras(&self) -> Ref<'_, Eras> {
        self.eras.borrow()
    }

    /// Returns the keys that may be missing only since the store was restored from an older copy.
    pub fn grace(&self) -> Ref<'_, Grace> {
        self.grace.borrow()
    }

    /// Records that all changes up to `revision` of the present era are known, as of `reading`.
    pub fn set_revision(&self, revision: u64, reading: Reading) {
        self.eras.borrow_mut().set_revision(revision);
        let earlier = self.read_at.replace(Some(reading.answered_at));
        let is_gap = |at: Instant| reading.answered_at.saturating_duration_since(at) >= MIN_GAP;
        if earlier.is_none_or(is_gap) {
            self.steady_since.set(Some(reading.answered_at));
        }
        self.complete_until.set(reading.sent_at);
    }

    /// Records that what is urgent is known as of `read_at`, while a large value is on its way.
    pub fn note_urgent(&self, read_at: Instant) {
        self.read_at.set(self.read_at.get().max(Some(read_at)));
    }

    /// Records that the next changes may be old: a listing contains heartbeats that the leader left
    /// out before.
    pub fn clear_complete_until(&self) {
        self.complete_until.set(None);
    }

    /// Returns the time up to which all changes of the store are known.
    #[must_use]
    pub fn complete_until(&self) -> Option<Instant> {
        self.complete_until.get()
    }

    /// Returns since when the state has been recent all the time.
    #[must_use]
    pub fn steady_since(&self) -> Option<Instant> {
        self.steady_since.get()
    }

    /// Returns when the state was last updated.
    #[must_use]
    pub fn read_at(&self) -> Option<Instant> {
        self.read_at.get()
    }

    /// Records that all keys are known as of `revision`.
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

    /// Returns whether the daemon is shutting down.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        *self.phase.borrow() >= Phase::Leaving
    }

    /// Counts a request as in flight.
    #[must_use]
    pub fn begin_request(self: &Rc<Self>) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight(Rc::clone(self))
    }

    /// Counts a connection that is open until the caller has read its last response.
    #[must_use]
    pub fn begin_linger(self: &Rc<Self>) -> Lingering {
        self.lingering.set(self.lingering.get() + 1);
        Lingering(Rc::clone(self))
    }

    /// Returns whether callers wait for a response, or may not have read all of it.
    #[must_use]
    pub fn has_callers(&self) -> bool {
        self.in_flight.get() > 0 || self.lingering.get() > 0
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        self.in_flight.get()
    }

    /// Returns whether a request with `deadline` can be answered before the process ends.
    #[must_use]
    pub fn can_finish(&self, deadline: Instant) -> bool {
        let latest = deadline + ANSWER_TIME;
        self.ends_at.get().is_none_or(|ends_at| latest <= ends_at)
    }

    /// Waits until this VM stops and a request with `deadline` cannot be answered before its end.
    pub async fn wait_cannot_finish(&self, deadline: Instant) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as the state.
        let _ = phase.wait_for(|phase| *phase >= Phase::Leaving).await;
        if self.can_finish(deadline) {
            std::future::pending::<()>().await;
        }
    }

    /// Begins the shutdown: callers are directed to other entry VMs, and the process ends at
    /// `ends_at`.
    pub fn leave(&self, ends_at: Instant) {
        self.ends_at.set(Some(ends_at));
        self.phase.send_replace(Phase::Leaving);
    }

    /// Closes idle connections.
    pub fn close(&self) {
        self.phase.send_replace(Phase::Closing);
    }

    /// Waits until idle connections are to be closed.
    pub async fn wait_closing(&self) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as the state.
        let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
    }

    /// Returns the region of `zone`.
    #[must_use]
    pub fn region_of(&self, zone: &str) -> &str {
        self.settings.zones.get(zone).map_or("", String::as_str)
    }

    /// Returns the distance from this VM to `zone`.
    #[must_use]
    pub fn distance_to(&self, zone: &str) -> Distance {
        if zone == self.settings.zone {
            Distance::Zone
        } else if self.region_of(zone) == self.settings.region {
            Distance::Region
        } else {
            Distance::Far
        }
    }

    /// Returns whether no requests may be sent to `zone`.
    #[must_use]
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.roster.borrow().is_evacuated(zone)
    }

    /// Clears the values derived from the other entry VMs' reports, so that they are computed
    /// again.
    pub fn clear_derived(&self) {
        self.owned.borrow_mut().clear();
        self.serving.borrow_mut().clear();
        self.asks.clear_owners();
    }

    /// Returns the zones and addresses of the other entry VMs that callers may be sent to.
    #[must_use]
    pub fn ready_peers(&self) -> Vec<(String, SocketAddr)> {
        let membership = self.membership.borrow();
        let ready = membership.ready(&self.fleet_report.borrow());
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
        let vms = self.count_vms_in(zone);
        self.serving.borrow_mut().insert(zone.to_owned(), vms);
        vms
    }

    fn count_vms_in(&self, zone: &str) -> f64 {
        let membership = self.membership.borrow();
        let others = membership.ready(&self.fleet_report.borrow());
        let others = others.iter().filter(|(_, peer)| peer.zone == zone).count();
        let own = usize::from(self.settings.zone == zone);
        steer::to_f64((others + own).max(1))
    }

    /// Returns the snapshot addresses of entry VMs that know a later state of the store.
    #[must_use]
    pub fn peers_ahead(&self) -> Vec<SocketAddr> {
        let membership = self.membership.borrow();
        membership.ahead(&self.fleet_report.borrow(), self.position().to_number())
    }

    /// Returns the snapshot address of the entry VM that leads the zone, if that is another one.
    #[must_use]
    pub fn leader(&self) -> Option<SocketAddr> {
        self.membership.borrow().leader_state_addr(Instant::now())
    }

    /// Takes a retry for `service` out of the budget; returns whether there was one.
    pub fn take_retry(&self, service: &str) -> bool {
        let vms = self.membership.borrow().count();
        let mut budgets = self.budgets.borrow_mut();
        let limit = self.bounds().retries;
        let budget = budgets
            .entry(service.to_owned())
            .or_insert_with(|| Budget::new(limit));
        budget.set_limit(limit);
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
