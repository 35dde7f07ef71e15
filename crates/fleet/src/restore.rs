//! Decisions about a store that the platform restored from an older copy.
//!
//! A restore takes revisions back, and the store gives them out again. The store names its era in its
//! answers; the era rises by one with each restore. A state is therefore known by its [`Position`]. What
//! was written since the copy is gone until its writers write it again, so a key that is missing in a
//! new era counts as removed only after a [`Grace`] period.

use std::cmp::Ordering;
use std::collections::HashSet;
use std::time::Instant;

/// Number of bits of a revision in [`Position::to_number`]. At 1,000 changes a second they last 34 years.
const REVISION_BITS: u32 = 40;

/// A state of the store. Positions are ordered by age: a higher era is newer whatever its revision.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Era; 0 if the store names none.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}

impl Position {
    /// Returns the position as one number for reports, ordered as positions are. In era 0 it equals the
    /// revision, so that versions without eras can compare it. It tells only which VM to ask; a snapshot is
    /// judged by its own position.
    #[must_use]
    pub fn to_number(self) -> u64 {
        let max_era = u64::MAX >> REVISION_BITS;
        let max_revision = (1 << REVISION_BITS) - 1;
        (self.era.min(max_era) << REVISION_BITS) | self.revision.min(max_revision)
    }
}

/// Revision of a key that a VM keeps although the store does not have it. VMs that take its state keep
/// the key as long.
pub const MISSING: u64 = 0;

/// What another entry VM's snapshot is to this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is not used: it is of an earlier era, or may be, or it is an incomplete snapshot of a later era.
    Unusable,
    /// It is of the same era: its changes apply unless its revision is lower.
    SameEra,
    /// It is of a later era: it replaces all that is known.
    NewEra,
}

/// Which keys another entry VM that asks for changes gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Extent {
    /// The changes since the revision that it knows.
    Changes,
    /// All keys: its revision is of an earlier era, or may be.
    All,
    /// No keys: it knows a later era.
    Nothing,
}

/// The position of an entry VM, and what it knows of earlier eras.
#[derive(Debug, Default)]
pub struct Eras {
    position: Position,
    /// Highest revision known in earlier eras; absent if this VM saw no restore.
    earlier: Option<u64>,
}

impl Eras {
    /// Returns the position up to which changes are known.
    #[must_use]
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns whether this VM saw a restore.
    #[must_use]
    pub fn has_restored(&self) -> bool {
        self.earlier.is_some()
    }

    /// Records that changes up to `revision` of the present era are known.
    pub fn set_revision(&mut self, revision: u64) {
        self.position.revision = revision;
    }

    /// Begins a later era at `position`.
    pub fn begin(&mut self, position: Position) {
        if self.position.revision > 0 {
            self.earlier = self.earlier.max(Some(self.position.revision));
        }
        self.position = position;
    }

    /// Compares the era that an answer of the store names with the known one. An answer that names
    /// none is of the same era.
    #[must_use]
    pub fn compare(&self, era: Option<u64>) -> Ordering {
        era.unwrap_or(self.position.era).cmp(&self.position.era)
    }

    /// Judges a snapshot by the era that it names and its revision. VMs of versions without eras name
    /// none. Their snapshot counts as of the same era if its revision was not given out in an earlier
    /// era and is not lower than the known one, which it would be after a restore.
    #[must_use]
    pub fn judge(&self, era: Option<u64>, revision: u64, is_complete: bool) -> Verdict {
        let own = self.position;
        let Some(era) = era else {
            let is_lower = own.era > 0 && revision < own.revision;
            let is_reused = self.earlier.is_some_and(|earlier| revision <= earlier);
            return if is_lower || is_reused {
                Verdict::Unusable
            } else {
                Verdict::SameEra
            };
        };
        match era.cmp(&own.era) {
            Ordering::Equal => Verdict::SameEra,
            Ordering::Greater if is_complete => Verdict::NewEra,
            Ordering::Less | Ordering::Greater => Verdict::Unusable,
        }
    }

    /// Returns what a VM gets that knows the changes up to `revision` of `era`; VMs of versions without
    /// eras name none.
    #[must_use]
    pub fn extent(&self, era: Option<u64>, revision: u64) -> Extent {
        let Some(era) = era else {
            let is_reused = self.earlier.is_some_and(|earlier| revision <= earlier);
            return if is_reused {
                Extent::All
            } else {
                Extent::Changes
            };
        };
        match era.cmp(&self.position.era) {
            Ordering::Less => Extent::All,
            Ordering::Equal => Extent::Changes,
            Ordering::Greater => Extent::Nothing,
        }
    }
}

/// The time after a restore within which writers write their keys again, and the keys that they have
/// not written yet.
#[derive(Debug, Default)]
pub struct Grace {
    until: Option<Instant>,
    /// Revision of the new era's first listing; later ones belong to keys that were written since.
    listed_at: u64,
    /// Whether this VM listed the keys itself, so that it gets all changes since from the store.
    is_own_listing: bool,
    /// Keys known before the restore that nobody has written since.
    unconfirmed: HashSet<String>,
    /// Those of them that the store does not have.
    missing: HashSet<String>,
}

impl Grace {
    /// Begins the time after a restore: of the keys `known` before, the store has those in `listed` at
    /// revision `listed_at`, by this VM's own listing or by another VM's snapshot.
    pub fn begin(
        &mut self,
        known: HashSet<String>,
        listed: &HashSet<String>,
        listed_at: u64,
        is_own_listing: bool,
        until: Instant,
    ) {
        self.until = Some(until);
        self.is_own_listing = is_own_listing;
        self.listed_at = listed_at;
        self.missing = known.difference(listed).cloned().collect();
        self.unconfirmed = known;
    }

    /// Returns until when removals are put off.
    #[must_use]
    pub fn until(&self) -> Option<Instant> {
        self.until
    }

    /// Returns the number of keys that the store does not have.
    #[must_use]
    pub fn missing(&self) -> usize {
        self.missing.len()
    }

    /// Records that another VM keeps `key`, which the store does not have.
    pub fn note_missing(&mut self, key: &str) {
        self.unconfirmed.insert(key.to_owned());
        self.missing.insert(key.to_owned());
    }

    /// Records that `key` has a value of `revision`.
    pub fn note_written(&mut self, key: &str, revision: u64) {
        if revision > self.listed_at {
            self.unconfirmed.remove(key);
            self.missing.remove(key);
        }
    }

    /// Returns whether a value of `revision` may be the copy's, and its writer's next one reaches this VM.
    /// Other VMs leave out heartbeats that say nothing new, so after their snapshot nothing may follow.
    #[must_use]
    pub fn may_be_copy(&self, revision: u64) -> bool {
        self.is_own_listing && revision <= self.listed_at
    }

    /// Returns whether the removal of `key` is put off. A key that was written since the restore is
    /// removed at once. One of the copy may have lapsed with its lease while its writer is alive. The
    /// removal may be old news, so it is put off until [`Grace::expire`] tells that all changes of the
    /// period are known.
    pub fn defers(&mut self, key: &str) -> bool {
        if self.until.is_some() && self.unconfirmed.contains(key) {
            self.missing.insert(key.to_owned());
            return true;
        }
        self.missing.remove(key);
        false
    }

    /// Returns the keys that count as removed now that all changes up to `known_until` are known. While
    /// changes of the grace period may be unknown, there are none.
    pub fn expire(&mut self, known_until: Option<Instant>) -> Vec<String> {
        let is_over = match (self.until, known_until) {
            (Some(until), Some(known_until)) => known_until >= until,
            // Another VM still keeps keys of a restore that is longer ago for this one.
            (None, Some(_)) => true,
            (_, None) => false,
        };
        if !is_over {
            return Vec::new();
        }
        self.until = None;
        self.unconfirmed.clear();
        let mut removed: Vec<String> = self.missing.drain().collect();
        removed.sort_unstable();
        removed
    }
}
