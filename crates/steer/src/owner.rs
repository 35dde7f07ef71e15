//! Which entry VM may send work to a cold backend server.
//!
//! Answers a zone whose servers come back together, cold, while entry VMs start, stop or fail. The
//! bound on a cold server holds over all entry VMs in any second, and none can ask the others. So
//! one VM owns a server: the first by a rank that all compute alike from the VMs that they know. VMs
//! know different ones for a while, above all those that have just started, and a former owner's
//! last second counts too. A VM therefore owns a server only once it has been the first for
//! [`QUIET`], by each view that it had meanwhile.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::warmup::SPAN;
use crate::window::to_f64;

/// Time for which a VM has to be the first: the span over which the bound holds, and the time
/// within which entry VMs in touch hear of each other's changes.
pub const QUIET: Duration = SPAN.saturating_add(Duration::from_millis(500));

/// Part of the bound that one owner uses, so that there may be two for a moment.
const OWNER_PART: f64 = 0.45;

/// Age from which a view is not relied on, several times that between two views.
const STALE: Duration = Duration::from_secs(1);

/// Member of an entry VM or a backend server; names are hashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Its name.
    pub name: u64,
    /// Its zone.
    pub zone: u64,
    /// Its region.
    pub region: u64,
}

/// What an entry VM knows of all of them, itself included.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct View {
    /// Those that serve callers.
    pub vms: Vec<Member>,
    /// Number of those that it hears of.
    pub alive: usize,
    /// Number of all that are announced, or were until lately.
    pub known: usize,
}

/// A sight, and since when it holds.
#[derive(Debug)]
struct Period {
    since: Instant,
    /// Its VMs are sorted.
    sight: View,
}

/// What an entry VM knew of the others, as long as it matters.
#[derive(Debug, Default)]
pub struct Views {
    /// The latest last, without a gap between them.
    views: VecDeque<Period>,
    /// When the latest was last found to hold.
    confirmed: Option<Instant>,
}

impl Views {
    /// Notes what is known at `now`.
    pub fn note(&mut self, mut sight: View, now: Instant) {
        if !self.is_fresh(now) {
            self.views.clear();
        }
        self.confirmed = Some(now);
        sight.vms.sort_unstable();
        if self.views.back().is_none_or(|view| view.sight != sight) {
            self.views.push_back(Period { since: now, sight });
        }
        while self.views.get(1).is_some_and(|view| has_passed(view, now)) {
            self.views.pop_front();
        }
    }

    /// Returns whether the VM `own` may send work to the cold `server`.
    #[must_use]
    pub fn owns(&self, own: u64, server: Member, now: Instant) -> bool {
        let is_settled = self.views.front().is_some_and(|view| has_passed(view, now));
        let is_first = |view: &Period| first(&view.sight.vms, server) == Some(own);
        self.is_fresh(now) && is_settled && self.views.iter().all(is_first)
    }

    /// Returns the VM that comes first for `server` by the latest view.
    #[must_use]
    pub fn owner(&self, server: Member) -> Option<u64> {
        first(&self.views.back()?.sight.vms, server)
    }

    /// Returns the part of the fleet that is alive of, by the least of the views.
    #[must_use]
    pub fn alive_ratio(&self) -> f64 {
        let shares = self.views.iter().map(|view| view.sight.alive_ratio());
        shares.reduce(f64::min).unwrap_or_default()
    }

    /// Returns whether the latest view may be relied on.
    #[must_use]
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.confirmed.is_some_and(|at| now < at + STALE)
    }
}

impl View {
    fn alive_ratio(&self) -> f64 {
        to_f64(self.alive) / to_f64(self.known.max(self.alive).max(1))
    }
}

/// Returns the requests a second that an owner sends to a server, of which all VMs together may send
/// `bound`, if it hears of the part `share` of them.
#[must_use]
pub fn max_per_s(bound: f64, share: f64) -> f64 {
    bound * OWNER_PART * share
}

fn has_passed(view: &Period, now: Instant) -> bool {
    view.since + QUIET <= now
}

/// Returns the first of `vms` for `server`: one in its zone, else in its region, else any.
fn first(vms: &[Member], server: Member) -> Option<u64> {
    let rank = |vm: &Member| {
        let near = u8::from(vm.region == server.region) + u8::from(vm.zone == server.zone);
        (near, xxh3_64_with_seed(&vm.name.to_le_bytes(), server.name))
    };
    vms.iter().max_by_key(|vm| rank(vm)).map(|vm| vm.name)
}
