//! Requests that an entry VM passes on through another one, since it reaches no backend server that may
//! run them.
//!
//! The VM at which the caller asked has checked the key and the rate; the other VM only chooses the server.
//! It passes no request on again, so there are no loops.

use std::time::{Duration, Instant};

use bytes::Bytes;
use event::Event;
use fleet::Version;
use steer::agreement::{self, Ruling};

use crate::dispatch::Dispatch;
use crate::head::Fields;
use crate::peers;
use crate::request_log::attempt_of;
use crate::response::{Refusal, forwarded_head};
use crate::state::State;
use crate::upstream::{self, Outcome, Outgoing, Response};

mod choice;
pub mod headers;
mod relayed;
pub mod scout;

pub use choice::{Confirmed, Resting};
pub use relayed::agree;

use choice::Helper;
use headers::Asked;

/// Maximum number of VMs that a request is passed on to.
const MAX_VMS: usize = 3;

/// Reason in logs: no connection to the VM.
const UNREACHABLE: &str = "unreachable";

/// Reason in logs: the VM may know an older configuration only.
const NOT_UP_TO_DATE: &str = "not-up-to-date";

/// What followed from passing a request on to a VM.
enum Step {
    /// The outcome for the caller.
    Done(Result<Response, Refusal>),
    /// The VM has not run the request and cannot help.
    Next,
    /// The VM has not run the request, and this VM has a later configuration now.
    Outdated,
}

/// Result of passing a request on.
#[derive(Debug)]
pub enum Relayed {
    /// The outcome for the caller.
    Ended(Result<Response, Refusal>),
    /// No VM could help; the request has not run.
    NoHelp,
    /// The request has not run, and this VM has a later configuration now.
    Outdated,
}

impl Dispatch<'_> {
    /// Passes the request on through another VM.
    pub async fn relay(&mut self) -> Relayed {
        let sent = self.attempts.counts.sent();
        let left = self.max_sent().saturating_sub(sent);
        if !self.state.can_finish(self.deadline) {
            return Relayed::NoHelp;
        }
        if left == 0 || (sent > 0 && !self.state.take_retry(self.service)) {
            return Relayed::NoHelp;
        }
        for helper in self.helpers().await.into_iter().take(MAX_VMS) {
            if !self.state.is_up_to_date(&helper).await {
                self.log_refused(&helper, Version::default(), NOT_UP_TO_DATE);
                self.let_rest(&helper, NOT_UP_TO_DATE);
                continue;
            }
            match self.relay_through(&helper, left).await {
                Step::Done(outcome) => {
                    self.log_first_relay(&helper);
                    return Relayed::Ended(outcome);
                }
                Step::Outdated => return Relayed::Outdated,
                Step::Next => {}
            }
        }
        Relayed::NoHelp
    }

    async fn relay_through(&mut self, helper: &Helper, left: u32) -> Step {
        let request = self.relayed(left);
        let names = &self.state.names;
        let memory = self.state.body_memory.reservation();
        match upstream::send_once(helper.addr, &request, names, memory, self.deadline).await {
            Outcome::Answered(mut response) => {
                let version = headers::version(&response.head.fields).unwrap_or_default();
                response.head.fields.take(headers::CONFIG);
                match response.head.fields.take(headers::REFUSED) {
                    Some(reason) => {
                        let reason = String::from_utf8_lossy(&reason).into_owned();
                        self.log_refused(helper, version, &reason);
                        if is_local(reason.as_bytes()) {
                            return self.after_refusal(helper, version, &reason).await;
                        }
                    }
                    None => self.state.metrics.note_relay("answered"),
                }
                self.via = Some((helper.addr, version));
                Step::Done(Ok(response))
            }
            Outcome::Unreachable(_) => {
                self.log_refused(helper, Version::default(), UNREACHABLE);
                self.let_rest(helper, UNREACHABLE);
                Step::Next
            }
            Outcome::ConnectionLost(_) | Outcome::NoMemory => {
                self.log_refused(helper, Version::default(), Refusal::AnswerLost.name());
                Step::Done(Err(Refusal::AnswerLost))
            }
            Outcome::TimedOut => {
                self.log_refused(helper, Version::default(), Refusal::TimedOut.name());
                Step::Done(Err(Refusal::TimedOut))
            }
        }
    }

    /// Takes over the configuration of `helper` if it is later, which may be why it could not help.
    async fn after_refusal(&self, helper: &Helper, version: Version, reason: &str) -> Step {
        let later = helper.state.filter(|_| version > self.config.version);
        if let Some(state) = later
            && self.state.catch_up(state, version).await
        {
            return Step::Outdated;
        }
        self.let_rest(helper, reason);
        Step::Next
    }

    /// Lets `helper`, which could not help, rest: for this service if it reaches no server of it, for all
    /// if the reason concerns the whole VM.
    fn let_rest(&self, helper: &Helper, reason: &str) {
        let is_of_service = reason == Refusal::NoServer(Duration::ZERO).name();
        let service = is_of_service.then_some(self.service);
        self.state.let_rest(helper, service);
    }

    /// Counts and logs that `helper` did not serve the request.
    fn log_refused(&self, helper: &Helper, version: Version, reason: &str) {
        self.state.metrics.note_relay(reason_label(reason));
        event::emit(&Event::RelayRefused {
            request: attempt_of(self.state, &self.incoming.head),
            service: self.service.to_owned(),
            vm: helper.addr,
            reason: reason.to_owned(),
            config: self.config.version.0,
            vm_config: version.0,
        });
    }

    fn relayed(&self, left: u32) -> Outgoing {
        let incoming = self.incoming;
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let names = &self.state.names;
        let asked = Asked {
            attempts: Some(left),
            ruling: Some(self.ruling()),
            vm: Some(peers::rank(&self.state.settings.vm)),
        };
        let added = asked.headers();
        let added = added.iter().map(|(name, value)| (*name, value.as_str()));
        // The other VM looks the key up again, and passes it on to nobody.
        let key = self.workspace.and(incoming.head.fields.text(names.key));
        let key = key.map(|key| (names.key, key));
        let added: Vec<(&str, &str)> = added.chain(key).collect();
        let head = forwarded_head(
            &incoming.head,
            names,
            incoming.body.len(),
            remaining.as_millis(),
            &added,
            self.workspace.map(|workspace| workspace.name.as_str()),
        );
        let attempt = incoming.head.fields.get(names.attempt);
        Outgoing {
            head,
            body: incoming.body.clone(),
            attempt: Bytes::copy_from_slice(attempt.unwrap_or_default()),
            is_head: &incoming.head.method[..] == b"HEAD",
        }
    }

    /// Returns what this VM decided for the request.
    fn ruling(&self) -> Ruling {
        Ruling {
            version: self.config.version,
            service: agreement::service(self.service),
            terms: agreement::terms(self.route, self.workspace),
        }
    }

    fn log_first_relay(&self, helper: &Helper) {
        if self.state.relays_logged.replace(true) {
            return;
        }
        event::emit(&Event::RelayBegan {
            request: attempt_of(self.state, &self.incoming.head),
            service: self.service.to_owned(),
            vm: helper.addr,
        });
    }
}

/// Returns the metric's label of the reason that another VM gave.
fn reason_label(reason: &str) -> &'static str {
    let known = Refusal::ALL.into_iter().map(Refusal::name);
    let mut known = known.chain([UNREACHABLE, NOT_UP_TO_DATE]);
    known.find(|known| *known == reason).unwrap_or("unknown")
}

/// Returns whether a refusal concerns only the VM that refused: another one may serve the request. A VM
/// that does not know the route or the workspace has another configuration.
fn is_local(reason: &[u8]) -> bool {
    let local = [
        Refusal::NoRoute,
        Refusal::NoKey,
        Refusal::NoServer(Duration::ZERO),
        Refusal::NoMemory(Duration::ZERO),
        Refusal::Starting,
        Refusal::Leaving,
    ];
    local.iter().any(|local| local.name().as_bytes() == reason)
}

impl Fields {
    /// Removes the header `name` and returns its value.
    fn take(&mut self, name: &str) -> Option<Bytes> {
        let value = self.get(name).map(Bytes::copy_from_slice);
        self.retain(|other| !other.eq_ignore_ascii_case(name.as_bytes()));
        value
    }
}

impl State {
    /// Notes that a server can be reached again from this VM.
    pub fn end_relays(&self) {
        if self.relays_logged.replace(false) {
            event::emit(&Event::RelayEnded {});
        }
    }
}

#[cfg(test)]
mod tests;
