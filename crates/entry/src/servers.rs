//! Backend servers with this entry VM's connections and load.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fleet::{Phase, Registration, Server, ServerId};
use rand::Rng as _;
use steer::load::Load;
use steer::placement::{Distance, hash};
use steer::pressure::Heard;
use steer::server_limit::Limiter;
use steer::warmup::{Warmth, Warmup};

use crate::outstanding::Bodies;
use crate::peers;
use crate::said;
use crate::upstream::Idle;
use crate::warmth::Cause;

/// Maximum time by which a wait is extended at random, so that entry VMs do not return all at once.
const MAX_WAIT_SPREAD: Duration = Duration::from_millis(300);

/// A backend server with this entry VM's requests and connections.
#[derive(Debug)]
pub struct Backend {
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
    /// Maximum number of requests that it runs concurrently, as it last reported.
    pub slots: Cell<u32>,
    /// The same as its registration says. It changes seldom and at all entry VMs alike.
    pub registered_slots: Cell<u32>,
    /// Whether it accepts new requests.
    pub ready: Cell<bool>,
    /// State of its warm-up.
    pub warmup: RefCell<Warmup>,
    /// Its latest heartbeat.
    pub heartbeat: Cell<Heartbeat>,
    /// The entry VM with the highest rank for it, and whether this VM may send to it while it is
    /// cold; as last logged.
    pub owner: Cell<(Option<u64>, bool)>,
    /// Its warmth as last logged.
    pub logged_warmth: Cell<Warmth>,
    /// Whether a response said that it leaves. An incarnation that leaves does not come back.
    pub leaves: Cell<bool>,
    /// Until when it wants no requests.
    waits_until: Cell<Option<Instant>>,
    /// The limit that it names on the requests from all entry VMs together.
    pub limiter: RefCell<Limiter>,
    /// Whether an invalid header of its responses was logged.
    pub logged_invalid: Cell<bool>,
    /// Idle connections, the latest last.
    pub idle: RefCell<Vec<Idle>>,
    /// Bodies of requests outstanding at it.
    pub(crate) bodies: Bodies,
    load: Cell<Load>,
    answered_at: Cell<Option<Instant>>,
    /// Whether it could not be reached the last time.
    unreachable: Cell<bool>,
}

/// A heartbeat as this entry VM received it.
#[derive(Debug, Clone, Copy)]
pub struct Heartbeat {
    /// Its number within the incarnation.
    pub sequence: u64,
    /// Start of the incarnation, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// When it was received.
    pub received: Instant,
}

impl Heartbeat {
    /// Creates the heartbeat of `registration`, received at `now`.
    #[must_use]
    pub fn new(registration: &Registration, now: Instant) -> Self {
        Self {
            sequence: registration.sequence,
            born_ms: registration.born_ms,
            received: now,
        }
    }
}

/// Counts a request in a backend server's load until dropped.
#[derive(Debug)]
pub struct LoadGuard {
    server: Rc<Backend>,
    is_sent: Cell<bool>,
}

impl LoadGuard {
    /// Returns the server.
    #[must_use]
    pub fn server(&self) -> &Backend {
        &self.server
    }

    /// Records that the request is being sent.
    pub fn note_sent(&self) {
        self.is_sent.set(true);
        self.server.warmup.borrow_mut().note_sent(Instant::now());
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.server.change_load(|load| load.end(Instant::now()));
        if !self.is_sent.get() {
            self.server.warmup.borrow_mut().release();
        }
    }
}

/// All backend servers.
#[derive(Debug, Default)]
pub struct Servers {
    by_id: HashMap<ServerId, Rc<Backend>>,
    hashed: HashMap<u64, Rc<Backend>>,
    /// By the hash in load reports.
    short_hashed: HashMap<u32, Rc<Backend>>,
    by_service: HashMap<String, Vec<Rc<Backend>>>,
}

impl Backend {
    /// Creates a server without requests.
    #[must_use]
    pub fn new(server: &Server, region: &str, distance: Distance, now: Instant) -> Self {
        let registration = &server.registration;
        let mut warmup = Warmup::default();
        warmup.note_heartbeat(registration.warmup_remaining, None, now);
        Self {
            id: Rc::clone(&server.id),
            hash: hash(server.id.as_bytes()),
            addr: registration.addr,
            service: registration.service.clone(),
            zone: registration.zone.clone(),
            region: region.to_owned(),
            distance,
            slots: Cell::new(registration.slots),
            registered_slots: Cell::new(registration.slots),
            ready: Cell::new(registration.phase == Phase::Ready),
            warmup: RefCell::new(warmup),
            heartbeat: Cell::new(Heartbeat::new(registration, now)),
            owner: Cell::default(),
            logged_warmth: Cell::new(Warmth::Warm),
            leaves: Cell::new(false),
            waits_until: Cell::new(None),
            limiter: RefCell::default(),
            logged_invalid: Cell::new(false),
            idle: RefCell::default(),
            bodies: Bodies::default(),
            load: Cell::new(Load::new(now)),
            answered_at: Cell::new(None),
            unreachable: Cell::new(false),
        }
    }

    /// Counts a request that is about to be sent.
    #[must_use]
    pub fn load_guard(self: &Rc<Self>, now: Instant) -> LoadGuard {
        self.change_load(|load| load.begin(now));
        self.warmup.borrow_mut().reserve();
        LoadGuard {
            server: Rc::clone(self),
            is_sent: Cell::new(false),
        }
    }

    fn change_load(&self, change: impl FnOnce(&mut Load)) {
        let mut load = self.load.get();
        change(&mut load);
        self.load.set(load);
    }

    /// Returns the estimated number of requests at the server; `users` returns the number of entry
    /// VMs that use it.
    #[must_use]
    pub fn load(&self, users: impl FnOnce() -> f64, now: Instant) -> f64 {
        self.load.get().estimate(users, now)
    }

    /// Returns how long work takes on its machine now, compared with the usual time.
    #[must_use]
    pub fn slowdown(&self, now: Instant) -> f64 {
        self.load.get().slowdown(now)
    }

    /// Records the load reported in a response.
    pub fn note_load(&self, reported: &said::Load, now: Instant) {
        if let Some(slots) = reported.slots {
            self.slots.set(slots);
        }
        self.change_load(|load| {
            load.note_reported(reported.running, reported.waiting, now);
            if let Some(slowdown) = reported.slowdown {
                load.note_slowdown(slowdown, now);
            }
        });
    }

    /// Records the load that was reported in a response to another entry VM.
    pub fn note_shared_load(&self, heard: Heard, now: Instant) {
        let requests = heard.level.per_slot() * f64::from(self.slots.get());
        let slowdown = heard.level.slowdown();
        self.change_load(|load| load.note_shared(requests, slowdown, heard.at, now));
    }

    /// Returns whether it is under pressure, as far as recent reports of its load and slowdown tell.
    #[must_use]
    pub fn is_under_pressure(&self, now: Instant) -> bool {
        let slots = f64::from(self.slots.get());
        self.load.get().is_under_pressure(slots, now)
    }

    /// Records the slots of a registration. They replace those of responses only if they changed, since a
    /// heartbeat repeats the registration, however old it is.
    pub fn note_registered_slots(&self, slots: u32) {
        if self.registered_slots.replace(slots) != slots {
            self.slots.set(slots);
        }
    }

    /// Returns whether it still is where `registration` says, and runs the same service.
    #[must_use]
    pub fn is_at(&self, registration: &Registration) -> bool {
        self.addr == registration.addr
            && self.service == registration.service
            && self.zone == registration.zone
    }

    /// Records a heartbeat that was written after `after`, if that time is known.
    pub fn note_heartbeat(
        &self,
        registration: &Registration,
        after: Option<Instant>,
        now: Instant,
    ) {
        self.heartbeat.set(Heartbeat::new(registration, now));
        self.warmup
            .borrow_mut()
            .note_heartbeat(registration.warmup_remaining, after, now);
    }

    /// Returns the age of its latest heartbeat, in milliseconds.
    #[must_use]
    pub fn heartbeat_ms(&self, now: Instant) -> u64 {
        let age = now.duration_since(self.heartbeat.get().received);
        u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
    }

    /// Records that it wants no requests for `wait`. The latest word counts.
    pub fn note_wait(&self, wait: Duration, now: Instant) {
        let spread = MAX_WAIT_SPREAD.mul_f64(rand::rng().random());
        self.waits_until.set(Some(now + wait + spread));
    }

    /// Returns the time for which it wants no requests, if it does not want any now.
    #[must_use]
    pub fn remaining_wait(&self, now: Instant) -> Option<Duration> {
        let until = self.waits_until.get()?;
        (now < until).then(|| until.duration_since(now))
    }

    /// Returns whether it takes new work, as far as it has said.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        self.ready.get() && !self.leaves.get()
    }

    /// Returns whether requests may be sent to it at all.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        self.takes_work() && !self.unreachable.get()
    }

    /// Returns whether requests may be sent to it now.
    #[must_use]
    pub fn takes_requests(&self, now: Instant) -> bool {
        self.is_usable() && self.remaining_wait(now).is_none()
    }

    /// Returns whether it could not be reached the last time.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        self.unreachable.get()
    }

    /// Records that it closed a connection or did not answer; its idle connections may be dead too
    /// and are dropped.
    pub fn note_connection_lost(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Marks it as unreachable, and as cold for `warmup_time` in case it restarts; returns whether
    /// it was reachable before.
    pub fn set_unreachable(&self, warmup_time: Duration, now: Instant) -> bool {
        self.warmup.borrow_mut().suspect(warmup_time, now);
        self.log_warmth_change(Cause::Unreachable, now);
        self.idle.borrow_mut().clear();
        !self.unreachable.replace(true)
    }

    /// Marks it as reachable.
    pub fn set_reachable(&self) {
        self.unreachable.set(false);
    }

    /// Marks it as reachable after a partition of this entry VM: it has not restarted, so it is no
    /// longer suspect.
    pub fn end_partition(&self) {
        self.set_reachable();
        self.warmup.borrow_mut().clear_suspicion();
        self.log_warmth_change(Cause::Partition, Instant::now());
    }

    /// Records a response. It may have come over an old connection, so it does not show that the server
    /// accepts new ones: only a probe does.
    pub fn note_response(&self, now: Instant) {
        self.answered_at.set(Some(now));
    }

    /// Returns whether it answered any request after `sent`.
    #[must_use]
    pub fn has_answered_since(&self, sent: Instant) -> bool {
        self.answered_at
            .get()
            .is_some_and(|answered_at| answered_at > sent)
    }
}

impl Servers {
    /// Returns the servers of `service`.
    #[must_use]
    pub fn of(&self, service: &str) -> &[Rc<Backend>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the names of the services.
    pub fn services(&self) -> impl Iterator<Item = &String> {
        self.by_service.keys()
    }

    /// Returns the server `id`.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Rc<Backend>> {
        self.by_id.get(id)
    }

    /// Returns the server whose name has the hash `hash`.
    #[must_use]
    pub fn with_hash(&self, hash: u64) -> Option<&Rc<Backend>> {
        self.hashed.get(&hash)
    }

    /// Returns the server whose name has the hash `hash` in load reports. If two servers have the same hash,
    /// which is likely in one of a thousand fleets of 3,000 servers, returns the one registered last.
    #[must_use]
    pub fn with_short_hash(&self, hash: u32) -> Option<&Rc<Backend>> {
        self.short_hashed.get(&hash)
    }

    /// Returns all servers.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Backend>> {
        self.by_id.values()
    }

    /// Returns whether so many servers in other zones are unreachable that this entry VM, in
    /// `zone`, is partitioned itself.
    #[must_use]
    pub fn is_partitioned(&self, zone: &str) -> bool {
        let others = self.iter().filter(|backend| backend.zone != zone);
        let others = others.filter(|backend| backend.ready.get());
        steer::warmup::is_partitioned(
            others.map(|backend| (&*backend.region, backend.is_unreachable())),
        )
    }

    /// Adds a server, in place of an earlier incarnation.
    pub fn put(&mut self, backend: Backend) {
        self.remove(&backend.id.clone());
        let backend = Rc::new(backend);
        self.by_id
            .insert(Rc::clone(&backend.id), Rc::clone(&backend));
        self.hashed.insert(backend.hash, Rc::clone(&backend));
        self.short_hashed
            .insert(peers::short_hash(&backend.id), Rc::clone(&backend));
        let servers = self.by_service.entry(backend.service.clone()).or_default();
        servers.push(backend);
    }

    /// Removes the server `id`; its requests in flight continue.
    pub fn remove(&mut self, id: &str) {
        let Some(backend) = self.by_id.remove(id) else {
            return;
        };
        self.hashed.remove(&backend.hash);
        let short = peers::short_hash(&backend.id);
        if self
            .short_hashed
            .get(&short)
            .is_some_and(|server| Rc::ptr_eq(server, &backend))
        {
            self.short_hashed.remove(&short);
        }
        backend.ready.set(false);
        backend.idle.borrow_mut().clear();
        if let Some(servers) = self.by_service.get_mut(&backend.service) {
            servers.retain(|server| !Rc::ptr_eq(server, &backend));
        }
    }
}
