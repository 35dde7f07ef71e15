//! Lending of a resource by its owner.

use std::collections::BTreeMap;

use timer::Moment;
use wire::lend::{Grant, Request, Seq};

use crate::fair;
use crate::term::margin_ms;

/// Time after its latest request at which a holder counts as silent, in milliseconds. Its wanted
/// amount is then ignored; its lent amount counts until the term has expired.
const SILENT_AFTER_MS: u64 = 5_000;

/// An amount that counts as lent until `expires_at`, on the lender's clock.
#[derive(Debug, Clone, Copy, Default)]
struct Lease {
    amount: u64,
    expires_at: Moment,
}

impl Lease {
    fn outstanding_amount(self, now: Moment) -> u64 {
        if now < self.expires_at {
            self.amount
        } else {
            0
        }
    }
}

/// The latest request of a holder and the amounts that the holder may still use.
#[derive(Debug, Clone, Copy, Default)]
struct Entry {
    /// Sequence number of the latest request; earlier requests are ignored.
    seq: Seq,
    wanted: u64,
    leaving: bool,
    last_request_at: Moment,
    /// Whether the holder has reported its amount in use, and all shares of its predecessors have
    /// expired.
    complete: bool,
    /// Amount that the holder used at its latest request; it continues to use this amount if the
    /// grant is lost.
    in_use_before: Lease,
    /// Amount granted for the latest request.
    granted: Lease,
}

impl Entry {
    fn outstanding_amount(&self, now: Moment) -> u64 {
        self.in_use_before
            .outstanding_amount(now)
            .max(self.granted.outstanding_amount(now))
    }

    fn expires_at(&self) -> Moment {
        self.in_use_before.expires_at.max(self.granted.expires_at)
    }

    fn is_silent(&self, now: Moment) -> bool {
        now.ms_since(self.last_request_at) > SILENT_AFTER_MS
    }
}

/// Lends amounts of a resource to holders identified by `K`. The sum of the amounts that all holders
/// may use never exceeds the total, except for at most one term after the total was reduced.
#[derive(Debug, Clone)]
pub struct Lender<K> {
    total: u64,
    term_ms: u64,
    /// Time for which use may continue after a term, in milliseconds.
    linger_ms: u64,
    /// Moment until which shares of an earlier lender may be in use that `entries` lacks.
    settled_at: Moment,
    entries: BTreeMap<K, Entry>,
}

impl<K: Ord + Clone> Lender<K> {
    /// Creates a lender of `total` that lends for terms of at most `term_ms` milliseconds and has
    /// no predecessor.
    #[must_use]
    pub fn new(total: u64, term_ms: u64) -> Self {
        Self {
            total,
            term_ms,
            linger_ms: 0,
            settled_at: Moment::default(),
            entries: BTreeMap::new(),
        }
    }

    /// Accounts for use that continues for up to `linger_ms` milliseconds after a term, such as
    /// requests in flight.
    #[must_use]
    pub fn with_linger(mut self, linger_ms: u64) -> Self {
        self.linger_ms = linger_ms;
        self
    }

    /// Declares that this lender succeeds one that granted nothing after `since`. Until all shares
    /// of the predecessor have expired, it only renews amounts that holders report as in use.
    #[must_use]
    pub fn with_predecessor(mut self, since: Moment) -> Self {
        self.settled_at = since.plus_ms(self.held_ms(self.term_ms));
        self
    }

    /// Sets the total. A lower total takes effect as holders confirm their reduced shares, at the
    /// latest after one term.
    pub fn resize(&mut self, total: u64) {
        self.total = total;
    }

    /// Returns whether no share of a predecessor can still be in use.
    #[must_use]
    pub fn is_settled(&self, now: Moment) -> bool {
        now >= self.settled_at
    }

    /// Stops waiting for the expiry of a predecessor's shares if `are_all` returns true for the
    /// holders that have reported their amounts in use, which means that the predecessor lent to no
    /// others. Requires that a request reaches only the lender to which it is addressed, and that a
    /// replaced relay sends no requests.
    pub fn settle(&mut self, are_all: impl FnOnce(&[&K]) -> bool) {
        let complete = self.entries.iter().filter(|(_, entry)| entry.complete);
        let holders: Vec<&K> = complete.map(|(holder, _)| holder).collect();
        if are_all(&holders) {
            self.settled_at = Moment::default();
        }
    }

    /// Returns the maximum amount that all holders together may use at `now`.
    #[must_use]
    pub fn outstanding(&self, now: Moment) -> u64 {
        let outstanding_amount = self
            .entries
            .values()
            .map(|entry| entry.outstanding_amount(now));
        outstanding_amount.sum()
    }

    /// Returns the sum of the wanted amounts of all holders that are not silent.
    #[must_use]
    pub fn wanted(&self, now: Moment) -> u64 {
        let live = self.entries.values().filter(|entry| !entry.is_silent(now));
        live.map(|entry| entry.wanted).sum()
    }

    /// Returns whether there are holders and all of them are leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        let mut holders = self.entries.values();
        !self.entries.is_empty() && holders.all(|entry| entry.leaving)
    }

    /// Grants a share that expires by `limit`; `None` if a later request of the same holder was
    /// already received.
    pub fn grant(
        &mut self,
        holder: &K,
        request: &Request,
        limit: Moment,
        now: Moment,
    ) -> Option<Grant> {
        self.remove_expired(now);
        let known = self.entries.get(holder).copied();
        if known.is_some_and(|entry| request.seq <= entry.seq) {
            return None;
        }
        let in_use_before = self.in_use_before(known, request, now);
        let lent_to_others = self.lent_to_others(holder, now);
        let fair_share = self.fair_share(holder, request.wanted, now);
        let mut amount = fair_share.min(self.total.saturating_sub(lent_to_others));
        if !self.is_settled(now) {
            amount = amount.min(in_use_before.outstanding_amount(now));
        }
        let term_ms = self.term_within(limit, now);
        if term_ms == 0 || request.leaving {
            amount = 0;
        }
        let granted = Lease {
            amount,
            expires_at: now.plus_ms(self.held_ms(term_ms)),
        };
        let entry = Entry {
            seq: request.seq,
            wanted: request.wanted,
            leaving: request.leaving,
            last_request_at: now,
            complete: request.predecessors_expired || known.is_some_and(|entry| entry.complete),
            in_use_before,
            granted,
        };
        self.entries.insert(holder.clone(), entry);
        Some(Grant {
            seq: request.seq,
            amount,
            term_ms,
        })
    }

    /// Returns the amount that the holder still uses. Its request invalidates every grant that it has
    /// not yet applied.
    fn in_use_before(&self, known: Option<Entry>, request: &Request, now: Moment) -> Lease {
        match known {
            Some(entry) => {
                let outstanding_amount = entry.outstanding_amount(now);
                Lease {
                    amount: request.in_use.map_or(outstanding_amount, |holding| {
                        holding.min(outstanding_amount)
                    }),
                    expires_at: entry.expires_at(),
                }
            }
            None => Lease {
                amount: request.in_use.unwrap_or(0),
                expires_at: self.settled_at,
            },
        }
    }

    fn lent_to_others(&self, holder: &K, now: Moment) -> u64 {
        let others = self.entries.iter().filter(|(name, _)| *name != holder);
        others.map(|(_, entry)| entry.outstanding_amount(now)).sum()
    }

    fn fair_share(&self, holder: &K, wanted: u64, now: Moment) -> u64 {
        let others = self.entries.iter().filter(|(name, _)| *name != holder);
        let (silent, live): (Vec<&Entry>, Vec<&Entry>) = others
            .map(|(_, entry)| entry)
            .partition(|entry| entry.is_silent(now) || entry.leaving);
        let withheld: u64 = silent
            .iter()
            .map(|entry| entry.outstanding_amount(now))
            .sum();
        let total = self.total.saturating_sub(withheld);
        let wants: Vec<u64> = live.iter().map(|entry| entry.wanted).collect();
        fair::share(total, wanted, &wants)
    }

    /// Returns the longest term that, including the margin, expires by `limit` on this clock.
    fn term_within(&self, limit: Moment, now: Moment) -> u64 {
        let longest_ms = 2 * self.held_ms(self.term_ms);
        let remaining_ms = limit.ms_since(now).min(longest_ms);
        let margin_ms = margin_ms(remaining_ms) + self.linger_ms;
        self.term_ms.min(remaining_ms.saturating_sub(margin_ms))
    }

    fn held_ms(&self, term_ms: u64) -> u64 {
        term_ms + margin_ms(term_ms) + self.linger_ms
    }

    fn remove_expired(&mut self, now: Moment) {
        self.entries
            .retain(|_, entry| !entry.is_silent(now) || entry.expires_at() > now);
    }
}
