//! Carries out the decisions of [`steer::admission`]: gathers what they need, and turns them into
//! refusals.

use std::rc::Rc;
use std::time::{Duration, Instant};

use steer::admission::{Refused, Request, Workspace, retry_after};
use steer::placement::{Candidate, hash};
use steer::retry::Reason;

use crate::dispatch::{Dispatch, refusal, retry_jitter};
use crate::response::Refusal;
use crate::servers::Backend;
use crate::upstream::Response;

/// A backend server chosen for a request.
#[derive(Debug)]
pub struct Choice {
    /// The server.
    pub backend: Rc<Backend>,
    /// How long the request is expected to take there, compared with an idle server.
    pub time_factor: f64,
}

impl Dispatch<'_> {
    /// Chooses the next backend server.
    pub(crate) fn choose(&self) -> Result<Choice, Refusal> {
        let now = Instant::now();
        let servers = self.state.servers.borrow();
        let is_eligible = |backend: &&Rc<Backend>| self.is_eligible(backend, now);
        let all = servers.of(self.service).iter().filter(is_eligible);
        let eligible: Vec<&Rc<Backend>> = all.collect();
        if eligible.is_empty() {
            return Err(self.exhausted(servers.of(self.service), now));
        }
        let eligible = self.with_room(eligible);
        let candidates = eligible.iter().map(|backend| self.candidate(backend, now));
        let mut candidates: Vec<Candidate> = candidates.collect();
        let request = Request {
            route: &self.route.name,
            workspace: self.workspace.map(|workspace| Workspace {
                name: hash(workspace.name.as_bytes()),
                weight: workspace.rate_per_s,
            }),
            priority: self.priority(),
            remaining: self.deadline.saturating_duration_since(now),
            strategy: self.strategy(),
            is_first: self.attempts.is_first(),
            may_have_run: self.attempts.counts.may_have_run(),
        };
        let mut admission = self.state.admission.borrow_mut();
        let service = admission.service(self.service);
        match service.decide(&request, &mut candidates, now) {
            Ok(admitted) => Ok(Choice {
                backend: Rc::clone(eligible[admitted.index]),
                time_factor: admitted.time_factor,
            }),
            Err(refused) => Err(self.refused(refused)),
        }
    }

    fn candidate(&self, backend: &Backend, now: Instant) -> Candidate {
        Candidate {
            server: backend.hash,
            distance: backend.distance,
            load: backend.load(|| self.users(backend), now),
            slots: f64::from(backend.slots.get()),
            weight: f64::from(backend.registered_slots.get()),
            is_cold: backend.warmup.borrow().is_cold(now),
            slowdown: backend.slowdown(now),
            // The decision sets it.
            max_queue: 0.0,
        }
    }

    /// Returns the priority of the request: its workspace's own, or else the route's.
    fn priority(&self) -> u32 {
        let own = self.workspace.and_then(|workspace| workspace.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Returns the refusal for a decision. It never says of a request that may have run that it did not.
    fn refused(&self, refused: Refused) -> Refusal {
        if self.attempts.counts.may_have_run() {
            return refusal(self.attempts.counts.truthful(Reason::NoCapacity));
        }
        match refused {
            Refused::NoRoom(wait) => Refusal::NoCapacity(wait + retry_jitter()),
            Refused::OverShare(wait) => Refusal::OverShare(wait + retry_jitter()),
            Refused::TooLate(wait) => Refusal::TooLate(wait + retry_jitter()),
        }
    }

    /// Returns the refusal of a request that every server it was sent to rejected without running it, and
    /// records that the service is short.
    pub(crate) fn rejected_everywhere(&self, now: Instant) -> Refusal {
        let mut admission = self.state.admission.borrow_mut();
        let service = admission.service(self.service);
        service.note_no_room(self.priority(), now);
        let usual = service.usual_time(&self.route.name, now);
        let max_queue = service.allowance(self.priority(), now);
        let waits = self.attempts.servers.iter().map(|backend| {
            let server = self.candidate(backend, now);
            retry_after::room_at(&server, max_queue, usual)
        });
        let wait = waits.min().unwrap_or(retry_after::MIN);
        Refusal::NoCapacity(wait + retry_jitter())
    }

    /// Records how long a successful response took. Errors and rejections say nothing of how long work
    /// takes.
    pub(crate) fn note_time(&self, response: &Response, elapsed: Duration, time_factor: f64) {
        let is_success = (200..400).contains(&response.head.status) && !self.was_not_run(response);
        if is_success {
            let mut admission = self.state.admission.borrow_mut();
            let service = admission.service(self.service);
            service.note_time(&self.route.name, elapsed, time_factor, Instant::now());
        }
    }
}
