//! Other entry VMs: who they are, whether they live, and what they tell.
//!
//! Each entry VM is announced in the store under a lease and sends a short datagram to the others
//! several times a second. Whether one is alive is judged by its datagrams; the store's list says
//! whom to expect.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use steer::cold::Vm;
use steer::place::hash;
use steer::quota::Others;
use steer::spill::Spill;
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval};

use crate::settings::Settings;
use crate::state::State;

/// Time between two datagrams to the same entry VM.
const INTERVAL: Duration = Duration::from_millis(500);

/// Silence after which an entry VM no longer counts as alive: five datagrams.
const SILENCE: Duration = Duration::from_millis(2_500);

/// Silence after which a withdrawn entry VM is forgotten.
const FORGET: Duration = Duration::from_secs(10);

/// Most workspaces, and most services, that a datagram tells of.
const MAX_TOLD: usize = 32;

/// Largest datagram, in bytes.
const MAX_BYTES: usize = 1_400;

/// What an entry VM is announced with.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Zone.
    pub zone: String,
    /// Address for datagrams.
    pub peer: SocketAddr,
    /// Address of the state service.
    pub state: Option<SocketAddr>,
}

/// A datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the sender.
    pub vm: String,
    /// How it is announced.
    pub announcement: Announcement,
    /// Address for callers, if it may be given to them.
    pub callers: Option<SocketAddr>,
    /// Store revision that it knows.
    pub revision: u64,
    /// Demand by the hash of a workspace's name, in requests a second.
    pub demand: Vec<(u64, f32)>,
    /// Load by service.
    pub loads: Vec<Load>,
}

/// What an entry VM tells of a service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Hash of the service's name.
    pub service: u64,
    /// How busy the backend servers of the sender's zone are.
    pub busy: f32,
    /// Part of the sender's objects that begin in another zone.
    pub spill_zone: f32,
    /// Part of the sender's objects that begin in another region.
    pub spill_region: f32,
}

#[derive(Debug)]
struct Peer {
    announcement: Announcement,
    is_announced: bool,
    heard: Option<(Instant, Hello)>,
    known_since: Instant,
}

/// Other entry VMs.
#[derive(Debug)]
pub struct Peers {
    own: String,
    zones: HashMap<String, String>,
    peers: HashMap<String, Peer>,
    /// Addresses to greet before anyone is known.
    seeds: Vec<SocketAddr>,
}

impl Peers {
    /// Creates a list without anyone.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let own = SocketAddr::new(settings.ip, settings.peer_port);
        let peer = |seed: &SocketAddr| SocketAddr::new(seed.ip(), settings.peer_port);
        let seeds = settings.seeds.iter().map(peer);
        Self {
            own: settings.vm.clone(),
            zones: settings.zones.clone(),
            peers: HashMap::new(),
            seeds: seeds.filter(|seed| *seed != own).collect(),
        }
    }

    /// Returns the number of entry VMs, this one included.
    #[must_use]
    pub fn count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Takes an announcement from the store.
    pub fn announce(&mut self, vm: &str, bytes: &[u8]) {
        let Ok(announcement) = postcard::from_bytes::<Announcement>(bytes) else {
            event::emit(&event::Event::KeyUnreadable {
                key: vm.to_owned(),
                problem: "not an entry VM's announcement".to_owned(),
            });
            return;
        };
        if vm == self.own {
            return;
        }
        let peer = self.peers.entry(vm.to_owned()).or_insert_with(|| Peer {
            announcement: announcement.clone(),
            is_announced: true,
            heard: None,
            known_since: Instant::now(),
        });
        peer.announcement = announcement;
        peer.is_announced = true;
    }

    /// Takes the end of an announcement.
    pub fn withdraw(&mut self, vm: &str) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.is_announced = false;
        }
    }

    /// Takes a datagram.
    pub fn hear(&mut self, hello: Hello, now: Instant) {
        if hello.vm == self.own {
            return;
        }
        let peer = self.peers.entry(hello.vm.clone()).or_insert_with(|| Peer {
            announcement: hello.announcement.clone(),
            is_announced: false,
            heard: None,
            known_since: now,
        });
        peer.announcement = hello.announcement.clone();
        peer.heard = Some((now, hello));
    }

    /// Forgets those that are withdrawn and silent.
    pub fn expire(&mut self, now: Instant) {
        self.peers.retain(|_, peer| {
            let last = peer.heard.as_ref().map_or(peer.known_since, |(at, _)| *at);
            peer.is_announced || now.duration_since(last) < FORGET
        });
    }

    fn alive(&self, now: Instant) -> impl Iterator<Item = &Hello> {
        let alive = move |peer: &Peer| {
            let (at, _) = peer.heard.as_ref()?;
            (now.duration_since(*at) < SILENCE).then_some(())
        };
        let peers = self.peers.values().filter(move |peer| alive(peer).is_some());
        peers.filter_map(|peer| peer.heard.as_ref().map(|(_, hello)| hello))
    }

    /// Returns zones and addresses of those that callers may be sent to.
    #[must_use]
    pub fn ready(&self, now: Instant) -> Vec<(String, SocketAddr)> {
        let alive = self.alive(now);
        let ready = alive.filter_map(|hello| {
            let callers = hello.callers?;
            Some((hello.announcement.zone.clone(), callers))
        });
        ready.collect()
    }

    /// Returns the others that serve callers.
    #[must_use]
    pub fn serving(&self, now: Instant) -> Vec<Vm<'_>> {
        let alive = self.alive(now).filter(|hello| hello.callers.is_some());
        let vm = |hello: &'_ Hello| -> (u64, String) {
            (hash(hello.vm.as_bytes()), hello.announcement.zone.clone())
        };
        let vms: Vec<(u64, String)> = alive.map(vm).collect();
        let named = vms.iter().filter_map(|(name, zone)| {
            let (zone, region) = self.zones.get_key_value(zone)?;
            Some(Vm {
                name: *name,
                zone,
                region,
            })
        });
        named.collect()
    }

    /// Returns what is known of the others' demand for `workspace`.
    #[must_use]
    pub fn others(&self, workspace: &str, now: Instant) -> Others {
        let workspace = hash(workspace.as_bytes());
        let mut others = Others {
            demand: 0.0,
            vms: self.count(),
            heard: 1,
        };
        for hello in self.alive(now) {
            others.heard += 1;
            let told = hello.demand.iter().find(|(name, _)| *name == workspace);
            others.demand += told.map_or(0.0, |(_, demand)| f64::from(*demand));
        }
        others
    }

    /// Returns how busy the backend servers of `service` are, by zone.
    #[must_use]
    pub fn busy(&self, service: &str, now: Instant) -> HashMap<&str, f64> {
        let service = hash(service.as_bytes());
        let mut busy = HashMap::new();
        for hello in self.alive(now) {
            if let Some(load) = hello.loads.iter().find(|load| load.service == service) {
                let zone = busy.entry(hello.announcement.zone.as_str()).or_insert(0.0_f64);
                *zone = zone.max(f64::from(load.busy));
            }
        }
        busy
    }

    /// Returns which objects of `service` begin elsewhere at the other entry VMs of `zone`.
    #[must_use]
    pub fn spills(&self, service: &str, zone: &str, now: Instant) -> Vec<Spill> {
        let service = hash(service.as_bytes());
        let near = self.alive(now).filter(|hello| hello.announcement.zone == zone);
        let loads = near.filter_map(|hello| hello.loads.iter().find(|load| load.service == service));
        let spill = |load: &Load| Spill {
            zone: f64::from(load.spill_zone),
            region: f64::from(load.spill_region),
        };
        loads.map(spill).collect()
    }

    /// Returns the state services of those that know more of the store than `revision`, nearest
    /// knowledge first.
    #[must_use]
    pub fn ahead(&self, revision: u64, now: Instant) -> Vec<SocketAddr> {
        let mut ahead: Vec<(u64, SocketAddr)> = self
            .alive(now)
            .filter(|hello| hello.revision > revision)
            .filter_map(|hello| Some((hello.revision, hello.announcement.state?)))
            .collect();
        ahead.sort_by_key(|(revision, _)| std::cmp::Reverse(*revision));
        ahead.into_iter().map(|(_, state)| state).collect()
    }

    /// Returns the addresses to send datagrams to.
    #[must_use]
    pub fn targets(&self) -> Vec<SocketAddr> {
        let known = self.peers.values().map(|peer| peer.announcement.peer);
        let mut targets: Vec<SocketAddr> = known.collect();
        for seed in &self.seeds {
            if !targets.contains(seed) {
                targets.push(*seed);
            }
        }
        targets
    }
}

/// Returns how this entry VM is announced.
#[must_use]
pub fn announcement(settings: &Settings) -> Announcement {
    Announcement {
        zone: settings.zone.clone(),
        peer: SocketAddr::new(settings.ip, settings.peer_port),
        state: settings.listen.state,
    }
}

/// Exchanges datagrams with the other entry VMs.
///
/// # Errors
///
/// Fails if the port cannot be bound.
pub async fn run(state: Rc<State>) -> io::Result<()> {
    let own = announcement(&state.settings).peer;
    let socket = UdpSocket::bind(own).await?;
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = [0; MAX_BYTES];
    let mut last = Instant::now();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                // A datagram that could not be sent is reported here; the next one follows soon.
                let Ok((length, _)) = received else { continue };
                if let Ok(hello) = postcard::from_bytes::<Hello>(&buffer[..length]) {
                    state.peers.borrow_mut().hear(hello, Instant::now());
                }
            }
            _ = ticks.tick() => {
                let now = Instant::now();
                state.peers.borrow_mut().expire(now);
                state.expire(now);
                let elapsed_s = now.duration_since(last).as_secs_f64();
                state.rebalance(elapsed_s);
                state.spill(elapsed_s);
                last = now;
                greet(&state, &socket).await;
            }
        }
    }
}

async fn greet(state: &State, socket: &UdpSocket) {
    let hello = hello(state);
    let Ok(bytes) = postcard::to_stdvec(&hello) else {
        return;
    };
    let targets = state.peers.borrow().targets();
    for target in targets {
        // A lost datagram is made good by the next one.
        let _ = socket.send_to(&bytes, target).await;
    }
}

fn hello(state: &State) -> Hello {
    Hello {
        vm: state.settings.vm.clone(),
        announcement: announcement(&state.settings),
        callers: state.settings.listen.callers.filter(|_| state.is_ready()),
        revision: state.revision(),
        demand: demand(state),
        loads: loads(state),
    }
}

/// Returns the demand of the workspaces that have some.
fn demand(state: &State) -> Vec<(u64, f32)> {
    let buckets = state.buckets.borrow();
    let asking = buckets.iter().filter(|(_, bucket)| bucket.demand() > 0.5);
    let demand = asking.map(|(name, bucket)| (hash(name.as_bytes()), short(bucket.demand())));
    demand.take(MAX_TOLD).collect()
}

fn loads(state: &State) -> Vec<Load> {
    let busy = state.busy.borrow();
    let spills = state.spills.borrow();
    let load = |(service, busy): (&String, &f64)| {
        let spill = spills.get(service).copied().unwrap_or_default();
        Load {
            service: hash(service.as_bytes()),
            busy: short(*busy),
            spill_zone: short(spill.zone),
            spill_region: short(spill.region),
        }
    };
    busy.iter().map(load).take(MAX_TOLD).collect()
}

/// Returns `value` in the precision of a datagram.
#[allow(clippy::cast_possible_truncation)]
fn short(value: f64) -> f32 {
    value as f32
}
