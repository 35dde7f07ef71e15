//! Forwarding of a request to backend servers, with retries.

use std::time::Duration;

use event::Event;
use http::request::Parts;
use http::{Request, Response};
use killer::{Ending, Fingerprint};
use pick::Outcome;
use retry::{Attempt, Decision, Failure};
use tokio::time::{Instant, sleep, timeout_at};

use crate::admit::{Admitted, recheck_key};
use crate::backend::Assignment;
use crate::headers;
use crate::metrics::Metric;
use crate::proxy::{InFlight, Proxy};
use crate::refusal::{Refusal, Refused};
use crate::reply::Reply;
use crate::select;
use crate::upload::Upload;
use crate::upstream::{self, Body, Connection};

/// A request being forwarded to backend servers.
#[derive(Debug)]
pub struct Forward<'a> {
    proxy: &'a Proxy,
    admitted: &'a Admitted,
    parts: Parts,
    upload: Upload,
    fingerprint: Fingerprint,
    attempted: select::Attempted,
    attempts: u32,
    broken_attempts: u32,
}

/// Why an attempt gave no response.
enum Failed {
    /// The request may be retried.
    Retriable(Failure, Refusal),
    /// The request must not be retried.
    Final(Refused),
}

impl<'a> Forward<'a> {
    /// Creates a request whose `parts` are sent to backend servers unchanged.
    #[must_use]
    pub fn new(
        proxy: &'a Proxy,
        admitted: &'a Admitted,
        parts: Parts,
        upload: Upload,
        fingerprint: Fingerprint,
    ) -> Self {
        Self {
            proxy,
            admitted,
            parts,
            upload,
            fingerprint,
            attempted: select::Attempted::default(),
            attempts: 0,
            broken_attempts: 0,
        }
    }

    /// Sends the request until a backend server responds or no retry is allowed.
    ///
    /// # Errors
    ///
    /// Returns why there is no response and whether the request may have run.
    pub async fn run(mut self, guard: InFlight) -> Result<Response<Body>, Refused> {
        loop {
            match self.attempt().await {
                Ok(reply) => return self.accept(reply, guard),
                Err(Failed::Final(refused)) => return Err(self.with_outcome(refused)),
                Err(Failed::Retriable(failure, refusal)) => {
                    let after_ms = self.retry_delay_ms(failure, refusal)?;
                    sleep(Duration::from_millis(after_ms)).await;
                }
            }
        }
    }

    async fn attempt(&mut self) -> Result<Reply, Failed> {
        recheck_key(self.proxy, self.admitted)?;
        if self.proxy.quarantine.is_quarantined(&self.fingerprint) {
            return Err(Refusal::Quarantined.into());
        }
        let service = &self.admitted.route.service;
        let assignment = select::choose(service, &self.attempted, self.admitted.is_idempotent())
            .ok_or(self.attempted.refusal())?;
        self.attempts += 1;
        self.attempted.add(assignment.backend().addr());
        let deadline = Instant::from_std(self.admitted.deadline);
        while let Some(connection) = upstream::reuse(assignment.backend(), &self.proxy.denylist) {
            if let Some((response, connection)) =
                self.send(connection, &assignment, deadline).await?
            {
                return reject_shed(Reply::new(response, connection, assignment));
            }
        }
        let addr = assignment.backend().addr();
        let connecting = timeout_at(deadline, upstream::connect(addr, &self.proxy.denylist));
        let connection = connecting.await.map_err(|_| Refusal::DeadlinePassed)?;
        let unreached = || {
            assignment.ticket().note(Outcome::Unreachable);
            Failed::Retriable(Failure::Unreached, Refusal::Unavailable)
        };
        let connection = connection.ok_or_else(unreached)?;
        let sent = self.send(connection, &assignment, deadline).await?;
        let (response, connection) = sent.ok_or_else(unreached)?;
        reject_shed(Reply::new(response, connection, assignment))
    }

    /// Sends the request on `connection`. Returns `None` if no byte of it was sent.
    async fn send(
        &mut self,
        mut connection: Connection,
        assignment: &Assignment,
        deadline: Instant,
    ) -> Result<Option<(Response<hyper::body::Incoming>, Connection)>, Failed> {
        let remaining_ms = self.admitted.remaining_ms();
        if remaining_ms == 0 {
            return Err(Refusal::DeadlinePassed.into());
        }
        headers::set_deadline(&mut self.parts.headers, remaining_ms);
        let caller_error = self.upload.caller_error();
        let request = Request::from_parts(self.parts.clone(), self.upload.body());
        match timeout_at(deadline, connection.send(request)).await {
            Ok(Ok(response)) => {
                assignment.ticket().note_response();
                self.note_ending(assignment, Ending::Answered);
                Ok(Some((response, connection)))
            }
            Ok(Err(upstream::Failure::NotSent(request))) => {
                self.upload.put_back((*request).into_body(), caller_error);
                Ok(None)
            }
            Ok(Err(upstream::Failure::Broken(error))) => match caller_error.refusal() {
                Some(refusal) => Err(Failed::Final(Refused::unknown(refusal))),
                None => Err(self.note_broken(assignment, &error)),
            },
            Err(_) => {
                assignment.ticket().note(Outcome::Failed);
                Err(Failed::Final(Refused::unknown(Refusal::DeadlinePassed)))
            }
        }
    }

    fn note_ending(&self, assignment: &Assignment, ending: Ending) {
        let server = assignment.backend().addr();
        let now = self.proxy.timer.now();
        self.proxy
            .quarantine
            .note(self.fingerprint, server, ending, now);
    }

    fn note_broken(&mut self, assignment: &Assignment, error: &hyper::Error) -> Failed {
        assignment.ticket().note(Outcome::Failed);
        self.note_ending(assignment, Ending::Broken);
        self.broken_attempts += 1;
        event::emit(&Event::BackendFailed {
            request: self.admitted.id.clone(),
            service: self.admitted.route.service.name.clone(),
            backend: assignment.backend().addr(),
            error: error.to_string(),
        });
        Failed::Retriable(Failure::Broken, Refusal::BackendFailed)
    }

    /// Returns the delay before the next attempt in milliseconds, or the refusal if no retry is
    /// allowed.
    fn retry_delay_ms(&self, failure: Failure, refusal: Refusal) -> Result<u64, Refused> {
        let attempt = Attempt {
            failure,
            is_idempotent: self.admitted.is_idempotent(),
            is_buffered: self.upload.can_be_sent(),
            attempts: self.attempts,
            broken_attempts: self.broken_attempts,
            remaining_ms: self.admitted.remaining_ms(),
        };
        match self
            .proxy
            .retries
            .decide(self.admitted, &attempt, self.proxy.timer.now())
        {
            Decision::Retry { after_ms } => {
                let service = self.admitted.route.service.name.as_str();
                let metrics = &self.proxy.metrics;
                metrics.count(Metric::Retries, &[service, failure.name()]);
                Ok(after_ms)
            }
            Decision::Refuse => Err(self.with_outcome(refusal.into())),
        }
    }

    /// Returns `refused` with the outcome unknown if the request may have run in an earlier
    /// attempt.
    fn with_outcome(&self, refused: Refused) -> Refused {
        if self.broken_attempts > 0 {
            Refused::unknown(refused.refusal)
        } else {
            refused
        }
    }

    fn accept(self, reply: Reply, guard: InFlight) -> Result<Response<Body>, Refused> {
        self.proxy
            .retries
            .note_success(self.admitted, self.proxy.timer.now());
        if !reply.is_delimited() {
            event::emit(&Event::AnswerRefused {
                request: self.admitted.id.clone(),
                service: self.admitted.route.service.name.clone(),
                backend: reply.addr(),
            });
            return Err(Refused::unknown(Refusal::BadAnswer));
        }
        let request_complete = self.upload.is_buffered();
        Ok(reply.into_response(&self.admitted.id, request_complete, guard))
    }
}

fn reject_shed(reply: Reply) -> Result<Reply, Failed> {
    if reply.is_shed() {
        reply.note_shed();
        reply.discard();
        return Err(Failed::Retriable(Failure::Shed, Refusal::NoCapacity));
    }
    Ok(reply)
}

impl From<Refusal> for Failed {
    fn from(refusal: Refusal) -> Self {
        Self::Final(refusal.into())
    }
}
