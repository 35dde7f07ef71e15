//! A holder that lends parts of its share to other holders.

use timer::Moment;
use wire::lend::{Grant, Request};

use crate::holder::Holder;
use crate::lender::Lender;

/// Time after which a request is due even if nothing has changed, in milliseconds.
const MAX_REQUEST_INTERVAL_MS: u64 = 500;

/// A change of the wanted amount makes a request due if it exceeds the previous amount divided by
/// this number.
const MIN_CHANGE_DIVISOR: u64 = 10;

/// Contents of the latest request.
#[derive(Debug, Clone, Copy)]
struct LastRequest {
    at: Moment,
    wanted: u64,
    holding: Option<u64>,
    leaving: bool,
}

/// A held share, parts of which are lent to holders identified by `K`.
#[derive(Debug, Clone)]
pub struct Relay<K> {
    holder: Holder,
    lender: Lender<K>,
    last: Option<LastRequest>,
    /// Moment at which all shares lent to a predecessor have expired.
    predecessor_expires_at: Moment,
}

impl<K: Ord + Clone> Relay<K> {
    /// Creates a relay without a share that lends through `lender`. `epoch` must be greater than
    /// that of every earlier relay with the same name.
    #[must_use]
    pub fn new(epoch: u64, lender: Lender<K>) -> Self {
        Self {
            holder: Holder::new(epoch),
            lender,
            last: None,
            predecessor_expires_at: Moment::default(),
        }
    }

    /// Declares that this relay succeeds a relay with another name, whose shares may be in use until
    /// `at`.
    #[must_use]
    pub fn with_predecessor_expiry(mut self, at: Moment) -> Self {
        self.predecessor_expires_at = at;
        self
    }

    /// Creates a request for the sum of the holders' wanted amounts. Amounts that holders may still
    /// use are reported as in use; as long as shares of a predecessor may be in use, the amount is
    /// reported as unknown.
    pub fn request(&mut self, now: Moment) -> Request {
        let wanted = self.lender.wanted(now);
        let holding = self.holding(now);
        self.last = Some(LastRequest {
            at: now,
            wanted,
            holding,
            leaving: self.lender.is_leaving(),
        });
        Request {
            predecessors_expired: holding.is_some() && now >= self.predecessor_expires_at,
            leaving: self.lender.is_leaving(),
            ..self.holder.request_holding(wanted, holding, now)
        }
    }

    fn holding(&self, now: Moment) -> Option<u64> {
        let outstanding = self.lender.outstanding(now);
        let holding = self.holder.holding(outstanding, now);
        self.lender.is_settled(now).then_some(holding)
    }

    /// Switches to another lender as [`Holder::change_lender`] does.
    pub fn change_lender(&mut self, now: Moment) {
        self.holder.change_lender(now);
        self.last = None;
    }

    /// Applies a grant. Returns false if the grant is for an earlier request and is ignored.
    pub fn accept(&mut self, grant: &Grant) -> bool {
        self.holder.accept(grant)
    }

    /// Grants a part of the share for a request; `None` if the request is outdated.
    pub fn grant(&mut self, holder: &K, request: &Request, now: Moment) -> Option<Grant> {
        self.lender.resize(self.holder.lent(now));
        self.lender
            .grant(holder, request, self.holder.expiry(now), now)
    }

    /// Returns whether a request is due at `now`: its contents would differ from the latest request,
    /// or `MAX_REQUEST_INTERVAL_MS` have passed since then.
    #[must_use]
    pub fn is_due(&self, now: Moment) -> bool {
        let Some(last) = &self.last else {
            return true;
        };
        let wanted = self.lender.wanted(now);
        let demand_changed = wanted.abs_diff(last.wanted) > last.wanted / MIN_CHANGE_DIVISOR;
        let leaving_changed = self.lender.is_leaving() != last.leaving;
        let changed = demand_changed || leaving_changed || self.holding(now) != last.holding;
        changed || now.ms_since(last.at) >= MAX_REQUEST_INTERVAL_MS
    }

    /// Stops waiting for the expiry of a predecessor's shares as [`Lender::settle`] does.
    pub fn settle(&mut self, are_all: impl FnOnce(&[&K]) -> bool) {
        self.lender.settle(are_all);
    }

    /// Returns the amount lent to the relay that may be used at `now`.
    #[must_use]
    pub fn lent(&self, now: Moment) -> u64 {
        self.holder.lent(now)
    }
}
