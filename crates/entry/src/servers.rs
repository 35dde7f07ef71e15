//! Backend servers as this entry VM uses them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fleet::{Phase, Registration, Server, ServerId};
use steer::load::Load;
use steer::placement::{Distance, hash};
use steer::warmup::{Warmth, Warmup};

use crate::upstream::Idle;
use crate::warmth::By;

/// A backend server with this entry VM's requests and connections.
#[derive(Debug)]
pub struct Live {
    /// Name.
    pub id: ServerId,
    /// Hash of the name.
    pub hash: u64,
    /// Address.
    pub addr: SocketAddr,
    /// Service.
    pub service: String,
    /// Zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Distance from this entry VM.
    pub distance: Distance,
    /// Requests that it runs at once.
    pub slots: Cell<u32>,
    /// Whether it takes new work.
    pub ready: Cell<bool>,
    /// Its warmth.
    pub cold: RefCell<Warmup>,
    /// Its latest heartbeat.
    pub heartbeat: Cell<Heartbeat>,
    /// The entry VM that comes first for it, and whether this one may send to it while it is cold; as
    /// last logged.
    pub owner: Cell<(Option<u64>, bool)>,
    /// The belief in its warmth that was last logged.
    pub logged: Cell<Warmth>,
    /// Idle connections, the latest last.
    pub idle: RefCell<Vec<Idle>>,
    load: Cell<Load>,
    answered: Cell<Option<Instant>>,
    /// Whether it could not be reached the last time.
    lost: Cell<bool>,
}

/// A heartbeat as this entry VM heard it.
#[derive(Debug, Clone, Copy)]
pub struct Heartbeat {
    /// Its number within the incarnation.
    pub sequence: u64,
    /// Start of the incarnation, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// When it was heard.
    pub heard: Instant,
}

impl Heartbeat {
    /// Creates the heartbeat of `entry`, heard at `now`.
    #[must_use]
    pub fn new(entry: &Registration, now: Instant) -> Self {
        Self {
            sequence: entry.sequence,
            born_ms: entry.born_ms,
            heard: now,
        }
    }
}

/// A request counted at a server until dropped.
#[derive(Debug)]
pub struct Ticket {
    server: Rc<Live>,
    is_sent: Cell<bool>,
}

impl Ticket {
    /// Returns the server.
    #[must_use]
    pub fn server(&self) -> &Live {
        &self.server
    }

    /// Notes that the request is being sent.
    pub fn note_sent(&self) {
        self.is_sent.set(true);
        self.server.cold.borrow_mut().note_sent(Instant::now());
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.server.change_load(|load| load.end(Instant::now()));
        if !self.is_sent.get() {
            self.server.cold.borrow_mut().release();
        }
    }
}

/// All backend servers.
#[derive(Debug, Default)]
pub struct Servers {
    by_id: HashMap<ServerId, Rc<Live>>,
    by_service: HashMap<String, Vec<Rc<Live>>>,
}

impl Live {
    /// Creates a server without requests.
    #[must_use]
    pub fn new(server: &Server, region: &str, distance: Distance, now: Instant) -> Self {
        let entry = &server.registration;
        let mut cold = Warmup::default();
        cold.note_heartbeat(entry.warmup_remaining, None, now);
        Self {
            id: Rc::clone(&server.id),
            hash: hash(server.id.as_bytes()),
            addr: entry.addr,
            service: entry.service.clone(),
            zone: entry.zone.clone(),
            region: region.to_owned(),
            distance,
            slots: Cell::new(entry.slots),
            ready: Cell::new(entry.phase == Phase::Ready),
            cold: RefCell::new(cold),
            heartbeat: Cell::new(Heartbeat::new(entry, now)),
            owner: Cell::default(),
            logged: Cell::new(Warmth::Warm),
            idle: RefCell::default(),
            load: Cell::new(Load::new(now)),
            answered: Cell::new(None),
            lost: Cell::new(false),
        }
    }

    /// Counts a request that is about to be sent.
    #[must_use]
    pub fn ticket(self: &Rc<Self>, now: Instant) -> Ticket {
        self.change_load(|load| load.begin(now));
        self.cold.borrow_mut().reserve();
        Ticket {
            server: Rc::clone(self),
            is_sent: Cell::new(false),
        }
    }

    fn change_load(&self, change: impl FnOnce(&mut Load)) {
        let mut load = self.load.get();
        change(&mut load);
        self.load.set(load);
    }

    /// Returns the requests that the server is believed to have; `users` counts the entry VMs that
    /// use it.
    #[must_use]
    pub fn load(&self, users: impl FnOnce() -> f64, now: Instant) -> f64 {
        self.load.get().estimate(users, now)
    }

    /// Takes the load that an answer told: requests running and waiting.
    pub fn note_load(&self, running: u32, waiting: u32, now: Instant) {
        self.change_load(|load| load.note_reported(running, waiting, now));
    }

    /// Takes a heartbeat that was written after `after`, if that is known.
    pub fn note_heartbeat(&self, entry: &Registration, after: Option<Instant>, now: Instant) {
        self.heartbeat.set(Heartbeat::new(entry, now));
        self.cold
            .borrow_mut()
            .note_heartbeat(entry.warmup_remaining, after, now);
    }

    /// Returns the age of its latest heartbeat, in milliseconds.
    #[must_use]
    pub fn heartbeat_ms(&self, now: Instant) -> u64 {
        let age = now.duration_since(self.heartbeat.get().heard);
        u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns whether requests may be sent to it at all.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        self.ready.get() && !self.lost.get()
    }

    /// Returns whether it could not be reached the last time.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.lost.get()
    }

    /// Notes that it broke off a request or fell silent, so that its other connections may be broken
    /// too.
    pub fn note_broken(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Notes that it could not be reached, and is cold for `warmup` if it restarts; returns whether it
    /// could be reached before.
    pub fn begin_loss(&self, warmup: Duration, now: Instant) -> bool {
        self.cold.borrow_mut().suspect(warmup, now);
        self.log_belief(By::Loss, now);
        self.idle.borrow_mut().clear();
        !self.lost.replace(true)
    }

    /// Notes that it can be reached.
    pub fn end_loss(&self) {
        self.lost.set(false);
    }

    /// Notes that it can be reached and was cut off from this entry VM only.
    pub fn end_cut(&self) {
        self.end_loss();
        self.cold.borrow_mut().clear_suspicion();
        self.log_belief(By::Cut, Instant::now());
    }

    /// Returns whether its last heartbeat said that it is cold.
    #[must_use]
    pub fn says_cold(&self, now: Instant) -> bool {
        self.cold.borrow().is_reported_cold(now)
    }

    /// Notes an answer.
    pub fn note_answer(&self, now: Instant) {
        self.end_loss();
        self.answered.set(Some(now));
    }

    /// Returns whether it answered any request after `sent`.
    #[must_use]
    pub fn has_answered_since(&self, sent: Instant) -> bool {
        self.answered.get().is_some_and(|answered| answered > sent)
    }
}

impl Servers {
    /// Returns the servers of `service`.
    #[must_use]
    pub fn of(&self, service: &str) -> &[Rc<Live>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the names of the services.
    pub fn services(&self) -> impl Iterator<Item = &String> {
        self.by_service.keys()
    }

    /// Returns the server `id`.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Rc<Live>> {
        self.by_id.get(id)
    }

    /// Returns all servers.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Live>> {
        self.by_id.values()
    }

    /// Returns whether the entry VM in `zone` lost so many servers that it is cut off itself.
    #[must_use]
    pub fn is_cut_off(&self, zone: &str) -> bool {
        let others = self.iter().filter(|live| live.zone != zone);
        let others = others.filter(|live| live.ready.get());
        steer::warmup::is_partitioned(others.map(|live| (&*live.region, live.is_lost())))
    }

    /// Puts a new incarnation in the place of an earlier one.
    pub fn put(&mut self, live: Live) {
        self.remove(&live.id.clone());
        let live = Rc::new(live);
        self.by_id.insert(Rc::clone(&live.id), Rc::clone(&live));
        let servers = self.by_service.entry(live.service.clone()).or_default();
        servers.push(live);
    }

    /// Forgets the server `id`; its requests go on.
    pub fn remove(&mut self, id: &str) {
        let Some(live) = self.by_id.remove(id) else {
            return;
        };
        live.ready.set(false);
        live.idle.borrow_mut().clear();
        if let Some(servers) = self.by_service.get_mut(&live.service) {
            servers.retain(|server| !Rc::ptr_eq(server, &live));
        }
    }
}
