//! What the owner of operations remembers of them.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use chart::operation::{Event, State};
use chart::{Chart, ChartError, operation};
use timer::Moment;
use wire::handover::{self, Operation};

use crate::claims::CLAIM_TTL_S;
use crate::operation::{Fingerprint, Id};

/// Time that an operation is remembered, in milliseconds; longer than its claim stands on any
/// VM's clock.
const REMEMBERED_MS: u64 = (CLAIM_TTL_S + 1_800) * 1_000;

/// Largest body of an answer that is kept for resends, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 16 << 10;

/// Most bytes of all bodies that are kept for resends. Beyond it an operation is remembered
/// without its answer's body.
const MAX_KEPT_IN_ALL_BYTES: usize = 32 << 20;

/// A backend server's answer, kept for resends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredResponse {
    /// Status.
    pub status: u16,
    /// Type of the body.
    pub content_type: Option<Bytes>,
    /// The body, if it was at most [`MAX_STORED_BODY_BYTES`] long.
    pub body: Option<Bytes>,
}

impl From<&StoredResponse> for handover::Answer {
    fn from(answer: &StoredResponse) -> Self {
        Self {
            status: answer.status,
            content_type: answer.content_type.as_ref().map(|bytes| bytes.to_vec()),
            body: answer.body.as_ref().map(|bytes| bytes.to_vec()),
        }
    }
}

impl From<&handover::Answer> for StoredResponse {
    fn from(answer: &handover::Answer) -> Self {
        let bytes = |bytes: &Vec<u8>| Bytes::copy_from_slice(bytes);
        Self {
            status: answer.status,
            content_type: answer.content_type.as_ref().map(bytes),
            body: answer.body.as_ref().map(bytes),
        }
    }
}

/// What to do with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Run it; the ticket says how it ended.
    Run(Ticket),
    /// It has run; this was the answer.
    Replay(StoredResponse),
    /// It is running.
    Running,
    /// It may have run and will not run again.
    Unknown,
    /// The key was used for another request.
    Mismatch,
    /// There is no room to remember it; it has not run.
    Full,
}

/// The right to run an operation once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket {
    id: Id,
    /// Number of the try, so that a late word of an earlier try changes nothing.
    try_number: u64,
}

/// How a try ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// A backend server answered.
    Answered(StoredResponse),
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

#[derive(Debug)]
struct Entry {
    state: State,
    fingerprint: Fingerprint,
    try_number: u64,
    /// Present exactly in the state [`State::Done`].
    answer: Option<StoredResponse>,
    /// End of its memory; moves on with each try.
    until: Moment,
}

/// Operations that this process owns.
#[derive(Debug)]
pub struct Table {
    chart: Chart<State, Event>,
    entries: HashMap<Id, Entry>,
    /// When to look whether an operation's memory has ended, in order.
    expiry: VecDeque<Expiry>,
    max_entries: usize,
    tries: u64,
    /// Bytes of kept bodies, at most [`MAX_KEPT_IN_ALL_BYTES`].
    kept_bytes: usize,
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
    /// Fails if the chart of operations does not agree with the code.
    pub fn new(max_entries: usize) -> Result<Self, ChartError> {
        Ok(Self {
            chart: operation::load()?,
            entries: HashMap::new(),
            expiry: VecDeque::new(),
            max_entries,
            tries: 0,
            kept_bytes: 0,
        })
    }

    /// Decides on a request for an operation that this process owns and, where
    /// [`Table::needs_claim`] says so, has claimed just now. An operation that is not forgotten
    /// is never run twice; one that is still within its claim is never forgotten.
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
                .answer
                .clone()
                .map_or(Decision::Unknown, Decision::Replay),
            State::Claimed | State::Running => Decision::Running,
            State::NotRun | State::New => self.claim(id, now),
            State::Unknown | State::Expired => Decision::Unknown,
        }
    }

    /// Notes that bytes of the request may leave from now on.
    pub fn note_sent(&mut self, ticket: Ticket) {
        self.step(ticket, Event::Sent);
    }

    /// Notes how a try ended.
    pub fn note_ended(&mut self, ticket: Ticket, ending: Ending) {
        let running = self.state(ticket) == Some(State::Running);
        match ending {
            Ending::Answered(answer) => {
                if self.step(ticket, Event::Answered) {
                    self.keep(ticket.id, answer);
                }
            }
            Ending::NotRun if running => {
                self.step(ticket, Event::Shed);
            }
            Ending::NotRun => {
                self.step(ticket, Event::Refused);
            }
            Ending::Unknown => {
                self.step(ticket, Event::Lost);
            }
        }
    }

    /// Returns whether a request for `id` needs a claim before [`Table::begin`]: a claim is made
    /// or renewed before each try, so that no claim ends before the owner's memory.
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

    /// Returns what is known of the operations that will not run again.
    #[must_use]
    pub fn export(&self) -> Vec<Operation> {
        let ended = self.entries.iter().filter(|(_, entry)| {
            matches!(
                entry.state,
                State::Done | State::Unknown | State::Running | State::Claimed
            )
        });
        ended
            .map(|(id, entry)| Operation {
                id: id.0,
                fingerprint: entry.fingerprint.0,
                answer: entry.answer.as_ref().map(handover::Answer::from),
            })
            .collect()
    }

    /// Takes what another owner knows of its operations. They never run here.
    pub fn import(&mut self, operations: &[Operation], now: Moment) {
        for operation in operations {
            let id = Id(operation.id);
            if self.entries.contains_key(&id) || self.entries.len() >= self.max_entries {
                continue;
            }
            let state = if operation.answer.is_some() {
                State::Done
            } else {
                State::Unknown
            };
            let until = now.plus_ms(REMEMBERED_MS);
            let entry = Entry {
                state,
                fingerprint: Fingerprint(operation.fingerprint),
                try_number: 0,
                answer: None,
                until,
            };
            self.entries.insert(id, entry);
            self.expiry.push_back(Expiry { at: until, id });
            if let Some(answer) = &operation.answer {
                self.keep(id, StoredResponse::from(answer));
            }
        }
    }

    fn keep(&mut self, id: Id, mut answer: StoredResponse) {
        let bytes = answer.body.as_ref().map_or(0, Bytes::len);
        if self.kept_bytes + bytes > MAX_KEPT_IN_ALL_BYTES {
            answer.body = None;
        } else {
            self.kept_bytes += bytes;
        }
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.answer = Some(answer);
        }
    }

    fn begin_new(&mut self, id: Id, fingerprint: Fingerprint, now: Moment) -> Decision {
        if self.entries.len() >= self.max_entries {
            return Decision::Full;
        }
        let entry = Entry {
            state: self.chart.initial(),
            fingerprint,
            try_number: 0,
            answer: None,
            until: now,
        };
        self.entries.insert(id, entry);
        let at = now.plus_ms(REMEMBERED_MS);
        self.expiry.push_back(Expiry { at, id });
        self.claim(id, now)
    }

    fn claim(&mut self, id: Id, now: Moment) -> Decision {
        self.tries += 1;
        let ticket = Ticket {
            id,
            try_number: self.tries,
        };
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.try_number = self.tries;
            entry.until = now.plus_ms(REMEMBERED_MS);
        }
        if self.step(ticket, Event::Claimed) {
            Decision::Run(ticket)
        } else {
            Decision::Unknown
        }
    }

    fn state(&self, ticket: Ticket) -> Option<State> {
        let entry = self.entries.get(&ticket.id)?;
        (entry.try_number == ticket.try_number).then_some(entry.state)
    }

    /// Takes a transition of the chart and returns whether there was one.
    fn step(&mut self, ticket: Ticket, event: Event) -> bool {
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
        while let Some(expiry) = self.expiry.pop_front_if(|expiry| expiry.at <= now) {
            match self.kept_until(&expiry.id, now) {
                Some(at) => self.expiry.push_back(Expiry { at, ..expiry }),
                None => self.forget(&expiry.id),
            }
        }
    }

    fn forget(&mut self, id: &Id) {
        let entry = self.entries.remove(id);
        let body = entry.and_then(|entry| entry.answer?.body);
        self.kept_bytes -= body.map_or(0, |body| body.len());
    }

    /// Returns when to look at an operation again, or nothing if its memory has ended. A try
    /// that has not ended is never forgotten.
    fn kept_until(&self, id: &Id, now: Moment) -> Option<Moment> {
        let entry = self.entries.get(id)?;
        let open = matches!(entry.state, State::Claimed | State::Running);
        (open || entry.until > now).then(|| now.plus_ms(REMEMBERED_MS))
    }
}
