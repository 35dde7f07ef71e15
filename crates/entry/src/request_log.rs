//! The log entry of a request.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Instant;

use event::Event;
use fleet::Version;
use steer::warmup::Warmth;

use crate::caller::Incoming;
use crate::head::Request;
use crate::response::Refusal;
use crate::state::State;

/// One in this number of successful requests is logged.
const LOG_ONE_OF: u64 = 64;

/// Status in the log of a request whose caller disconnected before the response.
const CALLER_LEFT: u16 = 499;

/// Returns the caller's identifier of the attempt.
#[must_use]
pub fn attempt_of(state: &State, head: &Request) -> String {
    let attempt = head.fields.text(state.names.attempt);
    attempt.unwrap_or_default().to_owned()
}

/// Collects the fields of a request's log entry. If it is dropped before [`RequestLog::end`], the
/// caller has disconnected.
#[derive(Debug)]
pub struct RequestLog<'a> {
    state: &'a State,
    has_ended: bool,
    request: String,
    since: Instant,
    /// Name of the workspace.
    pub workspace: String,
    /// Name of the route.
    pub route: Option<String>,
    /// Name of the service.
    pub service: String,
    /// Backend server of the last attempt.
    pub server: Option<fleet::ServerId>,
    /// Warmth of that server, and the age of its heartbeat in milliseconds.
    pub warmth: Option<(Warmth, u64)>,
    /// Number of servers that the request was sent to.
    pub sent: u32,
    /// VM through which it was passed on, and the version of the configuration that this VM named.
    pub via: Option<(SocketAddr, Version)>,
    /// Version of the configuration of the VM that passed it on to this one.
    pub asked_config: Version,
}

thread_local! {
    static ENDED: Cell<u64> = const { Cell::new(0) };
}

impl<'a> RequestLog<'a> {
    /// Starts the log entry of a request.
    #[must_use]
    pub fn new(state: &'a State, incoming: &Incoming) -> Self {
        let request = attempt_of(state, &incoming.head);
        Self::with_request(state, request, incoming.since)
    }

    fn with_request(state: &'a State, request: String, since: Instant) -> Self {
        Self {
            state,
            has_ended: false,
            request,
            since,
            workspace: String::new(),
            route: None,
            service: String::new(),
            server: None,
            warmth: None,
            sent: 0,
            via: None,
            asked_config: Version::default(),
        }
    }

    /// Counts the request, and logs it if it failed or is sampled.
    pub fn end(mut self, outcome: Result<u16, &Refusal>) {
        let (status, reason) = match outcome {
            Ok(status) => (status, "passed-on"),
            Err(refusal) => (refusal.status(), refusal.name()),
        };
        self.write(status, reason);
    }

    /// Returns whether two VMs of different versions of the configuration handled the request.
    fn has_crossed_versions(&self) -> bool {
        let via = self.via.map(|(_, version)| version);
        let asked = Some(self.asked_config);
        let mut others = via.into_iter().chain(asked);
        others.any(|other| other != Version::default() && other != self.state.version())
    }

    fn write(&mut self, status: u16, reason: &str) {
        self.has_ended = true;
        self.state
            .metrics
            .note_request(&self.service, reason, self.since.elapsed());
        let ended = ENDED.get();
        ENDED.set(ended + 1);
        let is_sampled = ended.is_multiple_of(LOG_ONE_OF) || self.has_crossed_versions();
        if status < 300 && !is_sampled {
            return;
        }
        event::emit(&Event::RequestEnded {
            request: std::mem::take(&mut self.request),
            status,
            reason: reason.to_owned(),
            workspace: std::mem::take(&mut self.workspace),
            route: self.route.take().unwrap_or_default(),
            service: std::mem::take(&mut self.service),
            server: self
                .server
                .take()
                .map(|id| id.to_string())
                .unwrap_or_default(),
            sent: self.sent,
            warmth: self
                .warmth
                .map_or("", |(warmth, _)| warmth.name())
                .to_owned(),
            heartbeat_ms: self.warmth.map_or(0, |(_, age)| age),
            config: self.state.version().0,
            via: self.via.map_or(String::new(), |(vm, _)| vm.to_string()),
            via_config: self.via.map_or(0, |(_, version)| version.0),
            asked_config: self.asked_config.0,
            ms: u64::try_from(self.since.elapsed().as_millis()).unwrap_or(u64::MAX),
        });
    }
}

impl Drop for RequestLog<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.write(CALLER_LEFT, "caller-left");
        }
    }
}

/// Logs a request that was refused before it was complete. `head` is present if the head was
/// complete.
pub fn log_refused(state: &State, head: Option<&Request>, since: Instant, refusal: &Refusal) {
    let request = head.map(|head| attempt_of(state, head));
    let log = RequestLog::with_request(state, request.unwrap_or_default(), since);
    log.end(Err(refusal));
}
