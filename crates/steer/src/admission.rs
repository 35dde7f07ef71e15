//! Decisions on which requests a server's queue takes, and on refusing the others.
//!
//! Load pattern: demand exceeds the slots of a service for a while. Requests that all wait as long as
//! they may fill every queue equally: urgent requests are refused as often as others, one workspace can
//! take all places, and servers work on requests whose callers have given up. Hence:
//!
//! - after a more urgent request found no room, the queue that a request may find at a server shrinks
//!   with its priority ([`Priorities`]),
//! - while a service is short, a workspace that got more than twice its share of it has half the queue
//!   allowance ([`Shares`]),
//! - a request that its server would most likely finish too late is not sent ([`Times`]),
//! - a refused caller learns when there is likely to be room ([`retry_after`]).
//!
//! All state is this entry VM's own: it concerns the requests that the VM itself sent. Other VMs' requests
//! enter through the estimated load of the servers.

mod priorities;
pub mod retry_after;
mod shares;
mod times;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use fleet::Config;

pub use priorities::Priorities;
pub use shares::Shares;
pub use times::{Times, is_too_late};

use crate::placement::{self, Candidate, MAX_QUEUE, Strategy};

/// Time for which less urgent requests leave room after a more urgent one was refused for lack of room.
/// Without reserved room, queues fill up again, and only another refused request reserves it anew.
const URGENT_WINDOW: Duration = Duration::from_secs(10);

/// Part of its allowance that a workspace over its share gets.
const OVER_SHARE_PART: f64 = 0.5;

/// A request for which a server is chosen.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Name of its route.
    pub route: &'a str,
    /// Its workspace; absent on open routes.
    pub workspace: Option<Workspace>,
    /// Its priority; 0 is the highest.
    pub priority: u32,
    /// Time until its deadline.
    pub remaining: Duration,
    /// How the servers are ordered for it.
    pub strategy: Strategy,
    /// Whether no server was chosen for it before.
    pub is_first: bool,
    /// Whether an earlier attempt may have run it. Then it can no longer be refused as not run, and only
    /// its priority counts.
    pub may_have_run: bool,
}

/// The workspace of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Workspace {
    /// Hash of its name.
    pub name: u64,
    /// Its part of a service that is short, in proportion to those of the others: its rate limit, or 0 if it
    /// has none.
    pub weight: f64,
}

/// The server that a request is sent to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Admitted {
    /// Index of the candidate.
    pub index: usize,
    /// How long the request is expected to take there, compared with an idle server.
    pub time_factor: f64,
}

/// Why a request is refused, and when there is likely to be room for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// The queues of its servers are full for its priority.
    NoRoom(Duration),
    /// There is room, but its workspace got more than twice its share while the service is short.
    OverShare(Duration),
    /// Its server would most likely finish it too late.
    TooLate(Duration),
}

/// State of all services.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    services: HashMap<String, Service>,
}

impl Admission {
    /// Takes over the priorities of `config`, and forgets services and routes that it doesn't have.
    pub fn configure(&mut self, config: &Config) {
        let mut priorities = priorities::by_service(config);
        let routes = config.hosts.values().flatten();
        let routes: HashSet<&str> = routes.map(|route| route.name.as_str()).collect();
        self.services
            .retain(|service, _| priorities.contains_key(service));
        for (service, priorities) in priorities.drain() {
            let service = self.services.entry(service).or_default();
            service.priorities = priorities;
            service
                .times
                .retain(|route, _| routes.contains(route.as_str()));
        }
    }

    /// Returns the state of `service`.
    pub fn service(&mut self, service: &str) -> &mut Service {
        self.services.entry(service.to_owned()).or_default()
    }
}

/// State of one service.
#[derive(Debug, Clone, Default)]
pub struct Service {
    priorities: Priorities,
    /// When a request of a priority last found no room, by priority.
    no_room_at: BTreeMap<u32, Instant>,
    shares: Shares,
    times: HashMap<String, Times>,
}

impl Service {
    /// Creates the state of a service that is used with the given priorities.
    #[must_use]
    pub fn new(priorities: Priorities) -> Self {
        Self {
            priorities,
            ..Self::default()
        }
    }

    /// Chooses one of `candidates` for a request, or refuses it. Sets the candidates' `max_queue`.
    ///
    /// # Errors
    ///
    /// Fails with the reason for the refusal.
    pub fn decide(
        &mut self,
        request: &Request<'_>,
        candidates: &mut [Candidate],
        now: Instant,
    ) -> Result<Admitted, Refused> {
        let decided = self.evaluate(request, candidates, now);
        if let Some(workspace) = request.workspace {
            match decided {
                Ok(_) if request.is_first => self.shares.note_sent(workspace, now),
                Ok(_) => {}
                Err(_) => self.shares.note_refused(workspace, now),
            }
        }
        if matches!(decided, Err(Refused::NoRoom(_))) {
            self.note_no_room(request.priority, now);
        }
        decided
    }

    fn evaluate(
        &mut self,
        request: &Request<'_>,
        candidates: &mut [Candidate],
        now: Instant,
    ) -> Result<Admitted, Refused> {
        let allowance = self.allowance(request.priority, now);
        let is_over_share = !request.may_have_run
            && request
                .workspace
                .is_some_and(|workspace| self.shares.is_over(workspace, now));
        let reduced = if is_over_share {
            allowance * OVER_SHARE_PART
        } else {
            allowance
        };
        let usual = self.usual_time(request.route, now);
        let Some(index) = choose_within(candidates, request.strategy, reduced) else {
            let wait = retry_after::room(candidates, request.strategy, reduced, usual);
            let has_room =
                is_over_share && choose_within(candidates, request.strategy, allowance).is_some();
            return Err(if has_room {
                Refused::OverShare(wait)
            } else {
                Refused::NoRoom(wait)
            });
        };
        let server = &candidates[index];
        let usual = usual.filter(|_| !request.may_have_run);
        if let Some(usual) = usual.filter(|usual| is_too_late(request.remaining, *usual, server)) {
            let wait = retry_after::in_time(server, request.remaining, usual);
            return Err(Refused::TooLate(wait));
        }
        Ok(Admitted {
            index,
            time_factor: times::factor(server),
        })
    }

    /// Returns the usual time of the requests of `route` on an idle server, if that is known.
    #[must_use]
    pub fn usual_time(&self, route: &str, now: Instant) -> Option<Duration> {
        self.times.get(route)?.usual(now)
    }

    /// Records that a request of `priority` was refused for lack of room.
    pub fn note_no_room(&mut self, priority: u32, now: Instant) {
        self.no_room_at.insert(priority, now);
        self.shares.note_short(now);
    }

    /// Records that a server answered a request of `route` after `elapsed`, sent with `time_factor`.
    pub fn note_time(&mut self, route: &str, elapsed: Duration, time_factor: f64, now: Instant) {
        let times = self.times.entry(route.to_owned()).or_default();
        times.note(elapsed.div_f64(time_factor.max(1.0)), now);
    }

    /// Returns the queue allowance of `priority`, in waiting requests per slot.
    #[must_use]
    pub fn allowance(&self, priority: u32, now: Instant) -> f64 {
        let mut more_urgent = self.no_room_at.range(..priority);
        if more_urgent.any(|(_, at)| now.duration_since(*at) < URGENT_WINDOW) {
            self.priorities.allowance(priority)
        } else {
            MAX_QUEUE
        }
    }
}

/// Returns the candidate for a request that may wait while a queue is below `max_queue` per slot.
fn choose_within(
    candidates: &mut [Candidate],
    strategy: Strategy,
    max_queue: f64,
) -> Option<usize> {
    for candidate in &mut *candidates {
        candidate.max_queue = max_queue;
    }
    placement::choose(candidates, strategy)
}
