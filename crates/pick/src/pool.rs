//! The backend servers of one service in one availability zone.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chart::backend::{Event, State};
use chart::{Chart, ChartError, backend};
use rand::Rng;
use timer::Moment;

use crate::server::{Load, Outcome, Server};

/// Share of a pool's servers that is never ejected, in percent.
const FLOOR_PERCENT: usize = 50;

/// What the operators' text says about each server of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Requests that one server runs at once.
    pub slots: u32,
    /// Time that a new server needs to reach full speed, in milliseconds.
    pub cold_start_ms: u64,
}

/// A server as the text or the platform lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Endpoint {
    /// Its address.
    pub addr: SocketAddr,
    /// Whether it is to take no new work.
    pub draining: bool,
    /// Most connections that this gate opens to it.
    pub max_connections: u32,
}

/// A request for which a server is sought.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Servers that it is not to go to again.
    pub excluded: &'a [SocketAddr],
    /// Whether it may run more than once.
    pub retryable: bool,
}

/// The servers of one service in one zone. Requests are counted from [`Pool::choose`] to
/// [`Pool::finish`].
#[derive(Debug, Clone)]
pub struct Pool {
    limits: Limits,
    chart: Chart<State, Event>,
    /// Servers that are listed, or gone with requests still in flight.
    servers: BTreeMap<SocketAddr, Server>,
    /// False until the first list, whose servers count as warm: they ran before this gate did.
    listed: bool,
}

impl Pool {
    /// Creates an empty pool.
    ///
    /// # Errors
    ///
    /// Fails if the chart of a backend server does not agree with the code.
    pub fn new(limits: Limits) -> Result<Self, ChartError> {
        Ok(Self {
            limits,
            chart: backend::load()?,
            servers: BTreeMap::new(),
            listed: false,
        })
    }

    /// Takes changed limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Takes the current list of servers. Whoever is listed no more gets no new work at once.
    pub fn set_endpoints(&mut self, listed: &[Endpoint], now: Moment) {
        for server in listed {
            self.admit(server, now);
        }
        for (addr, server) in &mut self.servers {
            if !listed.iter().any(|listed| listed.addr == *addr) {
                server.take(&self.chart, Event::Removed, now);
            }
        }
        self.servers
            .retain(|_, server| server.state != State::Gone || server.in_flight > 0);
        self.listed |= !listed.is_empty();
    }

    fn admit(&mut self, listed: &Endpoint, now: Moment) {
        let known = self.servers.get(&listed.addr);
        if known.is_none_or(|server| server.state == State::Gone) {
            let in_flight = self.servers.get(&listed.addr).map_or(0, |s| s.in_flight);
            let mut server = Server::new(self.chart.initial(), self.limits.slots, now);
            server.in_flight = in_flight;
            if !self.listed {
                server.take(&self.chart, Event::Answered, now);
                server.take(&self.chart, Event::Warm, now);
            }
            self.servers.insert(listed.addr, server);
        }
        if let Some(server) = self.servers.get_mut(&listed.addr) {
            server.connections = listed.max_connections;
            let event = if listed.draining || server.leaving {
                Event::Drain
            } else {
                Event::Undrain
            };
            server.take(&self.chart, event, now);
        }
    }

    /// Notes that a server said it takes no new work. This holds until it is listed anew.
    pub fn drain(&mut self, addr: SocketAddr, now: Moment) {
        if let Some(server) = self.servers.get_mut(&addr) {
            server.leaving = true;
            server.take(&self.chart, Event::Drain, now);
        }
    }

    /// Notes what a server reported about itself.
    pub fn set_load(&mut self, addr: SocketAddr, load: Load) {
        if let Some(server) = self.servers.get_mut(&addr) {
            server.set_load(load);
        }
    }

    /// Chooses the server with the lower cost of two drawn at random, and counts the request
    /// there. A server whose trial is due goes first. Returns nothing if no server has room.
    pub fn choose(
        &mut self,
        request: Request,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        self.warm(now);
        let open = self.open(request, now);
        let addr = match (self.trial(&open, request, now), open.as_slice()) {
            (Some(trial), _) => trial,
            (None, []) => return None,
            (None, [only]) => *only,
            (None, several) => self.cheaper_of_two(several, now, rng)?,
        };
        self.start(addr);
        Some(addr)
    }

    /// Counts a request at `addr` if that server has room for it.
    pub fn reserve(&mut self, addr: SocketAddr, now: Moment) -> bool {
        self.warm(now);
        let server = self.servers.get(&addr);
        let has_room = server.is_some_and(|s| s.in_flight < s.allowance(self.limits, now));
        if has_room {
            self.start(addr);
        }
        has_room
    }

    /// Notes that a request counted by [`Pool::choose`] has ended.
    pub fn finish(&mut self, addr: SocketAddr, outcome: Outcome, now: Moment) {
        let may_eject = self.may_eject();
        let Some(server) = self.servers.get_mut(&addr) else {
            return;
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        let failing = server.note(outcome, self.limits, now);
        let resting = server.is_resting(now);
        match (outcome, server.state) {
            (Outcome::Answered { .. }, State::Joining | State::Ejected) if !resting => {
                server.take(&self.chart, Event::Answered, now);
            }
            (Outcome::Unreachable | Outcome::Failed, State::Joining | State::Ejected)
                if !resting =>
            {
                server.rest_after_failure(now);
            }
            _ if failing && may_eject => server.take(&self.chart, Event::Failing, now),
            _ => {}
        }
        if server.state == State::Gone && server.in_flight == 0 {
            self.servers.remove(&addr);
        }
    }

    /// Returns the state of a server.
    #[must_use]
    pub fn state(&self, addr: SocketAddr) -> Option<State> {
        self.servers.get(&addr).map(|server| server.state)
    }

    /// Returns this gate's requests in flight at a server.
    #[must_use]
    pub fn in_flight(&self, addr: SocketAddr) -> u32 {
        self.servers.get(&addr).map_or(0, |server| server.in_flight)
    }

    /// Returns the requests that the pool may run for this gate at `now`, those that it runs
    /// already included.
    #[must_use]
    pub fn capacity(&self, now: Moment) -> u32 {
        let servers = self.servers.values();
        servers
            .map(|server| server.allowance(self.limits, now))
            .sum()
    }

    /// Returns the declared slots of the servers that are up as far as this gate has seen.
    #[must_use]
    pub fn usable_slots(&self) -> u32 {
        let up = |server: &&Server| matches!(server.state, State::Warming | State::Serving);
        let up = self.servers.values().filter(up).count();
        u32::try_from(up)
            .unwrap_or(u32::MAX)
            .saturating_mul(self.limits.slots)
    }

    /// Returns the servers that may take work, in order of address.
    #[must_use]
    pub fn eligible(&self) -> Vec<SocketAddr> {
        let takes = |s: &Server| !matches!(s.state, State::Draining | State::Gone);
        let eligible = self.servers.iter().filter(|(_, server)| takes(server));
        eligible.map(|(addr, _)| *addr).collect()
    }

    /// Returns the usual latency over all servers, in milliseconds.
    #[must_use]
    pub fn smoothed_latency_ms(&self) -> f64 {
        let known = self.servers.values().map(Server::usual_ms);
        known.fold(0.0, f64::max)
    }

    fn start(&mut self, addr: SocketAddr) {
        if let Some(server) = self.servers.get_mut(&addr) {
            server.in_flight += 1;
        }
    }

    fn warm(&mut self, now: Moment) {
        for server in self.servers.values_mut() {
            if server.state == State::Warming && server.is_warm(self.limits, now) {
                server.take(&self.chart, Event::Warm, now);
            }
        }
    }

    /// Returns the servers with room.
    fn open(&self, request: Request, now: Moment) -> Vec<SocketAddr> {
        let has_room = |(addr, server): &(&SocketAddr, &Server)| {
            !request.excluded.contains(addr)
                && server.in_flight < server.allowance(self.limits, now)
        };
        let open: Vec<_> = self.servers.iter().filter(has_room).collect();
        let sound = |server: &Server| request.retryable || !server.is_on_trial();
        let any_sound = open.iter().any(|(_, server)| sound(server));
        let takes = |server: &Server| !any_sound || sound(server) || server.takes_any_trial(now);
        open.into_iter()
            .filter(|(_, server)| takes(server))
            .map(|(addr, _)| *addr)
            .collect()
    }

    /// Returns the server among `open` whose trial this request is.
    fn trial(&self, open: &[SocketAddr], request: Request, now: Moment) -> Option<SocketAddr> {
        let due = |addr: &&SocketAddr| {
            let server = self.servers.get(addr);
            server.is_some_and(|server| {
                server.is_on_trial() && (request.retryable || server.takes_any_trial(now))
            })
        };
        open.iter().find(due).copied()
    }

    fn cheaper_of_two(
        &self,
        open: &[SocketAddr],
        now: Moment,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let first = rng.random_range(0..open.len());
        let second = (first + rng.random_range(1..open.len())) % open.len();
        let known = self.servers.values();
        let known = known.filter_map(|server| server.recent_ms(now));
        let best_ms = known.min_by(f64::total_cmp).unwrap_or(0.0);
        let cost = |addr: &SocketAddr| {
            let server = self.servers.get(addr);
            server.map_or(f64::MAX, |server| server.cost(self.limits, best_ms, now))
        };
        let pair = [open[first], open[second]];
        pair.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Returns whether one more server may be ejected without falling below the floor.
    fn may_eject(&self) -> bool {
        let eligible = self.eligible().len();
        let states = self.servers.values().map(|server| server.state);
        let ejected = states.filter(|state| *state == State::Ejected).count();
        (eligible - ejected).saturating_sub(1) * 100 >= eligible * FLOOR_PERCENT
    }
}
