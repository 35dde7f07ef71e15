//! Requests that an entry VM passes on through another one, since it reaches no backend server that may
//! run them.
//!
//! The VM at which the caller asked has checked the key and the rate; the other VM only chooses the server.
//! It passes no request on again, so there are no loops.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use event::Event;
use fleet::config::may_run_in;
use rand::Rng as _;
use steer::agreement::{self, Ruling};
use steer::placement::Distance;

use fleet::Version;

use crate::dispatch::Dispatch;
use crate::head::Fields;
use crate::peers;
use crate::request_log::attempt_of;
use crate::response::{Refusal, forwarded_head};
use crate::state::State;
use crate::upstream::{self, Outcome, Outgoing, Response};

pub mod headers;
mod relayed;

pub use relayed::agree;

use headers::Asked;

/// Maximum number of VMs that a request is passed on to.
const MAX_VMS: usize = 3;

/// Time for which a VM that could not help is not asked again for the same service.
const REST: Duration = Duration::from_secs(1);

/// VMs that could not help with a service, and until when they are not asked.
#[derive(Debug, Default)]
pub struct Resting(RefCell<HashMap<(SocketAddr, String), Instant>>);

impl Resting {
    fn contains(&self, vm: SocketAddr, service: &str, now: Instant) -> bool {
        let resting = self.0.borrow();
        let until = resting.get(&(vm, service.to_owned()));
        until.is_some_and(|until| now < *until)
    }

    fn insert(&self, vm: SocketAddr, service: &str, now: Instant) {
        let mut resting = self.0.borrow_mut();
        resting.retain(|_, until| now < *until);
        resting.insert((vm, service.to_owned()), now + REST);
    }
}

/// What followed from passing a request on to a VM.
enum Step {
    /// The outcome for the caller.
    Done(Result<Response, Refusal>),
    /// The VM has not run the request and cannot help.
    Next,
    /// The VM has not run the request, and this VM has a later configuration now.
    Outdated,
}

impl Dispatch<'_> {
    /// Passes the request on through another VM; returns `None` if no VM can help.
    pub async fn relay(&mut self) -> Option<Result<Response, Refusal>> {
        let sent = self.attempts.counts.sent();
        let left = self.max_sent().saturating_sub(sent);
        if left == 0 || (sent > 0 && !self.state.take_retry(self.service)) {
            return None;
        }
        for vm in self.relays().into_iter().take(MAX_VMS) {
            match self.relay_through(vm, left).await {
                Step::Done(outcome) => {
                    self.log_first_relay(vm);
                    return Some(outcome);
                }
                Step::Outdated => return None,
                Step::Next => {
                    let resting = &self.state.resting_relays;
                    resting.insert(vm, self.service, Instant::now());
                }
            }
        }
        None
    }

    async fn relay_through(&mut self, vm: SocketAddr, left: u32) -> Step {
        let request = self.relayed(left);
        let names = &self.state.names;
        let memory = self.state.body_memory.reservation();
        match upstream::send_once(vm, &request, names, memory, self.deadline).await {
            Outcome::Answered(mut response) => {
                let version = headers::version(&response.head.fields).unwrap_or_default();
                response.head.fields.take(headers::CONFIG);
                match response.head.fields.take(headers::REFUSED) {
                    Some(reason) => {
                        let reason = String::from_utf8_lossy(&reason).into_owned();
                        self.note_no_help(vm, version, &reason);
                        if is_local(reason.as_bytes()) {
                            return self.after_no_help(vm, version).await;
                        }
                    }
                    None => self.state.metrics.note_relay("answered"),
                }
                self.via = Some((vm, version));
                Step::Done(Ok(response))
            }
            Outcome::Unreachable(_) => {
                self.note_no_help(vm, Version::default(), "unreachable");
                Step::Next
            }
            Outcome::ConnectionLost(_) | Outcome::NoMemory => {
                self.note_no_help(vm, Version::default(), Refusal::AnswerLost.name());
                Step::Done(Err(Refusal::AnswerLost))
            }
            Outcome::TimedOut => {
                self.note_no_help(vm, Version::default(), Refusal::TimedOut.name());
                Step::Done(Err(Refusal::TimedOut))
            }
        }
    }

    /// Takes over the later configuration of `vm`, if that is why it could not help.
    async fn after_no_help(&mut self, vm: SocketAddr, version: Version) -> Step {
        if version <= self.config.version {
            return Step::Next;
        }
        let state = self.state.membership.borrow().state_addr_of(vm);
        let Some(state) = state else {
            return Step::Next;
        };
        if self.state.catch_up(state, version).await {
            Step::Outdated
        } else {
            Step::Next
        }
    }

    /// Counts and logs that `vm` did not answer the request.
    fn note_no_help(&self, vm: SocketAddr, version: Version, reason: &str) {
        self.state.metrics.note_relay(reason_label(reason));
        event::emit(&Event::RelayRefused {
            request: attempt_of(self.state, &self.incoming.head),
            service: self.service.to_owned(),
            vm,
            reason: reason.to_owned(),
            config: self.config.version.0,
            vm_config: version.0,
        });
    }

    /// Returns the addresses of the VMs that may pass the request on, nearest first. The body of a
    /// request with home regions goes to no VM elsewhere.
    fn relays(&self) -> Vec<SocketAddr> {
        let now = Instant::now();
        let homes = self.workspace.map_or(&[][..], |own| &own.home_regions);
        let membership = self.state.membership.borrow();
        let ready = membership.ready(&self.state.fleet_report.borrow());
        let mut vms: Vec<(Distance, u32, SocketAddr)> = ready
            .into_iter()
            .filter(|(_, vm)| {
                let region = self.state.region_of(&vm.zone);
                may_run_in(region, &self.route.home_regions, homes)
            })
            .map(|(_, vm)| {
                let distance = self.state.distance_to(&vm.zone);
                (distance, rand::rng().random(), vm.peer)
            })
            .collect();
        vms.sort_unstable();
        let resting = &self.state.resting_relays;
        let vms = vms.into_iter().map(|(_, _, vm)| vm);
        vms.filter(|vm| !resting.contains(*vm, self.service, now))
            .collect()
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

    fn log_first_relay(&self, vm: SocketAddr) {
        if self.state.relays_logged.replace(true) {
            return;
        }
        event::emit(&Event::RelayBegan {
            request: attempt_of(self.state, &self.incoming.head),
            service: self.service.to_owned(),
            vm,
        });
    }
}

/// Returns the metric's label of the reason that another VM gave.
fn reason_label(reason: &str) -> &'static str {
    let known = Refusal::ALL.into_iter().map(Refusal::name);
    let mut known = known.chain(["unreachable"]);
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
