//! A holder of a lent share.

use timer::Moment;
use wire::lend::{Grant, Request, Seq};

/// An amount that may be used until `until` on this holder's clock.
#[derive(Debug, Clone, Copy, Default)]
struct Loan {
    amount: u64,
    until: Moment,
}

impl Loan {
    fn usable(self, now: Moment) -> u64 {
        if now < self.until { self.amount } else { 0 }
    }
}

/// A lent share as its holder sees it.
#[derive(Debug, Clone)]
pub struct Holder {
    /// The latest request; answers to earlier ones are void.
    seq: Seq,
    /// When the latest request was made.
    asked: Moment,
    loan: Loan,
    /// Loans of earlier lenders, which run out and count apart from `loan`.
    earlier: Vec<Loan>,
}

impl Holder {
    /// Creates a holder that was lent nothing. `epoch` is above that of every earlier holder
    /// with the same name.
    #[must_use]
    pub fn new(epoch: u64) -> Self {
        Self {
            seq: Seq { epoch, number: 0 },
            asked: Moment::default(),
            loan: Loan::default(),
            earlier: Vec::new(),
        }
    }

    /// Returns the amount that may be used at `now`.
    #[must_use]
    pub fn lent(&self, now: Moment) -> u64 {
        self.loan.usable(now) + self.lent_earlier(now)
    }

    /// Returns until when all of [`Holder::lent`] may be used.
    #[must_use]
    pub fn until(&self, now: Moment) -> Moment {
        let loans = self.earlier.iter().chain([&self.loan]);
        let usable = loans.filter(|loan| loan.usable(now) > 0);
        let untils = usable.map(|loan| loan.until);
        untils.min().unwrap_or_default()
    }

    /// Turns to another lender, who knows nothing of what the earlier one lent. That runs out
    /// beside what the new one lends. An earlier lender must not be returned to.
    pub fn change_lender(&mut self, now: Moment) {
        self.earlier.retain(|loan| loan.usable(now) > 0);
        self.earlier.push(std::mem::take(&mut self.loan));
        // Voids the answers of the earlier lender.
        self.seq.number += 1;
    }

    /// Asks for `wanted` at `now`, while `in_use` of all loans is still in use.
    pub fn ask(&mut self, wanted: u64, in_use: u64, now: Moment) -> Request {
        let holding = Some(self.holding(in_use, now));
        self.ask_holding(wanted, holding, now)
    }

    /// Gives everything back at `now`, but for `in_use` that is still in use.
    pub fn leave(&mut self, in_use: u64, now: Moment) -> Request {
        self.loan = Loan::default();
        self.earlier.clear();
        Request {
            leaving: true,
            ..self.ask(0, in_use, now)
        }
    }

    /// Returns what counts for the present lender if `in_use` of all loans is still in use.
    pub(crate) fn holding(&self, in_use: u64, now: Moment) -> u64 {
        let beyond = in_use.saturating_sub(self.lent_earlier(now));
        self.loan.usable(now).max(beyond)
    }

    /// Asks for `wanted` at `now` and reports `holding` as still in use.
    pub(crate) fn ask_holding(
        &mut self,
        wanted: u64,
        holding: Option<u64>,
        now: Moment,
    ) -> Request {
        self.seq.number += 1;
        self.asked = now;
        Request {
            seq: self.seq,
            in_use: holding,
            wanted,
            predecessors_expired: holding.is_some(),
            leaving: false,
        }
    }

    /// Takes an answer. Returns false if it answers an earlier request and is void.
    pub fn take(&mut self, grant: &Grant) -> bool {
        let current = grant.seq == self.seq;
        if current {
            self.loan = Loan {
                amount: grant.amount,
                until: self.asked.plus_ms(grant.term_ms),
            };
        }
        current
    }

    fn lent_earlier(&self, now: Moment) -> u64 {
        self.earlier.iter().map(|loan| loan.usable(now)).sum()
    }
}
