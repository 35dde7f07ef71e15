//! The backend servers of one service in one availability zone.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chart::backend::{Event, State};
use chart::{Chart, ChartError, backend};
use rand::Rng;
use timer::Moment;

use crate::server::{Load, Outcome, Server};

/// Minimum share of a pool's servers that stay not ejected, in percent.
const MIN_NOT_EJECTED_PERCENT: usize = 50;

/// Limits of each server of a service, from the configuration text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Number of requests that one server runs at once.
    pub slots: u32,
    /// Time that a new server needs to reach full speed, in milliseconds.
    pub cold_start_ms: u64,
}

/// A server as listed by the configuration text or the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Endpoint {
    /// Address of the server.
    pub addr: SocketAddr,
    /// Whether the server is to get no new requests.
    pub draining: bool,
    /// Maximum number of connections that this gate opens to the server.
    pub max_connections: u32,
}

/// Requirements of a request for which a server is chosen.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Servers that must not be chosen again.
    pub excluded: &'a [SocketAddr],
    /// Whether the request may run more than once.
    pub retryable: bool,
}

/// The servers of one service in one zone. A request is in flight from [`Pool::choose`] or
/// [`Pool::reserve`] to [`Pool::finish`].
#[derive(Debug, Clone)]
pub struct Pool {
    limits: Limits,
    chart: Chart<State, Event>,
    /// Servers that are listed, and removed servers with requests still in flight.
    servers: BTreeMap<SocketAddr, Server>,
    /// Whether a list with servers was received. Servers of the first list count as warm, since
    /// they ran before this gate started.
    has_list: bool,
}

impl Pool {
    /// Creates an empty pool.
    ///
    /// # Errors
    ///
    /// Fails if the state chart of a backend server does not match the code.
    pub fn new(limits: Limits) -> Result<Self, ChartError> {
        Ok(Self {
            limits,
            chart: backend::load()?,
            servers: BTreeMap::new(),
            has_list: false,
        })
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Replaces the list of servers. A server that is no longer listed gets no new requests from
    /// then on.
    pub fn set_endpoints(&mut self, endpoints: &[Endpoint], now: Moment) {
        for endpoint in endpoints {
            self.add_or_update(endpoint, now);
        }
        for (addr, server) in &mut self.servers {
            if !endpoints.iter().any(|endpoint| endpoint.addr == *addr) {
                server.apply(&self.chart, Event::Removed, now);
            }
        }
        self.servers
            .retain(|_, server| server.state != State::Gone || server.in_flight > 0);
        self.has_list |= !endpoints.is_empty();
    }

    fn add_or_update(&mut self, endpoint: &Endpoint, now: Moment) {
        let known = self.servers.get(&endpoint.addr);
        if known.is_none_or(|server| server.state == State::Gone) {
            let in_flight = self.servers.get(&endpoint.addr).map_or(0, |s| s.in_flight);
            let mut server = Server::new(self.chart.initial(), self.limits.slots, now);
            server.in_flight = in_flight;
            if !self.has_list {
                server.apply(&self.chart, Event::Answered, now);
                server.apply(&self.chart, Event::Warm, now);
            }
            self.servers.insert(endpoint.addr, server);
        }
        if let Some(server) = self.servers.get_mut(&endpoint.addr) {
            server.max_connections = endpoint.max_connections;
            let event = if endpoint.draining || server.leaving {
                Event::Drain
            } else {
                Event::Undrain
            };
            server.apply(&self.chart, event, now);
        }
    }

    /// Notes that a server reported that it accepts no new requests. This holds until the server is
    /// removed and listed again.
    pub fn drain(&mut self, addr: SocketAddr, now: Moment) {
        if let Some(server) = self.servers.get_mut(&addr) {
            server.leaving = true;
            server.apply(&self.chart, Event::Drain, now);
        }
    }

    /// Notes the load that a server reported about itself.
    pub fn set_load(&mut self, addr: SocketAddr, load: Load) {
        if let Some(server) = self.servers.get_mut(&addr) {
            server.set_load(load);
        }
    }

    /// Chooses the server with the lower cost of two random ones, and counts the request as in
    /// flight there. A server whose trial is due takes precedence. Returns `None` if no server has
    /// capacity.
    pub fn choose(
        &mut self,
        request: Request,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        self.finish_warmups(now);
        let candidates = self.candidates(request, now);
        let addr = match (self.trial(&candidates, request, now), candidates.as_slice()) {
            (Some(trial), _) => trial,
            (None, []) => return None,
            (None, [only]) => *only,
            (None, several) => self.cheaper_of_two(several, now, rng)?,
        };
        self.start(addr);
        Some(addr)
    }

    /// Counts a request as in flight at `addr` and returns true, or returns false if that server
    /// has no capacity.
    pub fn reserve(&mut self, addr: SocketAddr, now: Moment) -> bool {
        self.finish_warmups(now);
        let server = self.servers.get(&addr);
        let has_capacity = server.is_some_and(|s| s.in_flight < s.max_in_flight(self.limits, now));
        if has_capacity {
            self.start(addr);
        }
        has_capacity
    }

    /// Notes that a request counted by [`Pool::choose`] or [`Pool::reserve`] has ended.
    pub fn finish(&mut self, addr: SocketAddr, outcome: Outcome, now: Moment) {
        let may_eject = self.may_eject();
        let Some(server) = self.servers.get_mut(&addr) else {
            return;
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        let failing = server.note(outcome, self.limits, now);
        let paused = server.is_paused(now);
        match (outcome, server.state) {
            (Outcome::Answered { .. }, State::Joining | State::Ejected) if !paused => {
                server.apply(&self.chart, Event::Answered, now);
            }
            (Outcome::Unreachable | Outcome::Failed, State::Joining | State::Ejected)
                if !paused =>
            {
                server.pause_after_failure(now);
            }
            _ if failing && may_eject => server.apply(&self.chart, Event::Failing, now),
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

    /// Returns the number of this gate's requests in flight at a server.
    #[must_use]
    pub fn in_flight(&self, addr: SocketAddr) -> u32 {
        self.servers.get(&addr).map_or(0, |server| server.in_flight)
    }

    /// Returns the number of requests that the pool may run for this gate at `now`, including those
    /// in flight.
    #[must_use]
    pub fn capacity(&self, now: Moment) -> u32 {
        let servers = self.servers.values();
        servers
            .map(|server| server.max_in_flight(self.limits, now))
            .sum()
    }

    /// Returns the declared slots of all servers that answer this gate and are not ejected.
    #[must_use]
    pub fn usable_slots(&self) -> u32 {
        let up = |server: &&Server| matches!(server.state, State::Warming | State::Serving);
        let up = self.servers.values().filter(up).count();
        u32::try_from(up)
            .unwrap_or(u32::MAX)
            .saturating_mul(self.limits.slots)
    }

    /// Returns the servers that are neither draining nor removed, in order of address.
    #[must_use]
    pub fn eligible(&self) -> Vec<SocketAddr> {
        let accepts = |s: &Server| !matches!(s.state, State::Draining | State::Gone);
        let eligible = self.servers.iter().filter(|(_, server)| accepts(server));
        eligible.map(|(addr, _)| *addr).collect()
    }

    /// Returns the highest smoothed latency of all servers, in milliseconds.
    #[must_use]
    pub fn smoothed_latency_ms(&self) -> f64 {
        let latencies = self.servers.values().map(Server::smoothed_latency_ms);
        latencies.fold(0.0, f64::max)
    }

    fn start(&mut self, addr: SocketAddr) {
        if let Some(server) = self.servers.get_mut(&addr) {
            server.in_flight += 1;
        }
    }

    fn finish_warmups(&mut self, now: Moment) {
        for server in self.servers.values_mut() {
            if server.state == State::Warming && server.is_warm(self.limits, now) {
                server.apply(&self.chart, Event::Warm, now);
            }
        }
    }

    /// Returns the servers that may be chosen for the request: those with capacity. A request that
    /// must not run more than once avoids servers on trial if another server has capacity, until
    /// they accept any trial.
    fn candidates(&self, request: Request, now: Moment) -> Vec<SocketAddr> {
        let has_capacity = |(addr, server): &(&SocketAddr, &Server)| {
            !request.excluded.contains(addr)
                && server.in_flight < server.max_in_flight(self.limits, now)
        };
        let candidates: Vec<_> = self.servers.iter().filter(has_capacity).collect();
        let suitable = |server: &Server| request.retryable || !server.is_on_trial();
        let any_suitable = candidates.iter().any(|(_, server)| suitable(server));
        let accepts =
            |server: &Server| !any_suitable || suitable(server) || server.accepts_any_trial(now);
        candidates
            .into_iter()
            .filter(|(_, server)| accepts(server))
            .map(|(addr, _)| *addr)
            .collect()
    }

    /// Returns the server among `candidates` for which this request may be the trial.
    fn trial(
        &self,
        candidates: &[SocketAddr],
        request: Request,
        now: Moment,
    ) -> Option<SocketAddr> {
        let due = |addr: &&SocketAddr| {
            let server = self.servers.get(addr);
            server.is_some_and(|server| {
                server.is_on_trial() && (request.retryable || server.accepts_any_trial(now))
            })
        };
        candidates.iter().find(due).copied()
    }

    fn cheaper_of_two(
        &self,
        candidates: &[SocketAddr],
        now: Moment,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let first = rng.random_range(0..candidates.len());
        let second = (first + rng.random_range(1..candidates.len())) % candidates.len();
        let latencies = self.servers.values();
        let latencies = latencies.filter_map(|server| server.recent_latency_ms(now));
        let best_ms = latencies.min_by(f64::total_cmp).unwrap_or(0.0);
        let cost = |addr: &SocketAddr| {
            let server = self.servers.get(addr);
            server.map_or(f64::MAX, |server| server.cost(self.limits, best_ms, now))
        };
        let pair = [candidates[first], candidates[second]];
        pair.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Returns whether one more server may be ejected without falling below
    /// [`MIN_NOT_EJECTED_PERCENT`].
    fn may_eject(&self) -> bool {
        let eligible = self.eligible().len();
        let states = self.servers.values().map(|server| server.state);
        let ejected = states.filter(|state| *state == State::Ejected).count();
        (eligible - ejected).saturating_sub(1) * 100 >= eligible * MIN_NOT_EJECTED_PERCENT
    }
}
