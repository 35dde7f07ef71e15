//! A holder of a lent share.

use timer::Moment;
use wire::lend::{Grant, Request, Seq};

/// An amount that may be used until `expires_at`, on this holder's clock.
#[derive(Debug, Clone, Copy, Default)]
struct Loan {
    amount: u64,
    expires_at: Moment,
}

impl Loan {
    fn usable(self, now: Moment) -> u64 {
        if now < self.expires_at {
            self.amount
        } else {
            0
        }
    }
}

/// The state of a lent share at its holder.
#[derive(Debug, Clone)]
pub struct Holder {
    /// Sequence number of the latest request; grants for earlier requests are ignored.
    seq: Seq,
    /// Moment of the latest request.
    requested_at: Moment,
    loan: Loan,
    /// Loans of earlier lenders, which are not renewed and count separately from `loan`.
    earlier_loans: Vec<Loan>,
}

impl Holder {
    /// Creates a holder without a lent amount. `epoch` must be greater than that of every earlier
    /// holder with the same name.
    #[must_use]
    pub fn new(epoch: u64) -> Self {
        Self {
            seq: Seq { epoch, number: 0 },
            requested_at: Moment::default(),
            loan: Loan::default(),
            earlier_loans: Vec::new(),
        }
    }

    /// Returns the lent amount that may be used at `now`.
    #[must_use]
    pub fn lent(&self, now: Moment) -> u64 {
        self.loan.usable(now) + self.lent_earlier(now)
    }

    /// Returns the moment until which the whole amount of [`Holder::lent`] may be used.
    #[must_use]
    pub fn expiry(&self, now: Moment) -> Moment {
        let loans = self.earlier_loans.iter().chain([&self.loan]);
        let usable = loans.filter(|loan| loan.usable(now) > 0);
        let expiries = usable.map(|loan| loan.expires_at);
        expiries.min().unwrap_or_default()
    }

    /// Switches to another lender, which does not know the loans of the previous one. The previous
    /// loan remains usable until it expires, in addition to the loan of the new lender. The holder
    /// must not switch back to an earlier lender.
    pub fn change_lender(&mut self, now: Moment) {
        self.earlier_loans.retain(|loan| loan.usable(now) > 0);
        self.earlier_loans.push(std::mem::take(&mut self.loan));
        // Invalidates pending grants of the previous lender.
        self.seq.number += 1;
    }

    /// Creates a request for `wanted` at `now`, while `in_use` of all loans is still in use.
    pub fn request(&mut self, wanted: u64, in_use: u64, now: Moment) -> Request {
        let holding = Some(self.holding(in_use, now));
        self.request_holding(wanted, holding, now)
    }

    /// Creates a request that returns all loans at `now`, except for `in_use`, which is still in use.
    pub fn leave(&mut self, in_use: u64, now: Moment) -> Request {
        self.loan = Loan::default();
        self.earlier_loans.clear();
        Request {
            leaving: true,
            ..self.request(0, in_use, now)
        }
    }

    /// Returns the amount that counts for the current lender if `in_use` of all loans is still in
    /// use.
    pub(crate) fn holding(&self, in_use: u64, now: Moment) -> u64 {
        let excess = in_use.saturating_sub(self.lent_earlier(now));
        self.loan.usable(now).max(excess)
    }

    /// Creates a request for `wanted` at `now` that reports `holding` as still in use.
    pub(crate) fn request_holding(
        &mut self,
        wanted: u64,
        holding: Option<u64>,
        now: Moment,
    ) -> Request {
        self.seq.number += 1;
        self.requested_at = now;
        Request {
            seq: self.seq,
            in_use: holding,
            wanted,
            predecessors_expired: holding.is_some(),
            leaving: false,
        }
    }

    /// Applies a grant. Returns false if the grant is for an earlier request and is ignored.
    pub fn accept(&mut self, grant: &Grant) -> bool {
        let is_current = grant.seq == self.seq;
        if is_current {
            self.loan = Loan {
                amount: grant.amount,
                expires_at: self.requested_at.plus_ms(grant.term_ms),
            };
        }
        is_current
    }

    fn lent_earlier(&self, now: Moment) -> u64 {
        self.earlier_loans.iter().map(|loan| loan.usable(now)).sum()
    }
}
