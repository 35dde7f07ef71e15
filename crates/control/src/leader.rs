//! Leader election for a zone or the fleet.
//!
//! A leader holds a lease in the platform's service. This state machine decides when to try to
//! acquire the lease, when to renew it and whether this daemon may act as leader; it makes no calls.
//!
//! Safety rests on three rules. The holder counts its term from *before* it requested the renewal,
//! less a margin for clock drift, so that its term ends before the platform lets another daemon
//! acquire the lease. A daemon that was paused finds its term expired as soon as it reads the clock.
//! A new leader counts from *after* the response to its acquisition: the old leader's term has ended
//! by then, and its last grants expire at most [`MAX_GRANT_MS`] later, plus the margin. The new
//! leader grants nothing before that.

use rand::Rng;
use store::Backoff;
use timer::Moment;

/// Term of a lease, in milliseconds.
pub const TERM_MS: u64 = 4_000;

/// Interval of renewals, in milliseconds.
pub const RENEW_MS: u64 = 1_000;

/// Maximum term of a grant, in milliseconds.
pub const MAX_GRANT_MS: u64 = 5_000;

/// Margin for clocks that run at different rates over one term, in milliseconds.
pub const DRIFT_MS: u64 = 200;

/// Time without news of a zone's leader after which the first candidate tries to acquire the lease,
/// in milliseconds.
pub const ZONE_SILENCE_MS: u64 = 4_000;

/// Time without news of the fleet's leader after which the first candidate tries to acquire the
/// lease, in milliseconds.
pub const FLEET_SILENCE_MS: u64 = 8_000;

/// Additional delay of each candidate after the previous one, in milliseconds.
const RANK_DELAY_MS: u64 = 1_000;

/// This daemon's own term as a leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderTerm {
    /// Epoch of the lease; grows with each new holder.
    pub epoch: u64,
    /// Expiry of the term unless it is renewed.
    pub until: Moment,
    /// Moment by which every grant of earlier leaders has expired.
    pub granting_after: Moment,
}

impl LeaderTerm {
    /// Returns whether the term covers `now`. Must be checked at the moment of use, after any work
    /// during which the daemon may have been paused.
    #[must_use]
    pub fn holds(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Returns whether the leader may grant shares at `now`, for at most [`MAX_GRANT_MS`].
    #[must_use]
    pub fn may_grant(&self, now: Moment) -> bool {
        self.holds(now) && now >= self.granting_after
    }
}

/// The latest known holder of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Name of its VM.
    pub name: String,
    /// Epoch of the lease.
    pub epoch: u64,
    /// Latest moment at which the VM is known to have held the lease.
    pub seen_at: Moment,
}

/// Next action on a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// No action is due.
    Wait,
    /// Read the lease, and acquire it if no daemon holds it.
    TryAcquire,
    /// Renew the session.
    Renew,
}

/// This daemon's view of one lease.
#[derive(Debug, Clone)]
pub struct LeaderLease {
    silence_ms: u64,
    term: Option<LeaderTerm>,
    /// Moment of the next renewal; only used during a term.
    renew_at: Moment,
    holder: Option<Holder>,
    /// Earliest moment of the next attempt to acquire the lease.
    next_attempt_at: Moment,
    backoff: Backoff,
}

impl LeaderLease {
    /// Creates a lease whose holder is replaced after `silence_ms` milliseconds without news of it.
    /// The first attempt to acquire the lease is due at `now`, as no holder is known.
    #[must_use]
    pub fn new(silence_ms: u64, now: Moment) -> Self {
        Self {
            silence_ms,
            term: None,
            renew_at: now,
            holder: None,
            next_attempt_at: now,
            backoff: Backoff::new(),
        }
    }

    /// Returns this daemon's term if it is the leader at `now`.
    #[must_use]
    pub fn term(&self, now: Moment) -> Option<LeaderTerm> {
        self.term.filter(|term| term.holds(now))
    }

    /// Returns the latest known holder, which may be this daemon, unless it has been silent for too
    /// long.
    #[must_use]
    pub fn holder(&self, now: Moment) -> Option<&Holder> {
        let holder = self.holder.as_ref()?;
        (now.ms_since(holder.seen_at) < self.silence_ms).then_some(holder)
    }

    /// Returns the action that is due at `now`. `rank` is this daemon's position among the
    /// candidates; `None` if it is not a candidate.
    #[must_use]
    pub fn step(&self, rank: Option<usize>, now: Moment) -> Step {
        if self.term(now).is_some() {
            return if now >= self.renew_at {
                Step::Renew
            } else {
                Step::Wait
            };
        }
        let Some(rank) = rank else {
            return Step::Wait;
        };
        let rank_delay_ms = RANK_DELAY_MS * rank as u64;
        let seen_at = self.holder.as_ref().map(|holder| holder.seen_at);
        let silent_at = seen_at.map(|at| at.plus_ms(self.silence_ms));
        let due = silent_at.map_or(self.next_attempt_at, |at| at.max(self.next_attempt_at));
        if now >= due.plus_ms(rank_delay_ms) {
            Step::TryAcquire
        } else {
            Step::Wait
        }
    }

    /// Notes a holder. Older epochs and older observations are ignored.
    pub fn note_holder(&mut self, holder: Holder) {
        let newer = self
            .holder
            .as_ref()
            .is_none_or(|known| (holder.epoch, holder.seen_at) > (known.epoch, known.seen_at));
        if newer {
            self.holder = Some(holder);
        }
    }

    /// Forgets the known holder, because its VM is suspect or leaving.
    pub fn forget_holder(&mut self) {
        self.holder = None;
    }

    /// Starts a term. The lease was requested at `requested_at`, just before the session was created
    /// or renewed, and the response arrived at `responded_at`.
    pub fn acquire(&mut self, name: &str, epoch: u64, requested_at: Moment, responded_at: Moment) {
        let granting_after = if epoch == 1 {
            responded_at
        } else {
            responded_at.plus_ms(MAX_GRANT_MS + DRIFT_MS)
        };
        self.term = Some(LeaderTerm {
            epoch,
            until: requested_at.plus_ms(TERM_MS - DRIFT_MS),
            granting_after,
        });
        self.backoff.reset();
        self.extend(name, epoch, requested_at);
    }

    /// Extends the term after a renewal requested at `requested_at`. A response that arrives after
    /// the term has expired counts as well: the session never expired, so no other daemon can have
    /// held the lease.
    pub fn renew(&mut self, name: &str, requested_at: Moment) {
        let Some(term) = &mut self.term else {
            return;
        };
        term.until = term.until.max(requested_at.plus_ms(TERM_MS - DRIFT_MS));
        let epoch = term.epoch;
        self.extend(name, epoch, requested_at);
    }

    fn extend(&mut self, name: &str, epoch: u64, requested_at: Moment) {
        self.renew_at = requested_at.plus_ms(RENEW_MS);
        self.note_holder(Holder {
            name: name.to_owned(),
            epoch,
            seen_at: requested_at,
        });
    }

    /// Ends the term, because the session has ended or this daemon releases the lease.
    pub fn lose(&mut self, now: Moment) {
        self.term = None;
        self.next_attempt_at = now;
    }

    /// Delays the next attempt, because a call failed or another daemon holds the lease.
    pub fn fail(&mut self, now: Moment, rng: &mut impl Rng) {
        let pause_ms = self.backoff.fail(rng);
        self.next_attempt_at = now.plus_ms(pause_ms);
        self.renew_at = now.plus_ms(pause_ms.min(RENEW_MS));
    }
}
