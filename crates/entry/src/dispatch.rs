//! Sends a request to backend servers until one of them answers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use event::Event;
use fleet::config::may_run_in;
use fleet::{Config, Idempotency, Route, Version, Workspace};
use killer::Fingerprint;
use rand::Rng as _;
use steer::admission::retry_after;
use steer::placement::{self, Reach, Strategy};
use steer::retry::{self, Decision, Ending, Policy, Reason};
use steer::to_f64;
use steer::warmup::Warmth;
use tokio::time::timeout_at;

use crate::admission::Choice;
use crate::caller::{Incoming, MEMORY_RETRY};
use crate::memory::Reservation;
use crate::outstanding::Room;
use crate::quarantine;
use crate::reach;
use crate::relay::Relayed;
use crate::relay::headers::Asked;
use crate::request_log::attempt_of;
use crate::response::{Refusal, forwarded_head};
use crate::said::{self, Said};
use crate::servers::Backend;
use crate::state::State;
use crate::upstream::{self, Outcome, Outgoing, Response, Reuse};

/// Maximum number of idle connections to one backend server.
const MAX_IDLE: usize = 32;

/// Number of servers without a token after which a request goes to no server that names a limit.
const MAX_WITHOUT_TOKEN: u32 = 2;

/// Maximum random time added to a refusal's time to retry, so that callers do not retry all at once.
const MAX_RETRY_JITTER: Duration = Duration::from_millis(200);

/// Returns a random delay that spreads the retries of callers.
#[must_use]
pub fn retry_jitter() -> Duration {
    MAX_RETRY_JITTER.mul_f64(rand::rng().random())
}

/// Returns when a refused caller may retry if nothing tells when there will be capacity.
fn default_retry_after() -> Duration {
    retry_after::MIN + retry_jitter()
}

/// Returns the hash of a request's workspace, method, target and body.
#[must_use]
pub fn fingerprint(incoming: &Incoming, workspace: Option<&Workspace>) -> Fingerprint {
    let workspace = workspace.map_or("", |workspace| &workspace.name);
    let method = String::from_utf8_lossy(&incoming.head.method);
    let target = String::from_utf8_lossy(&incoming.head.target);
    Fingerprint::new(workspace, &method, &target, &incoming.body)
}

/// Who sent a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another entry VM, which has checked the key and the rate.
    Vm,
}

/// A request and the decisions made for it.
#[derive(Debug)]
pub struct Dispatch<'a> {
    /// State of the daemon.
    pub state: &'a Rc<State>,
    /// Configuration that was in force when the request arrived.
    pub config: Rc<Config>,
    /// Its route.
    pub route: &'a Route,
    /// Its workspace; absent on open routes.
    pub workspace: Option<&'a Workspace>,
    /// Name of the service that answers.
    pub service: &'a str,
    /// Who sent the request.
    pub origin: Origin,
    /// The request.
    pub incoming: &'a Incoming,
    /// Hash of the object that it is about.
    pub object: u64,
    /// When it times out.
    pub deadline: Instant,
    /// Attempts so far.
    pub attempts: Attempts,
    /// VM through which it was passed on last, and the version of the configuration that this VM named.
    pub via: Option<(SocketAddr, Version)>,
}

/// Attempts of one request.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Backend servers of the attempts, in order.
    pub servers: Vec<Rc<Backend>>,
    /// Counts of the attempts by their ending.
    pub counts: retry::Attempts,
    /// Number of servers chosen whose limit had no token left.
    without_token: u32,
    /// Number of servers chosen that no longer took requests when they had room for the body.
    without_room: u32,
    /// Warmth of the last attempt's backend server, and the age of its heartbeat in milliseconds.
    pub warmth: Option<(Warmth, u64)>,
    /// A backend server's error response, returned to the caller if no other server answers.
    error_response: Option<Response>,
}

impl Attempts {
    /// Returns whether no server was chosen yet.
    pub(crate) fn is_first(&self) -> bool {
        self.servers.is_empty() && self.without_token == 0 && self.without_room == 0
    }
}

/// What follows an attempt.
enum Step {
    Done(Response),
    Retry,
}

impl Dispatch<'_> {
    /// Sends the request until a backend server answers or no further attempt is possible.
    ///
    /// # Errors
    ///
    /// Fails with the refusal that the caller gets.
    pub async fn run(&mut self) -> Result<Response, Refusal> {
        if self.is_cut_off() {
            match self.relay().await {
                Relayed::Ended(outcome) => return outcome,
                Relayed::Outdated => return Err(refusal(Reason::NoServer)),
                Relayed::NoHelp => {}
            }
        }
        loop {
            match self.step().await {
                Ok(Step::Done(response)) => return Ok(response),
                Ok(Step::Retry) => {}
                Err(refusal) => return self.fail(refusal).await,
            }
        }
    }

    /// Returns what the caller gets if this VM has no way to a server that may run the request.
    async fn fail(&mut self, refusal: Refusal) -> Result<Response, Refusal> {
        if let Some(response) = self.attempts.error_response.take() {
            return Ok(response);
        }
        let is_lost_in_partition = matches!(refusal, Refusal::AnswerLost)
            && self.route.idempotency == Idempotency::Idempotent
            && self.is_cut_off();
        let is_unserved = matches!(refusal, Refusal::NoServer(_)) && self.should_relay();
        if is_unserved || is_lost_in_partition {
            return match self.relay().await {
                Relayed::Ended(outcome) => outcome,
                Relayed::Outdated | Relayed::NoHelp => Err(refusal),
            };
        }
        Err(refusal)
    }

    /// Returns whether this VM probably reaches no server at all, so that trying some only takes time.
    fn is_cut_off(&self) -> bool {
        self.origin == Origin::Caller && self.state.is_partitioned()
    }

    /// Returns whether another VM may reach a server for the request: this one failed to reach those that
    /// it chose, or knows that it reaches none of those that may run it.
    fn should_relay(&self) -> bool {
        if self.origin == Origin::Vm {
            return false;
        }
        if self.attempts.counts.unreachable() > 0 {
            return true;
        }
        let servers = self.state.servers.borrow();
        let permitted = servers.of(self.service).iter();
        let mut permitted = permitted.filter(|backend| self.is_permitted(backend));
        permitted.clone().count() > 0 && permitted.all(|backend| backend.is_unreachable())
    }

    /// Returns the number of servers that the request may be sent to.
    pub fn max_sent(&self) -> u32 {
        let relayed = Asked::of(&self.incoming.head).attempts;
        let relayed = relayed.filter(|_| self.origin == Origin::Vm);
        relayed.map_or(self.route.max_attempts, |left| {
            left.min(self.route.max_attempts)
        })
    }

    async fn step(&mut self) -> Result<Step, Refusal> {
        self.check_stop()?;
        let memory = self.unless_stopping(self.wait_for_memory()).await??;
        let Choice {
            backend,
            time_factor,
        } = self.choose()?;
        let room = self.unless_stopping(self.wait_for_room(&backend)).await??;
        let Room::Free(_outstanding) = room else {
            self.attempts.without_room += 1;
            return Ok(Step::Retry);
        };
        if !self.state.admit_to_server(&backend).await || !backend.takes_requests(Instant::now()) {
            self.attempts.without_token += 1;
            return Ok(Step::Retry);
        }
        self.check_stop()?;
        self.attempt(&backend, time_factor, memory).await
    }

    /// Fails if this VM stops and would cut the request at its end: it is sent to no further server.
    fn check_stop(&self) -> Result<(), Refusal> {
        if self.state.can_finish(self.deadline) {
            Ok(())
        } else {
            Err(self.stopping())
        }
    }

    /// Waits for `waiting`, unless this VM begins to stop and would cut the request at its end.
    async fn unless_stopping<T>(&self, waiting: impl Future<Output = T>) -> Result<T, Refusal> {
        tokio::select! {
            biased;
            done = waiting => Ok(done),
            () = self.state.wait_cannot_finish(self.deadline) => Err(self.stopping()),
        }
    }

    fn stopping(&self) -> Refusal {
        if self.attempts.counts.may_have_run() {
            return self.no_capacity();
        }
        Refusal::Leaving
    }

    /// Waits for the memory that the response will probably need: a request whose response cannot be
    /// read must not run.
    async fn wait_for_memory(&self) -> Result<Reservation, Refusal> {
        let mut memory = self.state.body_memory.reservation();
        let expected = self.state.response_sizes.expected(&self.route.name);
        if expected > 0 {
            let mut since = None;
            let wait = memory.wait_for_response(expected, &mut since);
            let waited = timeout_at(self.latest_start().into(), wait).await;
            if waited != Ok(true) {
                return Err(if self.attempts.counts.sent() > 0 {
                    self.no_capacity()
                } else {
                    Refusal::NoMemory(MEMORY_RETRY + retry_jitter())
                });
            }
        }
        Ok(memory)
    }

    /// Returns the strategy that ranks the backend servers for the request.
    pub(crate) fn strategy(&self) -> Strategy {
        let spills = self.state.spills.borrow();
        let spill = spills.get(self.service).copied().unwrap_or_default();
        if self.route.has_affinity {
            let reports_load = !self.state.without_load.borrow().contains(self.service);
            let reach = if placement::is_regional(self.route.target_latency, reports_load) {
                Reach::Region(spill.region)
            } else {
                Reach::Fleet
            };
            return Strategy::Affinity {
                object: self.object,
                reach,
            };
        }
        Strategy::Proximity {
            sample: rand::rng().random(),
            spill,
        }
    }

    /// Returns how many entry VMs send requests like this one to `backend`.
    pub(crate) fn users(&self, backend: &Backend) -> f64 {
        if self.route.has_affinity {
            return to_f64(self.state.membership.borrow().count());
        }
        self.state.vms_in(&backend.zone)
    }

    /// Returns whether the request may be sent to `backend` at `now`, whatever is queued there.
    pub(crate) fn is_eligible(&self, backend: &Rc<Backend>, now: Instant) -> bool {
        backend.takes_requests(now)
            && !self
                .attempts
                .servers
                .iter()
                .any(|tried| Rc::ptr_eq(tried, backend))
            && self.is_permitted(backend)
            && self.is_warm_enough(backend, now)
            && self.may_have_token(backend, now)
    }

    /// Returns the latest time to send the request: half of the route's target latency before it times out.
    pub fn latest_start(&self) -> Instant {
        let margin = self.route.target_latency / 2;
        self.deadline.checked_sub(margin).unwrap_or(self.deadline)
    }

    /// Returns the refusal for lack of capacity, corrected by the results of the attempts so far.
    pub fn no_capacity(&self) -> Refusal {
        self.refusal(Reason::NoCapacity)
    }

    /// Returns whether operators permit that the request runs on `backend` now.
    fn is_permitted(&self, backend: &Backend) -> bool {
        let workspace_home_regions = self
            .workspace
            .map_or(&[][..], |workspace| &workspace.home_regions);
        backend.takes_work()
            && !self.state.is_evacuated(&backend.zone)
            && may_run_in(
                &backend.region,
                &self.route.home_regions,
                workspace_home_regions,
            )
    }

    /// Returns whether the limit of `backend`, if it names one, may have a token left.
    fn may_have_token(&self, backend: &Backend, now: Instant) -> bool {
        let limiter = backend.limiter.borrow();
        let is_limited = limiter.per_s().is_some();
        !is_limited || (self.attempts.without_token < MAX_WITHOUT_TOKEN && limiter.may_ask(now))
    }

    /// Returns the refusal of a request that no server of `servers` may get. If servers that name a limit
    /// or want no requests for a while are the reason, the caller learns when the first of them has room.
    pub(crate) fn exhausted(&self, servers: &[Rc<Backend>], now: Instant) -> Refusal {
        let reason = self.attempts.counts.exhausted_reason();
        if !matches!(reason, Reason::NoCapacity | Reason::NoServer) {
            return refusal(reason);
        }
        let usable = servers.iter().filter(|backend| backend.is_usable());
        let limited = |backend: &Rc<Backend>| backend.limiter.borrow().remaining_wait(now);
        if let Some(wait) = usable.clone().filter_map(limited).min() {
            return Refusal::ServerLimit(wait + retry_jitter());
        }
        let wait = usable
            .filter_map(|backend| backend.remaining_wait(now))
            .min();
        match (wait, reason) {
            (Some(wait), _) => Refusal::NoCapacity(wait + retry_jitter()),
            (None, Reason::NoCapacity) => self.rejected_everywhere(now),
            (None, reason) => refusal(reason),
        }
    }

    /// Returns whether the request may be sent to `backend` as far as its warmth is concerned.
    fn is_warm_enough(&self, backend: &Backend, now: Instant) -> bool {
        let mut warmup = backend.warmup.borrow_mut();
        if !warmup.is_cold(now) {
            return true;
        }
        warmup.allows(self.state.max_rate_to_cold(self.service), now) && self.state.owns(backend)
    }

    async fn attempt(
        &mut self,
        backend: &Rc<Backend>,
        time_factor: f64,
        memory: Reservation,
    ) -> Result<Step, Refusal> {
        let now = Instant::now();
        let remaining = self.deadline.saturating_duration_since(now);
        if remaining.is_zero() {
            return Err(refusal(self.attempts.counts.timeout_reason()));
        }
        if self.attempts.counts.sent() > 0 && !self.state.take_retry(self.service) {
            return Err(self.refusal(Reason::NoCapacity));
        }
        let request = self.outgoing(backend, remaining);
        let load_guard = backend.load_guard(now);
        self.attempts.servers.push(Rc::clone(backend));
        self.attempts.warmth = Some((backend.warmth(now), backend.heartbeat_ms(now)));
        let reuse = Reuse {
            limit: &self.state.idle_limit,
            max_idle: self.max_idle(),
        };
        let names = &self.state.names;
        let outcome =
            upstream::send(&load_guard, &request, names, &reuse, memory, self.deadline).await;
        if let Outcome::Answered(response) = &outcome {
            self.note_response(backend, response);
            self.note_time(response, now.elapsed(), time_factor);
        }
        drop(load_guard);
        if matches!(outcome, Outcome::TimedOut) && !backend.has_answered_since(now) {
            backend.note_connection_lost();
            reach::probe(self.state, backend);
        }
        self.state
            .metrics
            .note_exchange(self.service, now.elapsed());
        self.next_step(backend, outcome)
    }

    /// Returns how many idle connections this entry VM may keep to one backend server: half of its
    /// even share of the connections that the server accepts.
    fn max_idle(&self) -> usize {
        let service = self.config.services.get(self.service);
        let accepted = service.map_or(0, |service| service.max_connections);
        let vms = self.state.membership.borrow().count();
        (accepted / 2 / vms).clamp(1, MAX_IDLE)
    }

    fn outgoing(&self, backend: &Backend, remaining: Duration) -> Outgoing {
        let head = &self.incoming.head;
        let names = &self.state.names;
        let workspace = self.workspace.map(|workspace| workspace.name.as_str());
        let length = self.incoming.body.len();
        let attempt = head.fields.get(names.attempt).unwrap_or_default();
        Outgoing {
            head: forwarded_head(
                head,
                names,
                length,
                remaining.as_millis(),
                &[(names.target, &*backend.id)],
                workspace,
            ),
            body: self.incoming.body.clone(),
            attempt: Bytes::copy_from_slice(attempt),
            is_head: &head.method[..] == b"HEAD",
        }
    }

    fn note_response(&self, backend: &Backend, response: &Response) {
        backend.note_response(Instant::now());
        self.state.partition.borrow_mut().note_reached();
        if !self.state.quarantine.is_empty() {
            let fingerprint = fingerprint(self.incoming, self.workspace);
            self.state
                .quarantine
                .note_response(fingerprint, backend.addr);
        }
        let said = Said::new(
            response.head.status,
            &response.head.fields,
            &self.state.names,
        );
        self.note_limit(backend, said.limit);
        self.note_wait(backend, said.wait);
        if said.leaves {
            self.state.note_leaving(backend);
        }
        if (200..300).contains(&response.head.status) {
            let bytes: usize = response.body.iter().map(Bytes::len).sum();
            let sizes = &self.state.response_sizes;
            sizes.note(&self.route.name, bytes as u64);
        }
        if let Some(load) = said.load {
            self.state.note_load(backend, &load, Instant::now());
            if load.is_partly_invalid {
                self.note_invalid(backend, self.state.names.load);
            }
            self.state.without_load.borrow_mut().remove(self.service);
        } else if (200..300).contains(&response.head.status) {
            let mut without_load = self.state.without_load.borrow_mut();
            without_load.insert(self.service.to_owned());
        }
    }

    /// Records the limit that a response of `backend` names. A limit that cannot be read leaves the
    /// earlier one in force.
    fn note_limit(&self, backend: &Backend, limit: said::Limit) {
        match limit {
            said::Limit::Absent => backend.note_limit(None),
            said::Limit::PerS(per_s) => backend.note_limit(Some(per_s)),
            said::Limit::Invalid => self.note_invalid(backend, self.state.names.limit),
        }
    }

    /// Records how long `backend` wants no requests.
    fn note_wait(&self, backend: &Backend, wait: said::Wait) {
        match wait {
            said::Wait::Absent => {}
            said::Wait::For(wait) => backend.note_wait(wait, Instant::now()),
            said::Wait::Invalid => self.note_invalid(backend, said::RETRY_AFTER),
        }
    }

    /// Records that a header of a response of `backend` cannot be read.
    fn note_invalid(&self, backend: &Backend, header: &str) {
        self.state.metrics.note_bad_header();
        if backend.logged_invalid.replace(true) {
            return;
        }
        event::emit(&Event::HeaderInvalid {
            request: attempt_of(self.state, &self.incoming.head),
            server: backend.id.to_string(),
            header: header.to_owned(),
        });
    }

    /// Records the outcome of an attempt at `backend`, and decides what follows.
    fn next_step(&mut self, backend: &Rc<Backend>, outcome: Outcome) -> Result<Step, Refusal> {
        let mut is_retriable = self.route.idempotency == Idempotency::Idempotent;
        let ending = match &outcome {
            Outcome::Answered(response) if self.was_not_run(response) => Ending::NotRun,
            Outcome::Answered(response) => Ending::Responded {
                failed: response.head.status >= 500,
            },
            Outcome::Unreachable(problem) => {
                reach::mark_unreachable(self.state, backend);
                self.log_failure(backend, problem);
                Ending::Unreachable
            }
            Outcome::ConnectionLost(problem) => {
                is_retriable &= !self.note_connection_lost(backend, problem);
                Ending::ConnectionLost
            }
            Outcome::TimedOut => Ending::TimedOut,
            Outcome::NoMemory => {
                self.state.metrics.note_dropped_response(self.service);
                is_retriable = false;
                Ending::ConnectionLost
            }
        };
        let policy = Policy {
            is_idempotent: is_retriable,
            max_sent: self.max_sent(),
        };
        let has_time_for_retry = self.has_time_for_retry();
        let next = self
            .attempts
            .counts
            .decide(policy, ending, has_time_for_retry);
        match (next, outcome) {
            (Decision::Deliver, Outcome::Answered(response)) => Ok(Step::Done(response)),
            (Decision::Refuse(Reason::NoCapacity), _) => {
                Err(self.rejected_everywhere(Instant::now()))
            }
            (Decision::Refuse(reason), _) => Err(refusal(reason)),
            (_, Outcome::Answered(response)) if ending != Ending::NotRun => {
                self.attempts.error_response = Some(response);
                Ok(Step::Retry)
            }
            _ => Ok(Step::Retry),
        }
    }

    /// Records that `backend` closed the connection before its response was complete; returns
    /// whether requests like this one are known to crash backend servers.
    fn note_connection_lost(&self, backend: &Rc<Backend>, problem: &str) -> bool {
        backend.note_connection_lost();
        self.log_failure(backend, problem);
        let fingerprint = fingerprint(self.incoming, self.workspace);
        let is_suspect = self.state.quarantine.suspects(&fingerprint);
        quarantine::probe(self.state, backend, fingerprint);
        is_suspect
    }

    pub(crate) fn was_not_run(&self, response: &Response) -> bool {
        let fields = &response.head.fields;
        response.head.status == 421 || fields.get(self.state.names.not_run).is_some()
    }

    /// Returns whether enough time remains for another attempt: half of the route's target latency.
    fn has_time_for_retry(&self) -> bool {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        remaining >= self.route.target_latency / 2
    }

    fn log_failure(&self, backend: &Backend, problem: &str) {
        event::emit(&Event::BackendFailed {
            request: attempt_of(self.state, &self.incoming.head),
            service: self.service.to_owned(),
            backend: backend.addr,
            error: problem.to_owned(),
        });
    }

    /// Returns the refusal for `reason`, corrected by the results of the attempts so far.
    fn refusal(&self, reason: Reason) -> Refusal {
        refusal(self.attempts.counts.truthful(reason))
    }
}

/// Returns the refusal for `reason`.
pub(crate) fn refusal(reason: Reason) -> Refusal {
    match reason {
        Reason::NoCapacity => Refusal::NoCapacity(default_retry_after()),
        Reason::NoServer => Refusal::NoServer(default_retry_after()),
        Reason::AnswerLost => Refusal::AnswerLost,
        Reason::TimedOut => Refusal::TimedOut,
    }
}
