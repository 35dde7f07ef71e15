//! The owner's account of what it has lent.

use std::collections::BTreeMap;

use timer::Moment;
use wire::lend::{Grant, Request, Seq};

use crate::fair;
use crate::term::margin_ms;

/// Time after which a holder that has not asked counts as silent, in milliseconds. What it wants
/// is forgotten; what it was lent counts until its term has ended.
const SILENT_MS: u64 = 5_000;

/// An amount that counts as lent until `end` on the granter's clock.
#[derive(Debug, Clone, Copy, Default)]
struct Lease {
    amount: u64,
    end: Moment,
}

impl Lease {
    fn counted(self, now: Moment) -> u64 {
        if now < self.end { self.amount } else { 0 }
    }
}

/// What one holder may still be using.
#[derive(Debug, Clone, Copy, Default)]
struct Entry {
    /// Latest request; earlier ones are ignored.
    seq: Seq,
    wanted: u64,
    leaving: bool,
    heard: Moment,
    /// Whether the holder has told what it holds, and no predecessor of it can hold anything.
    complete: bool,
    /// What the holder used when it last asked; it goes on with that if the answer is lost.
    before: Lease,
    /// The answer to its last request.
    granted: Lease,
}

impl Entry {
    fn counted(&self, now: Moment) -> u64 {
        self.before.counted(now).max(self.granted.counted(now))
    }

    fn end(&self) -> Moment {
        self.before.end.max(self.granted.end)
    }

    fn is_silent(&self, now: Moment) -> bool {
        now.ms_since(self.heard) > SILENT_MS
    }
}

/// Lends amounts of a resource to holders named by `K`. The sum of what all holders may use
/// never exceeds the total, except after the total fell: then for at most one term.
#[derive(Debug, Clone)]
pub struct Granter<K> {
    total: u64,
    term_ms: u64,
    /// Time that use may go on beyond a term, in milliseconds.
    linger_ms: u64,
    /// Until then an earlier granter's shares may be in use that are not in `entries`.
    settled_at: Moment,
    entries: BTreeMap<K, Entry>,
}

impl<K: Ord + Clone> Granter<K> {
    /// Creates a granter of `total` that lends for at most `term_ms` milliseconds and has no
    /// predecessor.
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

    /// Lets use go on for up to `linger_ms` milliseconds beyond a term, as requests in flight do.
    #[must_use]
    pub fn with_linger(mut self, linger_ms: u64) -> Self {
        self.linger_ms = linger_ms;
        self
    }

    /// Makes it the successor of a granter that granted nothing after `since`. Until every share
    /// of the predecessor has ended, it only renews what holders report that they have.
    #[must_use]
    pub fn with_predecessor(mut self, since: Moment) -> Self {
        self.settled_at = since.plus_ms(self.held_ms(self.term_ms));
        self
    }

    /// Sets the total. A lower one is reached as holders confirm, at the latest after a term.
    pub fn resize(&mut self, total: u64) {
        self.total = total;
    }

    /// Returns whether shares of a predecessor may still be in use.
    #[must_use]
    pub fn is_settled(&self, now: Moment) -> bool {
        now >= self.settled_at
    }

    /// Ends the wait for a predecessor's shares if `are_all` finds that the holders which have told
    /// what they hold are all that it can have lent to. Requires that a request reaches only the
    /// granter that it was meant for, and that a deposed relay makes none.
    pub fn settle(&mut self, are_all: impl FnOnce(&[&K]) -> bool) {
        let complete = self.entries.iter().filter(|(_, entry)| entry.complete);
        let holders: Vec<&K> = complete.map(|(holder, _)| holder).collect();
        if are_all(&holders) {
            self.settled_at = Moment::default();
        }
    }

    /// Returns the most that all holders together may use at `now`.
    #[must_use]
    pub fn outstanding(&self, now: Moment) -> u64 {
        let counted = self.entries.values().map(|entry| entry.counted(now));
        counted.sum()
    }

    /// Returns what the holders that still ask want together.
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

    /// Answers a request with a share that ends by `limit`; `None` if a later request of the
    /// same holder came before.
    pub fn ask(&mut self, holder: &K, ask: &Request, limit: Moment, now: Moment) -> Option<Grant> {
        self.forget_ended(now);
        let known = self.entries.get(holder).copied();
        if known.is_some_and(|entry| ask.seq <= entry.seq) {
            return None;
        }
        let before = self.before(known, ask, now);
        let others = self.others(holder, now);
        let fair = self.fair(holder, ask.wanted, now);
        let mut amount = fair.min(self.total.saturating_sub(others));
        if !self.is_settled(now) {
            amount = amount.min(before.counted(now));
        }
        let term_ms = self.term_within(limit, now);
        if term_ms == 0 || ask.leaving {
            amount = 0;
        }
        let granted = Lease {
            amount,
            end: now.plus_ms(self.held_ms(term_ms)),
        };
        let entry = Entry {
            seq: ask.seq,
            wanted: ask.wanted,
            leaving: ask.leaving,
            heard: now,
            complete: ask.predecessors_expired || known.is_some_and(|entry| entry.complete),
            before,
            granted,
        };
        self.entries.insert(holder.clone(), entry);
        Some(Grant {
            seq: ask.seq,
            amount,
            term_ms,
        })
    }

    /// Returns what the holder still uses. Its request voids every answer that it has not taken.
    fn before(&self, known: Option<Entry>, ask: &Request, now: Moment) -> Lease {
        match known {
            Some(entry) => {
                let counted = entry.counted(now);
                Lease {
                    amount: ask.in_use.map_or(counted, |holding| holding.min(counted)),
                    end: entry.end(),
                }
            }
            None => Lease {
                amount: ask.in_use.unwrap_or(0),
                end: self.settled_at,
            },
        }
    }

    fn others(&self, holder: &K, now: Moment) -> u64 {
        let others = self.entries.iter().filter(|(name, _)| *name != holder);
        others.map(|(_, entry)| entry.counted(now)).sum()
    }

    fn fair(&self, holder: &K, wanted: u64, now: Moment) -> u64 {
        let others = self.entries.iter().filter(|(name, _)| *name != holder);
        let (silent, live): (Vec<&Entry>, Vec<&Entry>) = others
            .map(|(_, entry)| entry)
            .partition(|entry| entry.is_silent(now) || entry.leaving);
        let withheld: u64 = silent.iter().map(|entry| entry.counted(now)).sum();
        let total = self.total.saturating_sub(withheld);
        let wants: Vec<u64> = live.iter().map(|entry| entry.wanted).collect();
        fair::share(total, wanted, &wants)
    }

    /// Returns the longest term whose end, seen from here, is not after `limit`.
    fn term_within(&self, limit: Moment, now: Moment) -> u64 {
        let longest_ms = 2 * self.held_ms(self.term_ms);
        let left_ms = limit.ms_since(now).min(longest_ms);
        let margin_ms = margin_ms(left_ms) + self.linger_ms;
        self.term_ms.min(left_ms.saturating_sub(margin_ms))
    }

    fn held_ms(&self, term_ms: u64) -> u64 {
        term_ms + margin_ms(term_ms) + self.linger_ms
    }

    fn forget_ended(&mut self, now: Moment) {
        self.entries
            .retain(|_, entry| !entry.is_silent(now) || entry.end() > now);
    }
}
