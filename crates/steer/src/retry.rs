//! Decisions on whether a request is retried at another server, and on the reason in a refusal.
//!
//! Load pattern: servers reject requests, crash, lose responses or stop responding while callers
//! retry. A request that must not run twice is retried only if it is certain that it has not run, and
//! a refusal states that a request has not run only if no attempt can have run it. Each request of a
//! caller is handled by one entry VM, so that VM decides alone.

/// Maximum number of unreachable servers that are tried.
const MAX_UNREACHABLE: u32 = 3;

/// Limits on the attempts of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Maximum number of servers that the request may be sent to; at least 1.
    pub max_sent: u32,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// A server responded.
    Responded {
        /// Whether the response reports a failure of the server.
        failed: bool,
    },
    /// A server reported that it has not run the request.
    NotRun,
    /// No byte of the request was sent.
    Unreachable,
    /// The connection broke after part of the request was sent.
    ConnectionLost,
    /// There was no response in time.
    TimedOut,
}

/// What follows an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The caller gets the response.
    Deliver,
    /// The request may be retried at another server.
    Retry,
    /// The caller is refused.
    Refuse(Reason),
}

/// Reason for a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No server has capacity; the request has not run.
    NoCapacity,
    /// No server is available; the request has not run.
    NoServer,
    /// The request may have run, and its response is lost.
    AnswerLost,
    /// The request may have run, and there was no response in time.
    TimedOut,
}

/// The attempts of one request so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Attempts {
    sent: u32,
    unreachable: u32,
    /// Whether any attempt may have run the request. Never reset.
    may_have_run: bool,
}

impl Attempts {
    /// Returns the number of servers that the request was sent to.
    #[must_use]
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Returns the number of servers that could not be reached.
    #[must_use]
    pub fn unreachable(&self) -> u32 {
        self.unreachable
    }

    /// Returns whether any attempt may have run the request.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Records the end of an attempt and decides what follows. `is_worth_retry` is whether another
    /// server could still respond in time.
    pub fn decide(&mut self, policy: Policy, ending: Ending, is_worth_retry: bool) -> Decision {
        if ending == Ending::Unreachable {
            return self.after_unreachable();
        }
        self.sent += 1;
        self.may_have_run |= ending != Ending::NotRun;
        let is_last = self.sent >= policy.max_sent;
        let may_retry = policy.is_idempotent && !is_last && is_worth_retry;
        match ending {
            Ending::NotRun if is_last => self.refuse(Reason::NoCapacity),
            Ending::NotRun => Decision::Retry,
            Ending::Responded { failed: true } | Ending::ConnectionLost if may_retry => {
                Decision::Retry
            }
            Ending::Responded { .. } => Decision::Deliver,
            Ending::ConnectionLost => self.refuse(Reason::AnswerLost),
            Ending::TimedOut => self.refuse(Reason::TimedOut),
            Ending::Unreachable => unreachable!("handled above"),
        }
    }

    fn after_unreachable(&mut self) -> Decision {
        self.unreachable += 1;
        if self.unreachable >= MAX_UNREACHABLE {
            return self.refuse(Reason::NoServer);
        }
        Decision::Retry
    }

    fn refuse(&self, reason: Reason) -> Decision {
        Decision::Refuse(self.truthful(reason))
    }

    /// Returns `reason`, unless it states that the request has not run although it may have; then
    /// returns [`Reason::AnswerLost`].
    #[must_use]
    pub fn truthful(&self, reason: Reason) -> Reason {
        match reason {
            Reason::NoCapacity | Reason::NoServer if self.may_have_run => Reason::AnswerLost,
            reason => reason,
        }
    }

    /// Returns the reason for a refusal if the deadline passes before another attempt.
    #[must_use]
    pub fn timeout_reason(&self) -> Reason {
        if self.may_have_run {
            return Reason::TimedOut;
        }
        Reason::NoCapacity
    }

    /// Returns the reason for a refusal if no further server is available: servers that responded had
    /// no capacity.
    #[must_use]
    pub fn exhausted_reason(&self) -> Reason {
        let reason = if self.sent > 0 {
            Reason::NoCapacity
        } else {
            Reason::NoServer
        };
        self.truthful(reason)
    }
}
