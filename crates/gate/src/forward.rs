//! Sending a request to backend servers until one answers.

use std::time::Duration;

use event::Event;
use http::request::Parts;
use http::{Request, Response};
use killer::Fingerprint;
use pick::Outcome;
use retry::{Attempt, Decision, Failure};
use tokio::time::{Instant, sleep, timeout_at};

use crate::admit::{Admitted, check_again};
use crate::backend::Place;
use crate::headers;
use crate::metrics::Metric;
use crate::place;
use crate::proxy::{InFlight, Proxy};
use crate::refusal::{Refusal, Refused};
use crate::reply::Reply;
use crate::upload::Upload;
use crate::upstream::{self, Body, Connection};

/// A request on its way to backend servers.
#[derive(Debug)]
pub struct Forward<'a> {
    proxy: &'a Proxy,
    admitted: &'a Admitted,
    parts: Parts,
    upload: Upload,
    fingerprint: Fingerprint,
    tried: place::Tried,
    attempts: u32,
    broken: u32,
}

/// Why an attempt gave no answer.
enum Failed {
    /// Another attempt may follow.
    Retriable(Failure, Refusal),
    /// No attempt may follow.
    Final(Refused),
}

impl<'a> Forward<'a> {
    /// Creates a request with `parts` that go to backend servers as they stand.
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
            tried: place::Tried::default(),
            attempts: 0,
            broken: 0,
        }
    }

    /// Sends the request until a backend server answers or no attempt is left.
    ///
    /// # Errors
    ///
    /// Says why there is no answer and whether the request may have run.
    pub async fn run(mut self, guard: InFlight) -> Result<Response<Body>, Refused> {
        loop {
            match self.attempt().await {
                Ok(reply) => return self.accept(reply, guard),
                Err(Failed::Final(refused)) => return Err(self.truth(refused)),
                Err(Failed::Retriable(failure, refusal)) => {
                    let after_ms = self.next(failure, refusal)?;
                    sleep(Duration::from_millis(after_ms)).await;
                }
            }
        }
    }

    async fn attempt(&mut self) -> Result<Reply, Failed> {
        check_again(self.proxy, self.admitted)?;
        if self.proxy.quarantine.holds(&self.fingerprint) {
            return Err(Refusal::Quarantined.into());
        }
        let service = &self.admitted.route.service;
        let place = place::choose(service, &self.tried, self.admitted.is_repeatable())
            .ok_or(self.tried.refusal())?;
        self.attempts += 1;
        self.tried.add(place.backend().addr());
        let deadline = Instant::from_std(self.admitted.deadline);
        while let Some(connection) = upstream::reuse(place.backend(), &self.proxy.reach) {
            if let Some((answer, connection)) = self.send(connection, &place, deadline).await? {
                return judge(Reply::new(answer, connection, place));
            }
        }
        let addr = place.backend().addr();
        let connecting = timeout_at(deadline, upstream::connect(addr, &self.proxy.reach));
        let connection = connecting.await.map_err(|_| Refusal::DeadlinePassed)?;
        let unreached = || {
            place.ticket().note(Outcome::Unreachable);
            Failed::Retriable(Failure::Unreached, Refusal::Unavailable)
        };
        let connection = connection.ok_or_else(unreached)?;
        let sent = self.send(connection, &place, deadline).await?;
        let (answer, connection) = sent.ok_or_else(unreached)?;
        judge(Reply::new(answer, connection, place))
    }

    /// Sends the request on `connection`; returns nothing if no byte of it left.
    async fn send(
        &mut self,
        mut connection: Connection,
        place: &Place,
        deadline: Instant,
    ) -> Result<Option<(Response<hyper::body::Incoming>, Connection)>, Failed> {
        let left_ms = self.admitted.left_ms();
        if left_ms == 0 {
            return Err(Refusal::DeadlinePassed.into());
        }
        headers::set_deadline(&mut self.parts.headers, left_ms);
        let fault = self.upload.fault();
        let request = Request::from_parts(self.parts.clone(), self.upload.body());
        match timeout_at(deadline, connection.send(request)).await {
            Ok(Ok(answer)) => {
                place.ticket().note_answer();
                self.note(place, killer::Outcome::Responded);
                Ok(Some((answer, connection)))
            }
            Ok(Err(upstream::Failure::NotSent(request))) => {
                self.upload.put_back((*request).into_body(), fault);
                Ok(None)
            }
            Ok(Err(upstream::Failure::Broken(error))) => match fault.refusal() {
                Some(refusal) => Err(Failed::Final(Refused::unknown(refusal))),
                None => Err(self.broken(place, &error)),
            },
            Err(_) => {
                place.ticket().note(Outcome::Failed);
                Err(Failed::Final(Refused::unknown(Refusal::DeadlinePassed)))
            }
        }
    }

    fn note(&self, place: &Place, outcome: killer::Outcome) {
        let server = place.backend().addr();
        let now = self.proxy.timer.now();
        self.proxy
            .quarantine
            .note(self.fingerprint, server, outcome, now);
    }

    fn broken(&mut self, place: &Place, error: &hyper::Error) -> Failed {
        place.ticket().note(Outcome::Failed);
        self.note(place, killer::Outcome::Disconnected);
        self.broken += 1;
        event::emit(&Event::BackendFailed {
            request: self.admitted.id.clone(),
            service: self.admitted.route.service.name.clone(),
            backend: place.backend().addr(),
            error: error.to_string(),
        });
        Failed::Retriable(Failure::Broken, Refusal::BackendFailed)
    }

    /// Returns the pause before the next attempt, in milliseconds.
    fn next(&self, failure: Failure, refusal: Refusal) -> Result<u64, Refused> {
        let attempt = Attempt {
            failure,
            repeatable: self.admitted.is_repeatable(),
            replayable: self.upload.is_at_hand(),
            attempts: self.attempts,
            broken: self.broken,
            left_ms: self.admitted.left_ms(),
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
            Decision::Refuse => Err(self.truth(refusal.into())),
        }
    }

    /// Returns `refused` with the outcome that the attempts so far leave open.
    fn truth(&self, refused: Refused) -> Refused {
        if self.broken > 0 {
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
        let whole = self.upload.is_whole();
        Ok(reply.into_answer(&self.admitted.id, whole, guard))
    }
}

fn judge(reply: Reply) -> Result<Reply, Failed> {
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
