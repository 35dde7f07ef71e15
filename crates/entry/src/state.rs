//! State that all tasks of the daemon share.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use event::Event;
use fleet::config::Limits;
use fleet::roster::Change;
use fleet::board::{Announcement, Asked, Report};
use fleet::{Board, Config, Entry, Item, Roster, Version, Workspace};
use steer::budget::Budget;
use steer::cold::Vm;
use steer::place::Distance;
use steer::spill::{Busy, Shares, Spill};
use steer::quota::{Account, Others, Rate};
use steer::split::Split;
use tokio::sync::watch;

use crate::copy::Copy;
use crate::counts::Counts;
use crate::names::Names;
use crate::peers;
use crate::quarantine::Quarantine;
use crate::servers::{Live, Servers};
use crate::settings::Settings;
use crate::store::Raw;

/// Busyness of a zone without backend servers, which all its work must leave.
const NO_SLOTS_BUSY: f64 = 2.0;

/// State of the daemon.
#[derive(Debug)]
pub struct State {
    /// Settings in force.
    pub settings: Settings,
    /// Header names.
    pub names: Names,
    /// Backend servers.
    pub servers: RefCell<Servers>,
    /// Other entry VMs.
    pub board: RefCell<Board>,
    /// Workspaces that have a rate.
    pub accounts: RefCell<HashMap<String, Account>>,
    /// Repeats by service.
    pub budgets: RefCell<HashMap<String, Budget>>,
    /// Shares by route.
    pub splits: RefCell<HashMap<String, Split>>,
    /// Objects that begin away from this zone, by service.
    pub spills: RefCell<HashMap<String, Spill>>,
    /// How busy the backend servers of this zone are, by service.
    pub busy: RefCell<HashMap<String, f64>>,
    /// Requests that crash backend servers.
    pub quarantine: Quarantine,
    /// Counters.
    pub counts: Counts,
    /// What is known of the fleet, this VM included.
    picture: RefCell<Report>,
    config: RefCell<Option<Rc<Config>>>,
    roster: RefCell<Roster>,
    /// Keys as the store holds them, for entry VMs that do not read it.
    copy: RefCell<Copy>,
    /// When the state was last brought up to date.
    read_at: Cell<Option<Instant>>,
    revision: Cell<u64>,
    phase: watch::Sender<Phase>,
    /// When the process ends, once it has been told to.
    ends: Cell<Option<Instant>>,
    in_flight: Cell<u64>,
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
        Self {
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
            quarantine: Quarantine::default(),
            counts: Counts::default(),
            config: RefCell::default(),
            roster: RefCell::default(),
            copy: RefCell::default(),
            read_at: Cell::new(None),
            revision: Cell::new(0),
            phase,
            ends: Cell::new(None),
            in_flight: Cell::new(0),
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
        config.as_ref().map(|config| config.version).unwrap_or_default()
    }

    /// Returns the bounds on what callers may send.
    #[must_use]
    pub fn limits(&self) -> Limits {
        let config = self.config.borrow();
        config.as_ref().map(|config| config.limits).unwrap_or_default()
    }

    /// Returns the store's revision up to which changes are known.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Notes that all changes up to `revision` are known.
    pub fn set_revision(&self, revision: u64, read_at: Instant) {
        self.revision.set(revision);
        self.read_at.set(Some(read_at));
    }

    /// Returns when the state was last brought up to date.
    #[must_use]
    pub fn read_at(&self) -> Option<Instant> {
        self.read_at.get()
    }

    /// Notes that all keys are known as of `revision`.
    pub fn note_listed(&self, revision: u64) {
        self.copy.borrow_mut().note_listed(revision);
    }

    /// Returns the copy of the store's keys.
    pub fn copy(&self) -> std::cell::Ref<'_, Copy> {
        self.copy.borrow()
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

    /// Takes a key of the store that `item` is the meaning of.
    pub fn apply(&self, raw: Raw, item: Item) {
        let mut is_heartbeat = false;
        match item {
            Item::Other => return,
            Item::Config(config) => self.put_in_force(*config),
            Item::Server { id, entry } => is_heartbeat = self.register(&id, entry),
            Item::ServerGone { id } => self.forget(&id),
            Item::Evacuated { zone } => self.evacuate(&zone, true),
            Item::Restored { zone } => self.evacuate(&zone, false),
            Item::Member { vm, bytes } => self.announce(&vm, &bytes),
            Item::MemberGone { vm } => self.board.borrow_mut().withdraw(&vm),
            Item::Unreadable { key, problem } => {
                event::emit(&Event::KeyUnreadable { key, problem });
                return;
            }
        }
        self.copy.borrow_mut().put(raw, is_heartbeat);
    }

    /// Notes that the store answers again after an outage.
    pub fn note_outage_end(&self, now: Instant) {
        self.roster.borrow_mut().note_outage_end(now);
    }

    /// Returns until when missing backend servers are kept.
    #[must_use]
    pub fn rejoin_until(&self) -> Option<Instant> {
        self.roster.borrow().rejoin_until()
    }

    /// Keeps missing backend servers until `until`, as another entry VM does.
    pub fn set_rejoin_until(&self, until: Instant) {
        self.roster.borrow_mut().set_rejoin_until(until);
    }

    /// Gives up backend servers that have not registered again in time.
    pub fn expire(&self, now: Instant) {
        let expired = self.roster.borrow_mut().expire(now);
        for server in expired {
            self.drop_server(&server.id);
        }
    }

    fn put_in_force(&self, config: Config) {
        if self.config.borrow().is_some() && config.version <= self.version() {
            return;
        }
        event::emit(&Event::ConfigInForce {
            revision: config.version.0,
        });
        self.config.replace(Some(Rc::new(config)));
        self.rebalance(0.0, Instant::now());
    }

    /// Takes a backend server's registration; returns whether it says nothing new.
    fn register(&self, id: &str, entry: Entry) -> bool {
        let now = Instant::now();
        let change = self.roster.borrow_mut().register(id, entry);
        let was_cold = self.servers.borrow().get(id).is_some_and(|live| live.says_cold(now));
        let roster = self.roster.borrow();
        let Some(server) = roster.server(id) else {
            return false;
        };
        let is_cold = !server.entry.warmup_left.is_zero();
        let mut servers = self.servers.borrow_mut();
        match (change, servers.get(id)) {
            (Change::None, Some(_)) => {}
            (Change::Heartbeat | Change::Leaving, Some(live)) if live.addr == server.entry.addr => {
                live.slots.set(server.entry.slots);
                live.ready.set(server.entry.phase == fleet::Phase::Ready);
                live.cold.borrow_mut().note_heartbeat(server.entry.warmup_left, now);
                if change == Change::Leaving {
                    live.idle.borrow_mut().clear();
                    event::emit(&Event::ServerLeaving { server: id.to_owned() });
                }
            }
            _ => {
                let zone = &server.entry.zone;
                let region = self.region_of(zone).to_owned();
                let live = Live::new(server, &region, self.distance(zone), now);
                servers.put(live);
                event::emit(&Event::ServerJoined {
                    server: id.to_owned(),
                    service: server.entry.service.clone(),
                    zone: zone.clone(),
                    backend: server.entry.addr,
                });
            }
        }
        matches!(change, Change::None | Change::Heartbeat) && is_cold == was_cold
    }

    fn distance(&self, zone: &str) -> Distance {
        if zone == self.settings.zone {
            Distance::Zone
        } else if self.region_of(zone) == self.settings.region {
            Distance::Region
        } else {
            Distance::Far
        }
    }

    fn forget(&self, id: &str) {
        let removed = self.roster.borrow_mut().remove(id, Instant::now());
        if removed.is_some() {
            self.drop_server(id);
        }
    }

    fn drop_server(&self, id: &str) {
        self.servers.borrow_mut().remove(id);
        event::emit(&Event::ServerGone { server: id.to_owned() });
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
        for live in servers.iter().filter(|live| live.zone == zone) {
            live.cold.borrow_mut().suspect(now);
        }
    }

    /// Returns whether no requests may go to `zone`.
    #[must_use]
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.roster.borrow().is_evacuated(zone)
    }

    fn announce(&self, vm: &str, bytes: &[u8]) {
        match postcard::from_bytes::<Announcement>(bytes) {
            Ok(announcement) => {
                let mut board = self.board.borrow_mut();
                board.announce(vm, announcement, Instant::now());
            }
            Err(error) => event::emit(&Event::KeyUnreadable {
                key: vm.to_owned(),
                problem: error.to_string(),
            }),
        }
    }

    /// Returns whether this entry VM may send work to the cold server `live`.
    #[must_use]
    pub fn owns(&self, live: &Live) -> bool {
        let own = peers::rank(&self.settings.vm);
        let board = self.board.borrow();
        let ready = board.ready(&self.picture.borrow());
        let vm = |(name, announcement): &(&str, &Announcement)| {
            let region = self.region_of(&announcement.zone);
            (peers::rank(name), announcement.zone.clone(), region)
        };
        let others: Vec<(u64, String, &str)> = ready.iter().map(vm).collect();
        let mut vms: Vec<Vm<'_>> = others
            .iter()
            .map(|(name, zone, region)| Vm {
                name: *name,
                zone,
                region,
            })
            .collect();
        vms.push(Vm {
            name: own,
            zone: &self.settings.zone,
            region: &self.settings.region,
        });
        steer::cold::owner(live.hash, &live.zone, &live.region, &vms) == Some(own)
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

    /// Returns the state services of entry VMs that know more of the store.
    #[must_use]
    pub fn ahead(&self) -> Vec<SocketAddr> {
        let board = self.board.borrow();
        board.ahead(&self.picture.borrow(), self.revision())
    }

    /// Returns the state service of the entry VM that leads the zone, if that is another.
    #[must_use]
    pub fn lead(&self) -> Option<SocketAddr> {
        self.board.borrow().lead(Instant::now())
    }

    /// Draws conclusions from what the other entry VMs told, `elapsed_s` seconds after the last
    /// time.
    pub fn tick(&self, elapsed_s: f64, now: Instant) {
        self.expire(now);
        let mut board = self.board.borrow_mut();
        board.expire(now);
        self.picture.replace(board.fleet(now));
        drop(board);
        self.quarantine.learn(&self.picture.borrow().crashes);
        self.quarantine.expire();
        self.rebalance(elapsed_s, now);
        self.spill(elapsed_s, now);
    }

    /// Works out the shares of the workspaces' rates.
    fn rebalance(&self, elapsed_s: f64, now: Instant) {
        let Some(config) = self.config() else {
            return;
        };
        let mut accounts = self.accounts.borrow_mut();
        let mut seen = HashSet::new();
        for workspace in config.keys.values().filter(|workspace| workspace.rate_per_s > 0.0) {
            if !seen.insert(workspace.name.as_str()) {
                continue;
            }
            let rate = Rate {
                per_s: workspace.rate_per_s,
                burst: workspace.burst,
            };
            let others = self.others(workspace);
            let account = accounts.entry(workspace.name.clone());
            let account = account.or_insert_with(|| Account::new(rate, now));
            account.rebalance(rate, others, elapsed_s, now);
        }
        accounts.retain(|name, _| seen.contains(name.as_str()));
    }

    /// Returns what the other entry VMs tell of `workspace`.
    fn others(&self, workspace: &Workspace) -> Others {
        let number = peers::number(&workspace.name);
        let board = self.board.borrow();
        let picture = self.picture.borrow();
        let all = picture.asked(number);
        let own = board.told().asked(number);
        let without_own = |of: fn(&Asked) -> f32| {
            let all = all.map_or(0.0, |asked| f64::from(of(asked)));
            (all - own.map_or(0.0, |asked| f64::from(of(asked)))).max(0.0)
        };
        Others {
            demand: without_own(|asked| asked.demand),
            admitted: without_own(|asked| asked.admitted),
            vms: board.count().max(picture.vms.len()),
            heard: picture.vms.len().max(1),
        }
    }

    /// Counts a repeat for `service` if there is room for it.
    pub fn take_repeat(&self, service: &str) -> bool {
        let vms = self.board.borrow().count();
        let mut budgets = self.budgets.borrow_mut();
        let bound = self.settings.bounds.repeats;
        let budget = budgets
            .entry(service.to_owned())
            .or_insert_with(|| Budget::new(bound));
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
        let mut budget = Budget::new(self.settings.bounds.repeats);
        budget.note_request(now);
        budgets.insert(service.to_owned(), budget);
    }

    /// Works out which objects begin away from this zone.
    fn spill(&self, elapsed_s: f64, now: Instant) {
        let servers = self.servers.borrow();
        let picture = self.picture.borrow();
        for service in servers.services() {
            self.note_busy(service, servers.of(service), now);
            let busy = self.busy_around(service, &picture, servers.of(service));
            let mut spills = self.spills.borrow_mut();
            let spill = spills.entry(service.clone()).or_default();
            if !self.budgets.borrow().contains_key(service) {
                *spill = self.prior(&picture, servers.of(service));
            }
            let zone = picture.load(peers::number(service), peers::number(&self.settings.zone));
            let told = zone.map(|load| Spill {
                zone: f64::from(load.spill_zone),
                region: f64::from(load.spill_region),
            });
            *spill = spill.after(busy, elapsed_s).mean(told.as_slice());
        }
    }

    /// Returns the objects that begin away from this zone before any request was seen.
    fn prior(&self, picture: &Report, servers: &[Rc<Live>]) -> Spill {
        let board = self.board.borrow();
        let mut zones: Vec<&str> = board.ready(picture).iter().map(|(_, peer)| peer.zone.as_str()).collect();
        zones.push(&self.settings.zone);
        let in_region = |zone: &&&str| self.region_of(zone) == self.settings.region;
        let in_zone = |zone: &&&str| **zone == self.settings.zone;
        let callers = zones.len() as f64;
        let slots = |most: Distance| -> f64 {
            let near = servers.iter().filter(|live| live.distance <= most);
            near.map(|live| f64::from(live.slots.get())).sum()
        };
        let all = slots(Distance::Far).max(1.0);
        Spill::prior(Shares {
            zone_slots: slots(Distance::Zone) / all,
            region_slots: slots(Distance::Region) / all,
            zone_callers: zones.iter().filter(in_zone).count() as f64 / callers,
            region_callers: zones.iter().filter(in_region).count() as f64 / callers,
        })
    }

    fn note_busy(&self, service: &str, servers: &[Rc<Live>], now: Instant) {
        let own = servers.iter().filter(|live| live.distance == Distance::Zone && live.ready.get());
        let (load, slots) = own.fold((0.0, 0.0), |(load, slots), live| {
            (load + live.load(now), slots + f64::from(live.slots.get()))
        });
        let seen = if slots > 0.0 { load / slots } else { NO_SLOTS_BUSY };
        let mut busy = self.busy.borrow_mut();
        let smooth = busy.entry(service.to_owned()).or_insert(seen);
        *smooth = f64::midpoint(*smooth, seen);
    }

    fn busy_around(&self, service: &str, picture: &Report, servers: &[Rc<Live>]) -> Busy {
        let number = peers::number(service);
        let of = |wanted: Distance| {
            let mut load = 0.0;
            let mut slots = 0.0;
            for live in servers.iter().filter(|live| live.distance == wanted && live.ready.get()) {
                let told = picture.load(number, peers::number(&live.zone));
                let busy = told.map_or(0.0, |load| f64::from(load.busy));
                load += busy * f64::from(live.slots.get());
                slots += f64::from(live.slots.get());
            }
            (slots > 0.0).then(|| load / slots)
        };
        let busy = self.busy.borrow();
        Busy {
            zone: busy.get(service).copied().unwrap_or_default(),
            region: of(Distance::Region),
            far: of(Distance::Far),
        }
    }
}
