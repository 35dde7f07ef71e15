//! The way of one request.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use event::Event;
use fleet::config::may_run_in;
use fleet::{Config, Kind, Route, Workspace};
use killer::Fingerprint;
use rand::Rng as _;
use steer::place::{self, Candidate, hash};

use crate::answer::{Refusal, Reply, forwarded};
use crate::caller::Incoming;
use crate::head::Request;
use crate::quarantine;
use crate::servers::Live;
use crate::state::State;
use crate::upstream::{self, Answered, Outcome, Outgoing};

/// Most servers that are tried without a byte sent.
const MAX_UNREACHED: u32 = 3;

/// Shortest time after which a refused caller may come again.
const RETRY_AFTER: Duration = Duration::from_millis(150);

/// Longest time added to it, so that callers do not come back together.
const RETRY_SPREAD: Duration = Duration::from_millis(200);

/// Requests of which one that ended well is logged.
const LOG_ONE_OF: u64 = 64;

/// A request with all that was decided about it.
struct Job<'a> {
    state: &'a Rc<State>,
    config: Rc<Config>,
    route: &'a Route,
    workspace: Option<&'a Workspace>,
    service: &'a str,
    incoming: &'a Incoming,
    object: u64,
    deadline: Instant,
    /// Servers that were tried.
    tried: Vec<Rc<Live>>,
    /// Requests that left for a server.
    sent: u32,
    /// Connections that could not be made.
    unreached: u32,
    /// Whether one of them may have run and its answer is lost.
    may_have_run: bool,
}

/// What follows a try.
enum Step {
    Done(Answered),
    Again,
}

/// Answers a request.
pub async fn answer(state: &Rc<State>, incoming: Incoming) -> Reply {
    let _in_flight = state.begin();
    let mut trail = Trail::new(state, &incoming);
    let outcome = run(state, &incoming, &mut trail).await;
    trail.end(outcome.as_ref().map(|answered| answered.head.status));
    match outcome {
        Ok(answered) => {
            let is_head = &incoming.head.method[..] == b"HEAD";
            Reply::passed_on(&answered.head, answered.body, is_head)
        }
        Err(refusal) => Reply::refused(refusal),
    }
}

async fn run(
    state: &Rc<State>,
    incoming: &Incoming,
    trail: &mut Trail<'_>,
) -> Result<Answered, Refusal> {
    let config = state.config().ok_or(Refusal::Starting)?;
    let routing = Rc::clone(&config);
    let route = route(&routing, &incoming.head)?;
    let workspace = workspace(state, &routing, route, &incoming.head)?;
    trail.route = Some(route.name.clone());
    if let Some(workspace) = workspace {
        admit(state, workspace)?;
    }
    let deadline = incoming.since + patience(state, route, &incoming.head);
    if !state.can_finish(deadline) {
        return Err(Refusal::Leaving);
    }
    if !state.quarantine.is_empty() && state.quarantine.holds(&fingerprint(incoming, workspace)) {
        return Err(Refusal::Quarantined);
    }
    let object = object(state, incoming);
    let service = service(state, route, object);
    trail.service = service.to_owned();
    state.note_request(service);
    let mut job = Job {
        state,
        config,
        route,
        workspace,
        service,
        incoming,
        object,
        deadline,
        tried: Vec::new(),
        sent: 0,
        unreached: 0,
        may_have_run: false,
    };
    let outcome = job.run().await;
    trail.sent = job.sent;
    trail.server = job.tried.last().map(|live| Rc::clone(&live.id));
    outcome
}

fn route<'a>(config: &'a Config, head: &Request) -> Result<&'a Route, Refusal> {
    let host = head.fields.text("host").ok_or(Refusal::Malformed)?;
    let host = host.rsplit_once(':').map_or(host, |(host, _)| host);
    let target = std::str::from_utf8(&head.target).map_err(|_| Refusal::Malformed)?;
    let path = target.split('?').next().unwrap_or_default();
    let route = config.route(host, path).ok_or(Refusal::NoRoute)?;
    Ok(route)
}

/// Returns the workspace whose key the request carries, if the route asks for one.
fn workspace<'a>(
    state: &State,
    config: &'a Config,
    route: &Route,
    head: &Request,
) -> Result<Option<&'a Workspace>, Refusal> {
    if route.public || !config.has_workspaces {
        return Ok(None);
    }
    let mut keys = head.fields.all(state.names.key);
    let (Some(key), None) = (keys.next(), keys.next()) else {
        return Err(Refusal::NoKey);
    };
    let key = std::str::from_utf8(key).map_err(|_| Refusal::NoKey)?;
    let workspace = config.keys.get(key).ok_or(Refusal::NoKey)?;
    Ok(Some(workspace))
}

/// Returns the hash of what the request asks for.
fn fingerprint(incoming: &Incoming, workspace: Option<&Workspace>) -> Fingerprint {
    let workspace = workspace.map_or("", |workspace| &workspace.name);
    let method = String::from_utf8_lossy(&incoming.head.method);
    let target = String::from_utf8_lossy(&incoming.head.target);
    Fingerprint::new(workspace, &method, &target, &incoming.body)
}

fn admit(state: &State, workspace: &Workspace) -> Result<(), Refusal> {
    if workspace.rate_per_s <= 0.0 {
        return Ok(());
    }
    let mut accounts = state.accounts.borrow_mut();
    let Some(account) = accounts.get_mut(&workspace.name) else {
        return Ok(());
    };
    if account.admit(Instant::now()) {
        return Ok(());
    }
    let wait = Duration::from_secs_f64(account.wait_s().clamp(0.05, 5.0));
    Err(Refusal::OverRate(wait + spread()))
}

/// Returns the hash of the object that the request is about: the one that it names, else its path.
fn object(state: &State, incoming: &Incoming) -> u64 {
    let named = incoming.head.fields.get(state.names.object);
    hash(named.unwrap_or(&incoming.head.target))
}

fn service<'a>(state: &State, route: &'a Route, object: u64) -> &'a str {
    if let [only] = &route.targets[..] {
        return &only.service;
    }
    let mut splits = state.splits.borrow_mut();
    let split = splits.entry(route.name.clone()).or_default();
    &route.targets[split.choose(&route.targets, object)].service
}

/// Returns how long the caller is kept waiting at most.
fn patience(state: &State, route: &Route, head: &Request) -> Duration {
    let told = head.fields.text(state.names.deadline);
    let told = told.and_then(|told| told.trim().parse().ok());
    told.map_or(route.timeout, |told| route.timeout.min(Duration::from_millis(told)))
}

fn spread() -> Duration {
    RETRY_SPREAD.mul_f64(rand::rng().random())
}

impl Job<'_> {
    async fn run(&mut self) -> Result<Answered, Refusal> {
        loop {
            let live = self.choose()?;
            if let Step::Done(answered) = self.attempt(&live).await? {
                return Ok(answered);
            }
        }
    }

    /// Chooses the next server.
    fn choose(&self) -> Result<Rc<Live>, Refusal> {
        let now = Instant::now();
        let servers = self.state.servers.borrow();
        let is_eligible = |live: &&Rc<Live>| self.is_eligible(live, now);
        let eligible: Vec<&Rc<Live>> = servers.of(self.service).iter().filter(is_eligible).collect();
        if eligible.is_empty() {
            return Err(self.truth(Refusal::NoServer(RETRY_AFTER + spread())));
        }
        let candidate = |live: &&Rc<Live>| Candidate {
            server: live.hash,
            distance: live.distance,
            load: live.load(now),
            slots: f64::from(live.slots.get()),
        };
        let candidates: Vec<Candidate> = eligible.iter().map(candidate).collect();
        let spills = self.state.spills.borrow();
        let spill = spills.get(self.service).copied().unwrap_or_default();
        let chosen = place::choose(&candidates, self.object, spill);
        let full = || self.truth(Refusal::NoRoom(RETRY_AFTER + spread()));
        let chosen = chosen.ok_or_else(full)?;
        Ok(Rc::clone(eligible[chosen]))
    }

    fn is_eligible(&self, live: &Rc<Live>, now: Instant) -> bool {
        let workspace_homes = self.workspace.map_or(&[][..], |workspace| &workspace.homes);
        live.is_usable(now)
            && !self.tried.iter().any(|tried| Rc::ptr_eq(tried, live))
            && !self.state.is_evacuated(&live.zone)
            && may_run_in(&live.region, &self.route.homes, workspace_homes)
            && self.may_warm(live, now)
    }

    /// Returns whether a cold server may get the request.
    fn may_warm(&self, live: &Live, now: Instant) -> bool {
        let mut cold = live.cold.borrow_mut();
        if !cold.is_cold(now) {
            return true;
        }
        let bounds = &self.state.settings.bounds;
        let service = self.config.services.get(self.service);
        let per_s = service.map_or(1.0, |service| service.warmup_per_s);
        let bound = per_s.mul_add(bounds.cold_factor, bounds.cold_extra);
        cold.allows(bound, now) && self.state.owns(live)
    }

    async fn attempt(&mut self, live: &Rc<Live>) -> Result<Step, Refusal> {
        let now = Instant::now();
        let left = self.deadline.saturating_duration_since(now);
        if left.is_zero() {
            return Err(self.truth_of_timeout());
        }
        if self.sent > 0 && !self.state.take_repeat(self.service) {
            return Err(self.truth(Refusal::NoRoom(RETRY_AFTER + spread())));
        }
        let request = self.outgoing(live, left);
        let ticket = live.ticket(now);
        self.tried.push(Rc::clone(live));
        let outcome = upstream::send(live, &request, &self.state.names, self.deadline).await;
        if let Outcome::Answered(answered) = &outcome {
            self.note_answer(live, answered);
        }
        drop(ticket);
        self.judge(live, outcome)
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
        live.note_answer();
        if !self.state.quarantine.is_empty() {
            let fingerprint = fingerprint(self.incoming, self.workspace);
            self.state.quarantine.note_answer(fingerprint, live.addr);
        }
        let told = answered.head.fields.text(self.state.names.load);
        let mut told = told.unwrap_or_default().split(',').map(|part| part.trim().parse());
        if let (Some(Ok(running)), Some(Ok(waiting))) = (told.next(), told.next()) {
            live.note_load(running, waiting, Instant::now());
        }
    }

    /// Decides what follows `outcome`.
    fn judge(&mut self, live: &Rc<Live>, outcome: Outcome) -> Result<Step, Refusal> {
        let may_repeat = self.route.kind == Kind::Idempotent;
        match outcome {
            Outcome::Answered(answered) => {
                self.sent += 1;
                let is_last = self.sent >= self.route.max_attempts;
                if self.was_not_run(&answered) {
                    if is_last {
                        return Err(self.truth(Refusal::NoRoom(RETRY_AFTER + spread())));
                    }
                    return Ok(Step::Again);
                }
                let failed = answered.head.status >= 500;
                if failed && may_repeat && !is_last && self.is_worth_another() {
                    self.may_have_run = true;
                    return Ok(Step::Again);
                }
                Ok(Step::Done(answered))
            }
            Outcome::Unreached(problem) => {
                self.note_failure(live, &problem);
                self.unreached += 1;
                if self.unreached >= MAX_UNREACHED {
                    return Err(self.truth(Refusal::NoServer(RETRY_AFTER + spread())));
                }
                Ok(Step::Again)
            }
            Outcome::Broken(problem) => {
                self.sent += 1;
                self.may_have_run = true;
                self.note_failure(live, &problem);
                quarantine::look(self.state, live, fingerprint(self.incoming, self.workspace));
                if may_repeat && self.sent < self.route.max_attempts && self.is_worth_another() {
                    return Ok(Step::Again);
                }
                Err(Refusal::Lost)
            }
            Outcome::TimedOut => {
                self.sent += 1;
                self.may_have_run = true;
                Err(Refusal::TimedOut)
            }
        }
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
        live.note_unreached(Instant::now());
        event::emit(&Event::BackendFailed {
            request: attempt_of(self.state, &self.incoming.head),
            service: self.service.to_owned(),
            backend: live.addr,
            error: problem.to_owned(),
        });
    }

    /// Returns `refusal`, or one that does not say that the request has not run if it may have.
    fn truth(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run {
            return Refusal::Lost;
        }
        refusal
    }

    fn truth_of_timeout(&self) -> Refusal {
        if self.may_have_run {
            return Refusal::TimedOut;
        }
        Refusal::NoRoom(RETRY_AFTER)
    }
}

fn attempt_of(state: &State, head: &Request) -> String {
    let attempt = head.fields.text(state.names.attempt);
    attempt.unwrap_or_default().to_owned()
}

/// Collects what the log line of a request says.
struct Trail<'a> {
    state: &'a State,
    request: String,
    since: Instant,
    route: Option<String>,
    service: String,
    server: Option<fleet::ServerId>,
    sent: u32,
}

thread_local! {
    static ENDED: Cell<u64> = const { Cell::new(0) };
}

impl<'a> Trail<'a> {
    fn new(state: &'a State, incoming: &Incoming) -> Self {
        Self {
            state,
            request: attempt_of(state, &incoming.head),
            since: incoming.since,
            route: None,
            service: String::new(),
            server: None,
            sent: 0,
        }
    }

    /// Counts the request and logs it, if it failed or is drawn.
    fn end(self, outcome: Result<u16, &Refusal>) {
        let (status, reason) = match outcome {
            Ok(status) => (status, "passed-on"),
            Err(refusal) => (refusal.status(), refusal.name()),
        };
        self.state.counts.note_request(&self.service, reason);
        let ended = ENDED.get();
        ENDED.set(ended + 1);
        if status < 300 && ended % LOG_ONE_OF != 0 {
            return;
        }
        event::emit(&Event::RequestEnded {
            request: self.request,
            status,
            reason: reason.to_owned(),
            route: self.route.unwrap_or_default(),
            service: self.service,
            server: self.server.map(|id| id.to_string()).unwrap_or_default(),
            sent: self.sent,
            config: self.state.version().0,
            ms: u64::try_from(self.since.elapsed().as_millis()).unwrap_or(u64::MAX),
        });
    }
}
