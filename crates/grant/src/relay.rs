//! A holder that lends on what it holds.

use timer::Moment;
use wire::lend::{Grant, Request};

use crate::granter::Granter;
use crate::holder::Holder;

/// Time after which a request is due though there is nothing new to say, in milliseconds.
const QUIET_MS: u64 = 500;

/// A change of what is wanted is news if it is more than one part in this many.
const MOVED_DIVISOR: u64 = 10;

/// What the latest request said.
#[derive(Debug, Clone, Copy)]
struct Last {
    at: Moment,
    wanted: u64,
    holding: Option<u64>,
    leaving: bool,
}

/// A share that is lent on to holders named by `K`.
#[derive(Debug, Clone)]
pub struct Relay<K> {
    holder: Holder,
    granter: Granter<K>,
    last: Option<Last>,
    /// When everything that was lent to a predecessor has ended.
    complete_at: Moment,
}

impl<K: Ord + Clone> Relay<K> {
    /// Creates a relay that holds nothing yet and lends through `granter`. `epoch` is above that
    /// of every earlier relay with the same name.
    #[must_use]
    pub fn new(epoch: u64, granter: Granter<K>) -> Self {
        Self {
            holder: Holder::new(epoch),
            granter,
            last: None,
            complete_at: Moment::default(),
        }
    }

    /// Notes that until `at` something may be in use that was lent to a relay of which this one is
    /// the successor under another name.
    #[must_use]
    pub fn with_predecessor_until(mut self, at: Moment) -> Self {
        self.complete_at = at;
        self
    }

    /// Asks for what the holders want. What they may still use counts as in use; as long as
    /// shares of a predecessor may be in use, nothing can be told about it.
    pub fn ask(&mut self, now: Moment) -> Request {
        let wanted = self.granter.wanted(now);
        let holding = self.holding(now);
        self.last = Some(Last {
            at: now,
            wanted,
            holding,
            leaving: self.granter.is_leaving(),
        });
        Request {
            predecessors_expired: holding.is_some() && now >= self.complete_at,
            leaving: self.granter.is_leaving(),
            ..self.holder.ask_holding(wanted, holding, now)
        }
    }

    fn holding(&self, now: Moment) -> Option<u64> {
        let outstanding = self.granter.outstanding(now);
        let holding = self.holder.holding(outstanding, now);
        self.granter.is_settled(now).then_some(holding)
    }

    /// Turns to another lender as [`Holder::change_lender`] does.
    pub fn change_lender(&mut self, now: Moment) {
        self.holder.change_lender(now);
        self.last = None;
    }

    /// Takes an answer. Returns false if it is void.
    pub fn take(&mut self, grant: &Grant) -> bool {
        self.holder.take(grant)
    }

    /// Answers a request for a part of the share.
    pub fn serve(&mut self, holder: &K, ask: &Request, now: Moment) -> Option<Grant> {
        self.granter.resize(self.holder.lent(now));
        self.granter.ask(holder, ask, self.holder.until(now), now)
    }

    /// Returns whether a request is due at `now`: there is something new to say, or the last
    /// request was a while ago.
    #[must_use]
    pub fn is_due(&self, now: Moment) -> bool {
        let Some(last) = &self.last else {
            return true;
        };
        let wanted = self.granter.wanted(now);
        let moved = wanted.abs_diff(last.wanted) > last.wanted / MOVED_DIVISOR;
        let left = self.granter.is_leaving() != last.leaving;
        let news = moved || left || self.holding(now) != last.holding;
        news || now.ms_since(last.at) >= QUIET_MS
    }

    /// Ends the wait for a predecessor's shares as [`Granter::settle`] does.
    pub fn settle(&mut self, are_all: impl FnOnce(&[&K]) -> bool) {
        self.granter.settle(are_all);
    }

    /// Returns the amount lent to the relay at `now`.
    #[must_use]
    pub fn lent(&self, now: Moment) -> u64 {
        self.holder.lent(now)
    }
}
