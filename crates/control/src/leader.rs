//! Which daemon is the lead of a zone or of the fleet.
//!
//! A lead holds a lease in the platform's service. The state machine here decides when to look
//! at the lease, when to renew it and whether this daemon may act as lead; it makes no calls.
//!
//! Safety rests on three moments. The holder counts its term from the moment *before* it asked
//! for the renewal, less a margin for drift, so that it stops before the platform lets anyone
//! else in; a daemon that was paused finds its term over as soon as it reads the clock. A new
//! lead counts from the moment *after* its acquisition was answered: the old lead's term is over
//! by then, and whatever it granted at its last moment ends at most [`MAX_GRANT_MS`] later, plus
//! the margin. Only then does the new lead grant.

use rand::Rng;
use store::Backoff;
use timer::Moment;

/// Term of a lease, in milliseconds.
pub const TERM_MS: u64 = 4_000;

/// Time between two renewals, in milliseconds.
pub const RENEW_MS: u64 = 1_000;

/// Longest term of anything that a lead grants, in milliseconds.
pub const MAX_GRANT_MS: u64 = 5_000;

/// Allowance for clocks that run at different rates over one term, in milliseconds.
pub const DRIFT_MS: u64 = 200;

/// Silence of a zone's lead after which the first candidate looks at the lease, in milliseconds.
pub const ZONE_SILENCE_MS: u64 = 4_000;

/// Silence of the fleet's lead after which the first candidate looks, in milliseconds.
pub const FLEET_SILENCE_MS: u64 = 8_000;

/// Further silence that each later candidate waits for, in milliseconds.
const RANK_MS: u64 = 1_000;

/// A lead's own term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeadTerm {
    /// Number of the lease's holder; grows with each new holder.
    pub epoch: u64,
    /// Moment from which this daemon is no longer the lead unless it renews.
    pub until: Moment,
    /// Moment by which every grant of an earlier lead has ended.
    pub granting_after: Moment,
}

impl LeadTerm {
    /// Returns whether the term covers `now`. To be asked at the moment of use, after any work
    /// that may have paused.
    #[must_use]
    pub fn holds(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Returns whether the lead may grant shares for at most [`MAX_GRANT_MS`] at `now`.
    #[must_use]
    pub fn may_grant(&self, now: Moment) -> bool {
        self.holds(now) && now >= self.granting_after
    }
}

/// A lead that this daemon heard of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Name of its VM.
    pub name: String,
    /// Number of the lease's holder.
    pub epoch: u64,
    /// Latest moment at which it is known to have held the lease.
    pub seen_at: Moment,
}

/// What to do next about the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing yet.
    Wait,
    /// Read the lease, and acquire it if nobody holds it.
    Look,
    /// Renew the session.
    Renew,
}

/// This daemon's part in one lease.
#[derive(Debug, Clone)]
pub struct Lead {
    silence_ms: u64,
    term: Option<LeadTerm>,
    /// Moment of the next renewal; has a meaning only while there is a term.
    renew_at: Moment,
    holder: Option<Holder>,
    /// Moment before which the lease is not looked at again.
    look_at: Moment,
    backoff: Backoff,
}

impl Lead {
    /// Creates a daemon's part in a lease whose holder may be silent for `silence_ms`
    /// milliseconds. The silence counts from `now`, as nothing was heard yet.
    #[must_use]
    pub fn new(silence_ms: u64, now: Moment) -> Self {
        Self {
            silence_ms,
            term: None,
            renew_at: now,
            holder: None,
            look_at: now,
            backoff: Backoff::new(),
        }
    }

    /// Returns this daemon's term if it is the lead at `now`.
    #[must_use]
    pub fn term(&self, now: Moment) -> Option<LeadTerm> {
        self.term.filter(|term| term.holds(now))
    }

    /// Returns the newest holder heard of, this daemon included, if it is not silent for too
    /// long.
    #[must_use]
    pub fn holder(&self, now: Moment) -> Option<&Holder> {
        let holder = self.holder.as_ref()?;
        (now.ms_since(holder.seen_at) < self.silence_ms).then_some(holder)
    }

    /// Decides what to do at `now`. `rank` is this daemon's place among the candidates, absent
    /// if it is none.
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
        let patience_ms = RANK_MS * rank as u64;
        let heard = self.holder.as_ref().map(|holder| holder.seen_at);
        let silent_at = heard.map(|at| at.plus_ms(self.silence_ms));
        let due = silent_at.map_or(self.look_at, |at| at.max(self.look_at));
        if now >= due.plus_ms(patience_ms) {
            Step::Look
        } else {
            Step::Wait
        }
    }

    /// Takes word of a holder. Older epochs and older sightings are ignored.
    pub fn hear(&mut self, holder: Holder) {
        let newer = self
            .holder
            .as_ref()
            .is_none_or(|known| (holder.epoch, holder.seen_at) > (known.epoch, known.seen_at));
        if newer {
            self.holder = Some(holder);
        }
    }

    /// Forgets the holder heard of, since its VM is known to be gone or going.
    pub fn forget_holder(&mut self) {
        self.holder = None;
    }

    /// Takes the lease: it was asked for at `asked`, when the session had just been created or
    /// renewed, and the answer arrived at `answered`.
    pub fn acquire(&mut self, name: &str, epoch: u64, asked: Moment, answered: Moment) {
        let granting_after = if epoch == 1 {
            answered
        } else {
            answered.plus_ms(MAX_GRANT_MS + DRIFT_MS)
        };
        self.term = Some(LeadTerm {
            epoch,
            until: asked.plus_ms(TERM_MS - DRIFT_MS),
            granting_after,
        });
        self.backoff.reset();
        self.extend(name, epoch, asked);
    }

    /// Notes that the renewal asked for at `asked` was done. A renewal that was answered only
    /// after the term had ended counts all the same: the session never lapsed, so that nobody
    /// else can have held the lease.
    pub fn renew(&mut self, name: &str, asked: Moment) {
        let Some(term) = &mut self.term else {
            return;
        };
        term.until = term.until.max(asked.plus_ms(TERM_MS - DRIFT_MS));
        let epoch = term.epoch;
        self.extend(name, epoch, asked);
    }

    fn extend(&mut self, name: &str, epoch: u64, asked: Moment) {
        self.renew_at = asked.plus_ms(RENEW_MS);
        self.hear(Holder {
            name: name.to_owned(),
            epoch,
            seen_at: asked,
        });
    }

    /// Notes that the session has ended or that this daemon gives the lease up.
    pub fn lose(&mut self, now: Moment) {
        self.term = None;
        self.look_at = now;
    }

    /// Notes that a call failed or that another daemon came first, and puts the next look off.
    pub fn fail(&mut self, now: Moment, rng: &mut impl Rng) {
        let pause_ms = self.backoff.fail(rng);
        self.look_at = now.plus_ms(pause_ms);
        self.renew_at = now.plus_ms(pause_ms.min(RENEW_MS));
    }
}
