//! Operations that a process owns and their outcomes.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use chart::operation::{Event, State};
use chart::{Chart, ChartError, operation};
use timer::Moment;
use wire::handover::{self, Operation};

use crate::claims::CLAIM_TTL_S;
use crate::operation::{Fingerprint, Id};

/// Time for which an operation is retained, in milliseconds; longer than its claim lasts on any VM's
/// clock.
const RETENTION_MS: u64 = (CLAIM_TTL_S + 1_800) * 1_000;

/// Largest response body that is stored for retries, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 16 << 10;

/// Maximum total size of the bodies that are stored for retries, in bytes. Above it, responses are
/// stored without their bodies.
const MAX_STORED_TOTAL_BYTES: usize = 32 << 20;

/// A backend server's response, stored for retries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredResponse {
    /// Status code.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<Bytes>,
    /// The body, if it was at most [`MAX_STORED_BODY_BYTES`] long.
    pub body: Option<Bytes>,
}

impl From<&StoredResponse> for handover::Response {
    fn from(response: &StoredResponse) -> Self {
        Self {
            status: response.status,
            content_type: response.content_type.as_ref().map(|bytes| bytes.to_vec()),
            body: response.body.as_ref().map(|bytes| bytes.to_vec()),
        }
    }
}

impl From<&handover::Response> for StoredResponse {
    fn from(response: &handover::Response) -> Self {
        let bytes = |bytes: &Vec<u8>| Bytes::copy_from_slice(bytes);
        Self {
            status: response.status,
            content_type: response.content_type.as_ref().map(bytes),
            body: response.body.as_ref().map(bytes),
        }
    }
}

/// Decision on a request for an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Run the operation and report its end with the ticket.
    Run(Ticket),
    /// The operation has run with this response.
    Replay(StoredResponse),
    /// The operation is running.
    Running,
    /// The operation may have run and will not run again.
    Unknown,
    /// The key was used for another request.
    Mismatch,
    /// The table has no capacity for the operation, which has not run.
    Full,
}

/// The right to run an operation once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket {
    id: Id,
    /// Number of the attempt, so that a late report of an earlier attempt has no effect.
    attempt: u64,
}

/// End of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// A backend server responded.
    Answered(StoredResponse),
    /// The operation certainly did not run.
    NotRun,
    /// The operation may have run.
    Unknown,
}

#[derive(Debug)]
struct Entry {
    state: State,
    fingerprint: Fingerprint,
    attempt: u64,
    /// Present exactly in the state [`State::Done`].
    response: Option<StoredResponse>,
    /// End of its retention; extended by each attempt.
    expires_at: Moment,
}

/// Operations that this process owns.
#[derive(Debug)]
pub struct Table {
    chart: Chart<State, Event>,
    entries: HashMap<Id, Entry>,
    /// Times at which to check whether an operation's retention has ended, in order.
    expiry_queue: VecDeque<Expiry>,
    max_entries: usize,
    attempts: u64,
    /// Total size of the stored bodies, at most [`MAX_STORED_TOTAL_BYTES`].
    stored_bytes: usize,
}

#[derive(Debug)]
struct Expiry {
    at: Moment,
    id: Id,
}

impl Table {
    /// Creates an empty table for at most `max_entries` operations.
    ///
    /// # Errors
    ///
    /// Fails if the state chart of operations does not match the code.
    pub fn new(max_entries: usize) -> Result<Self, ChartError> {
        Ok(Self {
            chart: operation::load()?,
            entries: HashMap::new(),
            expiry_queue: VecDeque::new(),
            max_entries,
            attempts: 0,
            stored_bytes: 0,
        })
    }

    /// Decides on a request for an operation that this process owns and, if
    /// [`Table::needs_claim`] requires it, has just claimed. An operation in the table never runs
    /// twice, and an operation is never removed from the table before its claim expires.
    pub fn begin(&mut self, id: Id, fingerprint: Fingerprint, now: Moment) -> Decision {
        self.expire(now);
        let Some(entry) = self.entries.get_mut(&id) else {
            return self.begin_new(id, fingerprint, now);
        };
        if entry.fingerprint != fingerprint {
            return Decision::Mismatch;
        }
        match entry.state {
            State::Done => entry
                .response
                .clone()
                .map_or(Decision::Unknown, Decision::Replay),
            State::Claimed | State::Running => Decision::Running,
            State::NotRun | State::New => self.claim(id, now),
            State::Unknown | State::Expired => Decision::Unknown,
        }
    }

    /// Records that bytes of the request may be sent from now on.
    pub fn note_sent(&mut self, ticket: Ticket) {
        self.transition(ticket, Event::Sent);
    }

    /// Records the end of an attempt.
    pub fn note_ended(&mut self, ticket: Ticket, ending: Ending) {
        let running = self.state(ticket) == Some(State::Running);
        match ending {
            Ending::Answered(response) => {
                if self.transition(ticket, Event::Answered) {
                    self.store_response(ticket.id, response);
                }
            }
            Ending::NotRun if running => {
                self.transition(ticket, Event::Shed);
            }
            Ending::NotRun => {
                self.transition(ticket, Event::Refused);
            }
            Ending::Unknown => {
                self.transition(ticket, Event::Lost);
            }
        }
    }

    /// Returns whether a request for `id` needs a claim before [`Table::begin`]. A claim is made or
    /// renewed before each attempt, since an older claim would expire before the operation's
    /// retention ends, which each attempt extends.
    #[must_use]
    pub fn needs_claim(&self, id: &Id) -> bool {
        let state = self.entries.get(id).map(|entry| entry.state);
        matches!(state, None | Some(State::New | State::NotRun))
    }

    /// Returns the number of operations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no operations.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the operations that will not run again, with their known responses.
    #[must_use]
    pub fn export(&self) -> Vec<Operation> {
        let exported = self.entries.iter().filter(|(_, entry)| {
            matches!(
                entry.state,
                State::Done | State::Unknown | State::Running | State::Claimed
            )
        });
        exported
            .map(|(id, entry)| Operation {
                id: id.0,
                fingerprint: entry.fingerprint.0,
                response: entry.response.as_ref().map(handover::Response::from),
            })
            .collect()
    }

    /// Adds operations that another owner exported. They never run here.
    pub fn import(&mut self, operations: &[Operation], now: Moment) {
        for operation in operations {
            let id = Id(operation.id);
            if self.entries.contains_key(&id) || self.entries.len() >= self.max_entries {
                continue;
            }
            let state = if operation.response.is_some() {
                State::Done
            } else {
                State::Unknown
            };
            let expires_at = now.plus_ms(RETENTION_MS);
            let entry = Entry {
                state,
                fingerprint: Fingerprint(operation.fingerprint),
                attempt: 0,
                response: None,
                expires_at,
            };
            self.entries.insert(id, entry);
            self.expiry_queue.push_back(Expiry { at: expires_at, id });
            if let Some(response) = &operation.response {
                self.store_response(id, StoredResponse::from(response));
            }
        }
    }

    fn store_response(&mut self, id: Id, mut response: StoredResponse) {
        let bytes = response.body.as_ref().map_or(0, Bytes::len);
        if self.stored_bytes + bytes > MAX_STORED_TOTAL_BYTES {
            response.body = None;
        } else {
            self.stored_bytes += bytes;
        }
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.response = Some(response);
        }
    }

    fn begin_new(&mut self, id: Id, fingerprint: Fingerprint, now: Moment) -> Decision {
        if self.entries.len() >= self.max_entries {
            return Decision::Full;
        }
        let entry = Entry {
            state: self.chart.initial(),
            fingerprint,
            attempt: 0,
            response: None,
            expires_at: now,
        };
        self.entries.insert(id, entry);
        let at = now.plus_ms(RETENTION_MS);
        self.expiry_queue.push_back(Expiry { at, id });
        self.claim(id, now)
    }

    fn claim(&mut self, id: Id, now: Moment) -> Decision {
        self.attempts += 1;
        let ticket = Ticket {
            id,
            attempt: self.attempts,
        };
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.attempt = self.attempts;
            entry.expires_at = now.plus_ms(RETENTION_MS);
        }
        if self.transition(ticket, Event::Claimed) {
            Decision::Run(ticket)
        } else {
            Decision::Unknown
        }
    }

    fn state(&self, ticket: Ticket) -> Option<State> {
        let entry = self.entries.get(&ticket.id)?;
        (entry.attempt == ticket.attempt).then_some(entry.state)
    }

    /// Makes the transition for `event` and returns whether the chart allows it.
    fn transition(&mut self, ticket: Ticket, event: Event) -> bool {
        let next = self.state(ticket);
        let next = next.and_then(|state| self.chart.next(state, event));
        let Some(next) = next else {
            return false;
        };
        if let Some(entry) = self.entries.get_mut(&ticket.id) {
            entry.state = next;
        }
        true
    }

    fn expire(&mut self, now: Moment) {
        while let Some(expiry) = self.expiry_queue.pop_front_if(|expiry| expiry.at <= now) {
            match self.next_check(&expiry.id, now) {
                Some(at) => self.expiry_queue.push_back(Expiry { at, ..expiry }),
                None => self.remove(&expiry.id),
            }
        }
    }

    fn remove(&mut self, id: &Id) {
        let entry = self.entries.remove(id);
        let body = entry.and_then(|entry| entry.response?.body);
        self.stored_bytes -= body.map_or(0, |body| body.len());
    }

    /// Returns the time of the next retention check of an operation, or `None` if its retention has
    /// ended. An operation whose attempt has not ended is never removed.
    fn next_check(&self, id: &Id, now: Moment) -> Option<Moment> {
        let entry = self.entries.get(id)?;
        let is_open = matches!(entry.state, State::Claimed | State::Running);
        (is_open || entry.expires_at > now).then(|| now.plus_ms(RETENTION_MS))
    }
}
