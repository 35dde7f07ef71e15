//! Sending a request to backend servers until one answers.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use event::Event;
use fleet::config::may_run_in;
use fleet::{Config, Idempotency, Route, Workspace};
use killer::Fingerprint;
use rand::Rng as _;
use steer::placement::{self, Candidate, Strategy};
use steer::retry::{self, Decision, Ending, Policy, Reason};
use steer::to_f64;
use steer::warmup::Warmth;

use crate::caller::Incoming;
use crate::quarantine;
use crate::reach;
use crate::request_log::attempt_of;
use crate::response::{Refusal, forwarded};
use crate::servers::Live;
use crate::state::State;
use crate::upstream::{self, Answered, Outcome, Outgoing, Reuse};

/// Most idle connections to one server.
const MAX_IDLE: usize = 32;

/// Shortest time after which a refused caller may come again.
const RETRY_AFTER: Duration = Duration::from_millis(150);

/// Longest time added to it, so that callers do not come back together.
const RETRY_SPREAD: Duration = Duration::from_millis(200);

/// Returns a random part of the time that callers' returns are spread over.
#[must_use]
pub fn spread() -> Duration {
    RETRY_SPREAD.mul_f64(rand::rng().random())
}

/// Returns when a caller that found no room may come again.
fn retry_after() -> Duration {
    RETRY_AFTER + spread()
}

/// Returns the hash of what a request asks for.
#[must_use]
pub fn fingerprint(incoming: &Incoming, workspace: Option<&Workspace>) -> Fingerprint {
    let workspace = workspace.map_or("", |workspace| &workspace.name);
    let method = String::from_utf8_lossy(&incoming.head.method);
    let target = String::from_utf8_lossy(&incoming.head.target);
    Fingerprint::new(workspace, &method, &target, &incoming.body)
}

/// A request with all that was decided about it.
#[derive(Debug)]
pub struct Job<'a> {
    /// State of the daemon.
    pub state: &'a Rc<State>,
    /// Configuration under which the request was taken.
    pub config: Rc<Config>,
    /// Its route.
    pub route: &'a Route,
    /// Its workspace; absent on open routes.
    pub workspace: Option<&'a Workspace>,
    /// Name of the service that answers.
    pub service: &'a str,
    /// The request.
    pub incoming: &'a Incoming,
    /// Hash of the object that it is about.
    pub object: u64,
    /// Until when it is worked on.
    pub deadline: Instant,
    /// What was tried.
    pub tries: Tries,
}

/// What was tried for a request.
#[derive(Debug, Default)]
pub struct Tries {
    /// Servers that were tried, the last one last.
    pub servers: Vec<Rc<Live>>,
    /// How they ended.
    pub counts: retry::Attempts,
    /// What was believed of the last one's warmth, and the age of its heartbeat in milliseconds.
    pub warmth: Option<(Warmth, u64)>,
    /// A server's own failure, which the caller gets if no other server answers.
    failure: Option<Answered>,
}

/// What follows a try.
enum Step {
    Done(Answered),
    Again,
}

impl Job<'_> {
    /// Sends the request until a server answers or nothing more can be tried.
    ///
    /// # Errors
    ///
    /// Says why there is no answer.
    pub async fn run(&mut self) -> Result<Answered, Refusal> {
        loop {
            match self.step().await {
                Ok(Step::Done(answered)) => return Ok(answered),
                Ok(Step::Again) => {}
                Err(refusal) => return self.tries.failure.take().ok_or(refusal),
            }
        }
    }

    async fn step(&mut self) -> Result<Step, Refusal> {
        let live = self.choose()?;
        self.attempt(&live).await
    }

    /// Chooses the next server.
    fn choose(&self) -> Result<Rc<Live>, Refusal> {
        let now = Instant::now();
        let servers = self.state.servers.borrow();
        let is_eligible = |live: &&Rc<Live>| self.is_eligible(live, now);
        let all = servers.of(self.service).iter().filter(is_eligible);
        let eligible: Vec<&Rc<Live>> = all.collect();
        if eligible.is_empty() {
            return Err(refusal(self.tries.counts.exhausted_reason()));
        }
        let candidate = |live: &&Rc<Live>| Candidate {
            server: live.hash,
            distance: live.distance,
            load: live.load(|| self.users(live), now),
            slots: f64::from(live.slots.get()),
        };
        let candidates: Vec<Candidate> = eligible.iter().map(candidate).collect();
        let chosen = placement::choose(&candidates, self.way());
        let chosen = chosen.ok_or_else(|| self.refusal(Reason::NoCapacity))?;
        Ok(Rc::clone(eligible[chosen]))
    }

    /// Returns how the servers are ordered for the request.
    fn way(&self) -> Strategy {
        if self.route.has_affinity {
            return Strategy::Affinity {
                object: self.object,
            };
        }
        let spills = self.state.spills.borrow();
        Strategy::Proximity {
            sample: rand::rng().random(),
            spill: spills.get(self.service).copied().unwrap_or_default(),
        }
    }

    /// Returns how many entry VMs use `live` for requests like this one.
    fn users(&self, live: &Live) -> f64 {
        if self.route.has_affinity {
            return to_f64(self.state.board.borrow().count());
        }
        self.state.vms_in(&live.zone)
    }

    fn is_eligible(&self, live: &Rc<Live>, now: Instant) -> bool {
        let workspace_homes = self
            .workspace
            .map_or(&[][..], |workspace| &workspace.home_regions);
        live.is_usable()
            && !self
                .tries
                .servers
                .iter()
                .any(|tried| Rc::ptr_eq(tried, live))
            && !self.state.is_evacuated(&live.zone)
            && may_run_in(&live.region, &self.route.home_regions, workspace_homes)
            && self.may_warm(live, now)
    }

    /// Returns whether a cold server may get the request.
    fn may_warm(&self, live: &Live, now: Instant) -> bool {
        let mut cold = live.cold.borrow_mut();
        if !cold.is_cold(now) {
            return true;
        }
        cold.allows(self.state.most_to_cold(self.service), now) && self.state.owns(live)
    }

    async fn attempt(&mut self, live: &Rc<Live>) -> Result<Step, Refusal> {
        let now = Instant::now();
        let left = self.deadline.saturating_duration_since(now);
        if left.is_zero() {
            return Err(refusal(self.tries.counts.timeout_reason()));
        }
        if self.tries.counts.sent() > 0 && !self.state.take_repeat(self.service) {
            return Err(self.refusal(Reason::NoCapacity));
        }
        let request = self.outgoing(live, left);
        let ticket = live.ticket(now);
        self.tries.servers.push(Rc::clone(live));
        self.tries.warmth = Some((live.belief(now), live.heartbeat_ms(now)));
        let reuse = Reuse {
            limit: &self.state.idle_limit,
            most: self.most_idle(),
        };
        let names = &self.state.names;
        let outcome = upstream::send(&ticket, &request, names, &reuse, self.deadline).await;
        if let Outcome::Answered(answered) = &outcome {
            self.note_answer(live, answered);
        }
        drop(ticket);
        if matches!(outcome, Outcome::TimedOut) && !live.has_answered_since(now) {
            live.note_broken();
            reach::look(self.state, live);
        }
        self.state
            .metrics
            .note_exchange(self.service, now.elapsed());
        self.judge(live, outcome)
    }

    /// Returns how many idle connections to a server this entry VM may keep: half of its even part
    /// of what the server accepts.
    fn most_idle(&self) -> usize {
        let service = self.config.services.get(self.service);
        let accepted = service.map_or(0, |service| service.max_connections);
        let vms = self.state.board.borrow().count();
        (accepted / 2 / vms).clamp(1, MAX_IDLE)
    }

    fn outgoing(&self, live: &Live, left: Duration) -> Outgoing {
        let head = &self.incoming.head;
        let names = &self.state.names;
        let workspace = self.workspace.map(|workspace| workspace.name.as_str());
        let length = self.incoming.body.len();
        let attempt = head.fields.get(names.attempt).unwrap_or_default();
        Outgoing {
            head: forwarded(head, names, length, left.as_millis(), &live.id, workspace),
            body: self.incoming.body.clone(),
            attempt: Bytes::copy_from_slice(attempt),
            is_head: &head.method[..] == b"HEAD",
        }
    }

    fn note_answer(&self, live: &Live, answered: &Answered) {
        live.note_answer(Instant::now());
        if !self.state.quarantine.is_empty() {
            let fingerprint = fingerprint(self.incoming, self.workspace);
            self.state.quarantine.note_answer(fingerprint, live.addr);
        }
        let told = answered.head.fields.text(self.state.names.load);
        let mut told = told
            .unwrap_or_default()
            .split(',')
            .map(|part| part.trim().parse());
        if let (Some(Ok(running)), Some(Ok(waiting))) = (told.next(), told.next()) {
            live.note_load(running, waiting, Instant::now());
        }
    }

    /// Notes what `outcome` says of `live`, and decides what follows.
    fn judge(&mut self, live: &Rc<Live>, outcome: Outcome) -> Result<Step, Refusal> {
        let mut may_repeat = self.route.idempotency == Idempotency::Idempotent;
        let ending = match &outcome {
            Outcome::Answered(answered) if self.was_not_run(answered) => Ending::NotRun,
            Outcome::Answered(answered) => Ending::Responded {
                failed: answered.head.status >= 500,
            },
            Outcome::Unreached(problem) => {
                reach::lose(self.state, live);
                self.note_failure(live, problem);
                Ending::Unreachable
            }
            Outcome::Broken(problem) => {
                may_repeat &= !self.note_broken(live, problem);
                Ending::ConnectionLost
            }
            Outcome::TimedOut => Ending::TimedOut,
        };
        let terms = Policy {
            is_idempotent: may_repeat,
            max_sent: self.route.max_attempts,
        };
        let is_worth_another = self.is_worth_another();
        let next = self.tries.counts.decide(terms, ending, is_worth_another);
        match (next, outcome) {
            (Decision::Deliver, Outcome::Answered(answered)) => Ok(Step::Done(answered)),
            (Decision::Refuse(why), _) => Err(refusal(why)),
            (_, Outcome::Answered(answered)) if ending != Ending::NotRun => {
                self.tries.failure = Some(answered);
                Ok(Step::Again)
            }
            _ => Ok(Step::Again),
        }
    }

    /// Notes that `live` broke off the request; returns whether requests like it are known to crash
    /// servers.
    fn note_broken(&self, live: &Rc<Live>, problem: &str) -> bool {
        live.note_broken();
        self.note_failure(live, problem);
        let fingerprint = fingerprint(self.incoming, self.workspace);
        let is_suspect = self.state.quarantine.suspects(&fingerprint);
        quarantine::look(self.state, live, fingerprint);
        is_suspect
    }

    fn was_not_run(&self, answered: &Answered) -> bool {
        let fields = &answered.head.fields;
        answered.head.status == 421 || fields.get(self.state.names.not_run).is_some()
    }

    /// Returns whether another server could still answer in time.
    fn is_worth_another(&self) -> bool {
        let left = self.deadline.saturating_duration_since(Instant::now());
        left >= self.route.target_latency / 2
    }

    fn note_failure(&self, live: &Live, problem: &str) {
        event::emit(&Event::BackendFailed {
            request: attempt_of(self.state, &self.incoming.head),
            service: self.service.to_owned(),
            backend: live.addr,
            error: problem.to_owned(),
        });
    }

    /// Returns the refusal for `why`, as far as that is true after the tries so far.
    fn refusal(&self, why: Reason) -> Refusal {
        refusal(self.tries.counts.truthful(why))
    }
}

fn refusal(why: Reason) -> Refusal {
    match why {
        Reason::NoCapacity => Refusal::NoCapacity(retry_after()),
        Reason::NoServer => Refusal::NoServer(retry_after()),
        Reason::AnswerLost => Refusal::AnswerLost,
        Reason::TimedOut => Refusal::TimedOut,
    }
}
