//! Limits that backend servers in need name on the requests from all entry VMs together.
//!
//! Load pattern: a server names a limit of a few requests a second, while hundreds of entry VMs send to
//! it. No VM's share of such a limit can follow single requests, so each server has an owner among the
//! VMs ([`crate::owner`]), which keeps the fleet's token bucket. A VM asks the owner for a token for
//! each request to the server; a request without one goes to another server at once. A VM that reaches
//! no owner sends the server nothing: hundreds of VMs cannot share a few requests without asking, and the
//! VM's view soon names an owner that it reaches.
//!
//! VMs hear of a limit from responses, and from each other. The latest word counts. Between VMs its age
//! is not exact, so a word that allows more has to be clearly later than the one it replaces.

use std::time::{Duration, Instant};

use crate::quota::{Grant, Ownership};

/// Ratio of the limit that a sole owner grants.
const SETTLED_RATIO: f64 = 0.95;

/// Ratio of the limit that a VM grants while another one may grant too.
const CONTESTED_RATIO: f64 = 0.4;

/// Requests a second that a server gets at least, since only its responses tell when it takes more.
const MIN_PER_S: f64 = 0.1;

/// Capacity of the owner's bucket beyond one token, in seconds of the limit.
const BURST_S: f64 = 0.25;

/// Time by which a reported word has to be later to replace one that allows less.
const REPORT_SLACK: Duration = Duration::from_secs(1);

/// Range of the time after which a VM that got no token asks again.
const WAIT: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(2));

/// Time after which a VM that reached no owner asks again.
const UNREACHED_WAIT: Duration = Duration::from_millis(500);

/// What a server said of its limit, and when that was heard.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Word {
    /// Requests a second from all entry VMs together; absent if the server named no limit.
    pub per_s: Option<f64>,
    /// When an entry VM heard it in a response.
    pub at: Instant,
}

/// The limit of one server at one entry VM.
#[derive(Debug, Default)]
pub struct Limiter {
    word: Option<Word>,
    /// When the latest response to this VM was heard; absent if it heard of the limit from others only.
    own_at: Option<Instant>,
    /// Tokens that this VM grants as the owner.
    granted: Bucket,
    /// Until when the owner has no token for this VM.
    waits_until: Option<Instant>,
}

/// A token bucket that starts with one token.
#[derive(Debug)]
struct Bucket {
    tokens: f64,
    refilled: Option<Instant>,
    /// Rejected requests that were told to come back and have not been due yet.
    promised: f64,
}

impl Default for Bucket {
    fn default() -> Self {
        Self {
            tokens: 1.0,
            refilled: None,
            promised: 0.0,
        }
    }
}

impl Limiter {
    /// Returns the limit in force, in requests per second.
    #[must_use]
    pub fn per_s(&self) -> Option<f64> {
        self.word?.per_s
    }

    /// Returns what this VM heard itself, if that is the latest word and no older than `max_age`.
    #[must_use]
    pub fn own_word(&self, max_age: Duration, now: Instant) -> Option<Word> {
        let word = self.word?;
        let is_own = self.own_at == Some(word.at);
        (is_own && now.duration_since(word.at) <= max_age).then_some(word)
    }

    /// Returns the latest word.
    #[must_use]
    pub fn word(&self) -> Option<Word> {
        self.word
    }

    /// Records the limit that a response to this VM names; returns whether it differs from the one in
    /// force.
    pub fn note_response(&mut self, per_s: Option<f64>, now: Instant) -> bool {
        if per_s.is_none() && self.word.is_none() {
            return false;
        }
        self.own_at = Some(now);
        self.replace(Word { per_s, at: now })
    }

    /// Records what another VM heard; returns whether the limit in force changes.
    pub fn note_report(&mut self, reported: Word) -> bool {
        let Some(known) = self.word else {
            return reported.per_s.is_some() && self.replace(reported);
        };
        let allows_more = allowed(reported.per_s) > allowed(known.per_s);
        let slack = if allows_more {
            REPORT_SLACK
        } else {
            Duration::ZERO
        };
        let is_same = reported.per_s == known.per_s;
        !is_same && reported.at > known.at + slack && self.replace(reported)
    }

    fn replace(&mut self, word: Word) -> bool {
        let earlier = self.word.replace(word);
        let has_changed = earlier.and_then(|earlier| earlier.per_s) != word.per_s;
        if has_changed {
            self.waits_until = None;
        }
        has_changed
    }

    /// Returns whether the owner may have a token for this VM, as far as it has said.
    #[must_use]
    pub fn may_ask(&self, now: Instant) -> bool {
        self.remaining_wait(now).is_none()
    }

    /// Returns the time until the owner may have a token, if it has none now.
    #[must_use]
    pub fn remaining_wait(&self, now: Instant) -> Option<Duration> {
        let until = self.waits_until.filter(|_| self.per_s().is_some())?;
        (now < until).then(|| until.duration_since(now))
    }

    /// Records that the owner has no token for this VM before `wait` has passed.
    pub fn note_wait(&mut self, wait: Duration, now: Instant) {
        self.waits_until = Some(now + wait.clamp(WAIT.0, WAIT.1));
    }

    /// Answers a VM that asks for a token, as the owner. `alive_ratio` is the ratio of the known VMs
    /// that are alive; the others may have an owner of their own.
    pub fn grant(&mut self, ownership: Ownership, alive_ratio: f64, now: Instant) -> Grant {
        let Some(per_s) = self.per_s() else {
            return Grant::Tokens(1);
        };
        let ratio = match ownership {
            Ownership::Settled => SETTLED_RATIO,
            Ownership::Contested => CONTESTED_RATIO,
        };
        let per_s = per_s.max(MIN_PER_S) * ratio * alive_ratio;
        self.granted.take(per_s, now)
    }

    /// Records that no owner answers.
    pub fn note_unreached(&mut self, now: Instant) {
        self.note_wait(UNREACHED_WAIT, now);
    }
}

/// Returns the requests per second that are allowed.
fn allowed(per_s: Option<f64>) -> f64 {
    per_s.unwrap_or(f64::INFINITY)
}

impl Bucket {
    /// Takes a token of a bucket that gains `per_s` tokens a second.
    fn take(&mut self, per_s: f64, now: Instant) -> Grant {
        self.refill(per_s, now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Grant::Tokens(1);
        }
        let due_s = (1.0 - self.tokens + self.promised) / per_s.max(f64::MIN_POSITIVE);
        let max_promised = per_s * WAIT.1.as_secs_f64();
        self.promised = (self.promised + 1.0).min(max_promised);
        Grant::Wait(Duration::try_from_secs_f64(due_s).unwrap_or(WAIT.1))
    }

    fn refill(&mut self, per_s: f64, now: Instant) {
        let since = self.refilled.replace(now).unwrap_or(now);
        let gained = per_s * now.duration_since(since).as_secs_f64();
        self.tokens = (self.tokens + gained).min(BURST_S.mul_add(per_s, 1.0));
        self.promised = (self.promised - gained).max(0.0);
    }
}
