//! Whether a request goes to another server, and what its caller may be told.
//!
//! Answers servers that reject, crash, lose answers or fall silent while callers ask again. A
//! request that must not repeat is sent again only if it surely has not run, and a refusal says
//! that a request has not run only if no try can have run it. Attempts are read by one entry VM
//! each, so that VM alone decides.

/// Most servers that are tried without a byte sent.
const MAX_UNREACHED: u32 = 3;

/// What bounds the tries of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// Most servers that it may be sent to; at least 1.
    pub max_sent: u32,
}

/// How a try ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// A server answered; `failed` says whether with a failure of its own.
    Responded {
        /// Whether the answer is a failure.
        failed: bool,
    },
    /// A server said that it did not run the request.
    NotRun,
    /// No byte of the request left.
    Unreachable,
    /// The connection broke after bytes had left.
    ConnectionLost,
    /// There was no answer in time.
    TimedOut,
}

/// What follows a try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The caller gets the answer.
    Deliver,
    /// Another server may be tried.
    Retry,
    /// The caller is refused.
    Refuse(Reason),
}

/// Reason a caller is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Servers have no room; the request has not run.
    NoCapacity,
    /// No server may take it; the request has not run.
    NoServer,
    /// It may have run, and its answer is lost.
    AnswerLost,
    /// It may have run, and there was no answer in time.
    TimedOut,
}

/// The tries of one request so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Attempts {
    sent: u32,
    unreached: u32,
    /// Whether one of them may have run. Once true it stays so.
    may_have_run: bool,
}

impl Attempts {
    /// Returns to how many servers the request was sent.
    #[must_use]
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Takes the end of a try and decides what follows. `is_worth_another` says whether another
    /// server could still answer in time.
    pub fn decide(&mut self, terms: Policy, ending: Ending, is_worth_another: bool) -> Decision {
        if ending == Ending::Unreachable {
            return self.after_unreached();
        }
        self.sent += 1;
        self.may_have_run |= ending != Ending::NotRun;
        let is_last = self.sent >= terms.max_sent;
        let may_repeat = terms.is_idempotent && !is_last && is_worth_another;
        match ending {
            Ending::NotRun if is_last => self.refuse(Reason::NoCapacity),
            Ending::NotRun => Decision::Retry,
            Ending::Responded { failed: true } | Ending::ConnectionLost if may_repeat => {
                Decision::Retry
            }
            Ending::Responded { .. } => Decision::Deliver,
            Ending::ConnectionLost => self.refuse(Reason::AnswerLost),
            Ending::TimedOut => self.refuse(Reason::TimedOut),
            Ending::Unreachable => unreachable!("it was taken above"),
        }
    }

    fn after_unreached(&mut self) -> Decision {
        self.unreached += 1;
        if self.unreached >= MAX_UNREACHED {
            return self.refuse(Reason::NoServer);
        }
        Decision::Retry
    }

    fn refuse(&self, why: Reason) -> Decision {
        Decision::Refuse(self.truthful(why))
    }

    /// Returns `why`, or a reason that does not say that the request has not run if it may have.
    #[must_use]
    pub fn truthful(&self, why: Reason) -> Reason {
        match why {
            Reason::NoCapacity | Reason::NoServer if self.may_have_run => Reason::AnswerLost,
            why => why,
        }
    }

    /// Returns why a request is refused whose time is over before another try.
    #[must_use]
    pub fn timeout_reason(&self) -> Reason {
        if self.may_have_run {
            return Reason::TimedOut;
        }
        Reason::NoCapacity
    }

    /// Returns why a request is refused for which no server is left: those that answered had no
    /// room.
    #[must_use]
    pub fn exhausted_reason(&self) -> Reason {
        let why = if self.sent > 0 {
            Reason::NoCapacity
        } else {
            Reason::NoServer
        };
        self.truthful(why)
    }
}
