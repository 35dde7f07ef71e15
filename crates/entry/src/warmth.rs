//! Warmth of backend servers: which entry VM owns a cold server, and log entries about changes.

use std::time::{Duration, Instant};

use event::Event;
use steer::owner::{self, Member, View};
use steer::placement::hash;
use steer::warmup::Warmth;

use crate::peers;
use crate::servers::Backend;
use crate::state::State;

/// Why a server's warmth changes.
#[derive(Debug, Clone, Copy)]
pub enum Cause {
    /// A registration.
    Registration,
    /// The server became unreachable.
    Unreachable,
    /// The evacuation of its zone began or ended.
    Evacuation,
    /// This entry VM was partitioned from it.
    Partition,
    /// The passage of time.
    Time,
}

impl Cause {
    fn name(self) -> &'static str {
        match self {
            Self::Registration => "registration",
            Self::Unreachable => "loss",
            Self::Evacuation => "evacuation",
            Self::Partition => "cut",
            Self::Time => "time",
        }
    }
}

/// Returns a VM or a server as a member of its zone and region.
#[must_use]
pub fn member(name: u64, zone: &str, region: &str) -> Member {
    Member {
        name,
        zone: hash(zone.as_bytes()),
        region: hash(region.as_bytes()),
    }
}

impl State {
    /// Returns whether this entry VM may send requests to the cold server `backend`, as of the
    /// latest tick. A VM that is shutting down may not, since the others soon choose the next
    /// owner, nor may a VM that was suspended since the latest tick.
    #[must_use]
    pub fn owns(&self, backend: &Backend) -> bool {
        let now = Instant::now();
        if self.is_leaving() || !self.views.borrow().is_fresh(now) {
            return false;
        }
        if let Some(is_own) = self.owned.borrow().get(&backend.hash) {
            return *is_own;
        }
        let own = peers::rank(&self.settings.vm);
        let server = backend.member();
        let views = self.views.borrow();
        let is_own = views.owns(own, server, now);
        self.owned.borrow_mut().insert(backend.hash, is_own);
        let owner = views.owner(server);
        if backend.owner.replace((owner, is_own)) != (owner, is_own) {
            self.log_owner(backend, owner, is_own);
        }
        is_own
    }

    /// Records which entry VMs serve callers, including this one if it does.
    pub fn note_view(&self, now: Instant) {
        let membership = self.membership.borrow();
        let ready = membership.ready(&self.fleet_report.borrow());
        let others = ready.iter().map(|(name, announcement)| {
            let zone = &announcement.zone;
            member(peers::rank(name), zone, self.region_of(zone))
        });
        let own = member(
            peers::rank(&self.settings.vm),
            &self.settings.zone,
            &self.settings.region,
        );
        let own = self.is_ready().then_some(own);
        let view = View {
            vms: others.chain(own).collect(),
            alive: self.fleet_report.borrow().vms.len(),
            known: membership.count(),
        };
        self.views.borrow_mut().note(view, now);
    }

    fn log_owner(&self, backend: &Backend, owner: Option<u64>, is_own: bool) {
        let membership = self.membership.borrow();
        let fleet_report = self.fleet_report.borrow();
        let ready = membership.ready(&fleet_report);
        let names = ready.iter().map(|(name, _)| *name);
        let mut names = names.chain([&*self.settings.vm]);
        let name = names.find(|name| Some(peers::rank(name)) == owner);
        event::emit(&Event::OwnerChanged {
            server: backend.id.to_string(),
            owner: name.unwrap_or_default().to_owned(),
            is_own,
            ready: ready.len() as u64,
            heard: fleet_report.vms.len() as u64,
            known: membership.count() as u64,
        });
    }

    /// Returns the requests a second that this entry VM may send to a cold server of `service` that
    /// it owns.
    #[must_use]
    pub fn max_rate_to_cold(&self, service: &str) -> f64 {
        owner::max_per_s(
            self.cold_rate_limit(service),
            self.views.borrow().alive_ratio(),
        )
    }

    /// Logs the requests sent to cold servers, and changes of warmth by the passage of time.
    pub fn log_warmth(&self, now: Instant) {
        for backend in self.servers.borrow().iter() {
            backend.log_warmth_change(Cause::Time, now);
            self.log_sent(backend, now);
        }
    }

    fn log_sent(&self, backend: &Backend, now: Instant) {
        let warmth = backend.warmth(now);
        if warmth == Warmth::Warm {
            return;
        }
        let sent = backend.sent(now);
        if sent == 0 {
            return;
        }
        event::emit(&Event::ColdSent {
            server: backend.id.to_string(),
            belief: warmth.name().to_owned(),
            sent,
            most: self.max_rate_to_cold(&backend.service),
            is_own: self.owns(backend),
            sequence: backend.heartbeat.get().sequence,
            heartbeat_ms: backend.heartbeat_ms(now),
        });
    }

    /// Returns the time for which a server of `service` stays cold after its start.
    #[must_use]
    pub fn warmup_time(&self, service: &str) -> Duration {
        let config = self.config();
        let service = config
            .as_ref()
            .and_then(|config| config.services.get(service));
        service.map_or(Duration::ZERO, |service| service.warmup)
    }

    /// Returns the requests a second that a cold server of `service` accepts from all entry VMs
    /// together.
    fn cold_rate_limit(&self, service: &str) -> f64 {
        let bounds = self.bounds();
        let config = self.config();
        let service = config
            .as_ref()
            .and_then(|config| config.services.get(service));
        let per_s = service.map_or(1.0, |service| service.warmup_per_s);
        per_s.mul_add(bounds.cold_factor, bounds.cold_extra)
    }
}

impl Backend {
    /// Returns its warmth.
    #[must_use]
    pub fn warmth(&self, now: Instant) -> Warmth {
        self.warmup.borrow().warmth(now)
    }

    /// Returns the requests that this entry VM sent to it in the last second.
    fn sent(&self, now: Instant) -> u64 {
        self.warmup.borrow_mut().sent(now) as u64
    }

    /// Logs its warmth if it has changed since it was last logged.
    pub fn log_warmth_change(&self, cause: Cause, now: Instant) {
        let warmth = self.warmth(now);
        if self.logged_warmth.replace(warmth) == warmth {
            return;
        }
        let heartbeat = self.heartbeat.get();
        let remaining = self.warmup.borrow().remaining(now);
        event::emit(&Event::WarmthChanged {
            server: self.id.to_string(),
            service: self.service.clone(),
            zone: self.zone.clone(),
            belief: warmth.name().to_owned(),
            by: cause.name().to_owned(),
            sequence: heartbeat.sequence,
            born_ms: heartbeat.born_ms,
            left_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            sent: self.sent(now),
        });
    }
}
