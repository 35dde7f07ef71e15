//! Cold backend servers: which entry VM owns one, and what is logged of that.

use std::time::{Duration, Instant};

use event::Event;
use steer::owner::{self, Member, View};
use steer::placement::hash;
use steer::warmup::Warmth;

use crate::peers;
use crate::servers::Live;
use crate::state::State;

/// What may change the belief in a server's warmth.
#[derive(Debug, Clone, Copy)]
pub enum By {
    /// A registration.
    Registration,
    /// It could not be reached.
    Loss,
    /// Its zone was evacuated or taken back.
    Evacuation,
    /// This entry VM was cut off from it.
    Cut,
    /// Time that passed.
    Time,
}

impl By {
    fn name(self) -> &'static str {
        match self {
            Self::Registration => "registration",
            Self::Loss => "loss",
            Self::Evacuation => "evacuation",
            Self::Cut => "cut",
            Self::Time => "time",
        }
    }
}

/// Returns the place of a VM or a server.
fn place(name: u64, zone: &str, region: &str) -> Member {
    Member {
        name,
        zone: hash(zone.as_bytes()),
        region: hash(region.as_bytes()),
    }
}

impl State {
    /// Returns whether this entry VM may send work to the cold server `live`, as of the latest tick. One
    /// that stops may not, since the others know of a next one soon, nor one that stood still since.
    #[must_use]
    pub fn owns(&self, live: &Live) -> bool {
        let now = Instant::now();
        if self.is_leaving() || !self.views.borrow().is_fresh(now) {
            return false;
        }
        if let Some(is_own) = self.owned.borrow().get(&live.hash) {
            return *is_own;
        }
        let own = peers::rank(&self.settings.vm);
        let server = place(live.hash, &live.zone, &live.region);
        let views = self.views.borrow();
        let is_own = views.owns(own, server, now);
        self.owned.borrow_mut().insert(live.hash, is_own);
        let owner = views.owner(server);
        if live.owner.replace((owner, is_own)) != (owner, is_own) {
            self.log_owner(live, owner, is_own);
        }
        is_own
    }

    /// Notes which entry VMs serve callers, this one included if it does.
    pub fn note_view(&self, now: Instant) {
        let board = self.board.borrow();
        let ready = board.ready(&self.picture.borrow());
        let others = ready.iter().map(|(name, announcement)| {
            let zone = &announcement.zone;
            place(peers::rank(name), zone, self.region_of(zone))
        });
        let own = place(
            peers::rank(&self.settings.vm),
            &self.settings.zone,
            &self.settings.region,
        );
        let own = self.is_ready().then_some(own);
        let sight = View {
            vms: others.chain(own).collect(),
            alive: self.picture.borrow().vms.len(),
            known: board.count(),
        };
        self.views.borrow_mut().note(sight, now);
    }

    fn log_owner(&self, live: &Live, owner: Option<u64>, is_own: bool) {
        let board = self.board.borrow();
        let picture = self.picture.borrow();
        let ready = board.ready(&picture);
        let names = ready.iter().map(|(name, _)| *name);
        let mut names = names.chain([&*self.settings.vm]);
        let name = names.find(|name| Some(peers::rank(name)) == owner);
        event::emit(&Event::OwnerChanged {
            server: live.id.to_string(),
            owner: name.unwrap_or_default().to_owned(),
            is_own,
            ready: ready.len() as u64,
            heard: picture.vms.len() as u64,
            known: board.count() as u64,
        });
    }

    /// Returns the requests a second that this entry VM may send to a cold server of `service` that it
    /// owns.
    #[must_use]
    pub fn most_to_cold(&self, service: &str) -> f64 {
        owner::max_per_s(self.cold_bound(service), self.views.borrow().alive_ratio())
    }

    /// Logs what is sent to cold servers, and beliefs that time alone has changed.
    pub fn log_warmth(&self, now: Instant) {
        for live in self.servers.borrow().iter() {
            live.log_belief(By::Time, now);
            self.log_sent(live, now);
        }
    }

    fn log_sent(&self, live: &Live, now: Instant) {
        let belief = live.belief(now);
        if belief == Warmth::Warm {
            return;
        }
        let sent = live.sent(now);
        if sent == 0 {
            return;
        }
        event::emit(&Event::ColdSent {
            server: live.id.to_string(),
            belief: belief.name().to_owned(),
            sent,
            most: self.most_to_cold(&live.service),
            is_own: self.owns(live),
            sequence: live.heartbeat.get().sequence,
            heartbeat_ms: live.heartbeat_ms(now),
        });
    }

    /// Returns the time for which a server of `service` stays cold after its start.
    #[must_use]
    pub fn warmup(&self, service: &str) -> Duration {
        let config = self.config();
        let service = config
            .as_ref()
            .and_then(|config| config.services.get(service));
        service.map_or(Duration::ZERO, |service| service.warmup)
    }

    /// Returns the requests a second that a cold server of `service` bears from all entry VMs.
    fn cold_bound(&self, service: &str) -> f64 {
        let bounds = self.bounds();
        let config = self.config();
        let service = config
            .as_ref()
            .and_then(|config| config.services.get(service));
        let per_s = service.map_or(1.0, |service| service.warmup_per_s);
        per_s.mul_add(bounds.cold_factor, bounds.cold_extra)
    }
}

impl Live {
    /// Returns what is believed of its warmth.
    #[must_use]
    pub fn belief(&self, now: Instant) -> Warmth {
        self.cold.borrow().warmth(now)
    }

    /// Returns the requests that this entry VM sent to it in the last second.
    fn sent(&self, now: Instant) -> u64 {
        self.cold.borrow_mut().sent(now) as u64
    }

    /// Logs the belief in its warmth if it is another than the last one logged.
    pub fn log_belief(&self, by: By, now: Instant) {
        let belief = self.belief(now);
        if self.logged.replace(belief) == belief {
            return;
        }
        let heartbeat = self.heartbeat.get();
        let left = self.cold.borrow().remaining(now);
        event::emit(&Event::WarmthChanged {
            server: self.id.to_string(),
            service: self.service.clone(),
            zone: self.zone.clone(),
            belief: belief.name().to_owned(),
            by: by.name().to_owned(),
            sequence: heartbeat.sequence,
            born_ms: heartbeat.born_ms,
            left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            sent: self.sent(now),
        });
    }
}
