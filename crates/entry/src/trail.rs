//! The log line of a request.

use std::cell::Cell;
use std::time::Instant;

use event::Event;

use crate::answer::Refusal;
use crate::caller::Incoming;
use crate::head::Request;
use crate::state::State;

/// Requests of which one that ended well is logged.
const LOG_ONE_OF: u64 = 64;

/// Returns the caller's number of the attempt.
#[must_use]
pub fn attempt_of(state: &State, head: &Request) -> String {
    let attempt = head.fields.text(state.names.attempt);
    attempt.unwrap_or_default().to_owned()
}

/// Collects what the log line of a request says.
#[derive(Debug)]
pub struct Trail<'a> {
    state: &'a State,
    request: String,
    since: Instant,
    /// Name of the route.
    pub route: Option<String>,
    /// Name of the service.
    pub service: String,
    /// The server that was tried last.
    pub server: Option<fleet::ServerId>,
    /// Number of servers that the request was sent to.
    pub sent: u32,
}

thread_local! {
    static ENDED: Cell<u64> = const { Cell::new(0) };
}

impl<'a> Trail<'a> {
    /// Begins the line of a request.
    #[must_use]
    pub fn new(state: &'a State, incoming: &Incoming) -> Self {
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
    pub fn end(self, outcome: Result<u16, &Refusal>) {
        let (status, reason) = match outcome {
            Ok(status) => (status, "passed-on"),
            Err(refusal) => (refusal.status(), refusal.name()),
        };
        self.state
            .metrics
            .note_request(&self.service, reason, self.since.elapsed());
        let ended = ENDED.get();
        ENDED.set(ended + 1);
        if status < 300 && !ended.is_multiple_of(LOG_ONE_OF) {
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
