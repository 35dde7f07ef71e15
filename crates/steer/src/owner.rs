//! Ownership of cold backend servers, and of limits: workspaces' rates and those that servers name.
//!
//! Load pattern: the servers of a zone restart together and are cold, while entry VMs start, stop or
//! fail. The limit of a cold server applies to all entry VMs together in any second, but a VM cannot
//! ask the others before it sends. So one VM owns the server: the highest by a rank that every VM
//! computes from its membership view. Views differ for a while, in particular those of VMs that have
//! just started, and requests of the previous owner's last second count as well. A VM therefore acts
//! as owner only after it has ranked highest for [`STABILIZATION_DELAY`] in all of its views.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::warmup::RATE_WINDOW;
use crate::window::to_f64;

/// Time for which a VM has to rank highest before it acts as owner: the window over which the limit
/// holds, plus the time within which connected entry VMs learn of each other's changes.
pub const STABILIZATION_DELAY: Duration = RATE_WINDOW.saturating_add(Duration::from_millis(500));

/// Ratio of the limit that an owner uses, so that two owners at a time stay within the limit.
const OWNER_RATIO: f64 = 0.45;

/// Age from which a view is stale: several times the interval between views.
const STALE_AFTER: Duration = Duration::from_secs(1);

/// An entry VM or a backend server, identified by hashes of names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    /// Hash of the name.
    pub name: u64,
    /// Hash of the zone's name.
    pub zone: u64,
    /// Hash of the region's name.
    pub region: u64,
}

/// An entry VM's view of the fleet's membership, including itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct View {
    /// VMs that serve callers.
    pub vms: Vec<Member>,
    /// Number of VMs that are alive.
    pub alive: usize,
    /// Number of VMs that are announced, or were until recently.
    pub known: usize,
}

/// A view and the time since which it holds.
#[derive(Debug)]
struct Period {
    since: Instant,
    /// The view, with its VMs sorted.
    view: View,
}

/// Recent views of an entry VM, back to [`STABILIZATION_DELAY`] ago.
#[derive(Debug, Default)]
pub struct Views {
    /// Periods without gaps, oldest first.
    periods: VecDeque<Period>,
    /// When the latest view was last confirmed.
    confirmed: Option<Instant>,
}

impl Views {
    /// Records the view at `now`.
    pub fn note(&mut self, mut view: View, now: Instant) {
        if !self.is_fresh(now) {
            self.periods.clear();
        }
        self.confirmed = Some(now);
        view.vms.sort_unstable();
        if self.periods.back().is_none_or(|period| period.view != view) {
            self.periods.push_back(Period { since: now, view });
        }
        while self
            .periods
            .get(1)
            .is_some_and(|period| is_past_delay(period, now))
        {
            self.periods.pop_front();
        }
    }

    /// Returns whether the VM `own` may send requests to the cold `server`.
    #[must_use]
    pub fn owns(&self, own: u64, server: Member, now: Instant) -> bool {
        let is_stable = self
            .periods
            .front()
            .is_some_and(|period| is_past_delay(period, now));
        let ranks_highest = |period: &Period| highest_rank(&period.view.vms, server) == Some(own);
        self.is_fresh(now) && is_stable && self.periods.iter().all(ranks_highest)
    }

    /// Returns the VM that ranks highest for `server` in the latest view.
    #[must_use]
    pub fn owner(&self, server: Member) -> Option<u64> {
        highest_rank(&self.periods.back()?.view.vms, server)
    }

    /// Returns the VMs that rank highest and second highest for `subject` in the latest view.
    #[must_use]
    pub fn owner_and_standby(&self, subject: Member) -> [Option<u64>; 2] {
        let Some(period) = self.periods.back() else {
            return [None; 2];
        };
        let owner = highest_rank(&period.view.vms, subject);
        let others = period.view.vms.iter().copied();
        let others: Vec<Member> = others.filter(|vm| Some(vm.name) != owner).collect();
        [owner, highest_rank(&others, subject)]
    }

    /// Returns the ratio of known VMs that are alive: the minimum over the recent views.
    #[must_use]
    pub fn alive_ratio(&self) -> f64 {
        let ratios = self.periods.iter().map(|period| period.view.alive_ratio());
        ratios.reduce(f64::min).unwrap_or_default()
    }

    /// Returns whether the latest view is not stale.
    #[must_use]
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.confirmed.is_some_and(|at| now < at + STALE_AFTER)
    }
}

impl View {
    fn alive_ratio(&self) -> f64 {
        to_f64(self.alive) / to_f64(self.known.max(self.alive).max(1))
    }
}

/// Returns the requests per second that an owner may send to a cold server. `limit` applies to all VMs
/// together; `alive_ratio` is the ratio of VMs that the owner knows to be alive.
#[must_use]
pub fn max_per_s(limit: f64, alive_ratio: f64) -> f64 {
    limit * OWNER_RATIO * alive_ratio
}

fn is_past_delay(period: &Period, now: Instant) -> bool {
    period.since + STABILIZATION_DELAY <= now
}

/// Returns the VM that ranks highest for `server`: one in its zone, else in its region, else any.
fn highest_rank(vms: &[Member], server: Member) -> Option<u64> {
    let rank = |vm: &Member| {
        let proximity = u8::from(vm.region == server.region) + u8::from(vm.zone == server.zone);
        (
            proximity,
            xxh3_64_with_seed(&vm.name.to_le_bytes(), server.name),
        )
    };
    vms.iter().max_by_key(|vm| rank(vm)).map(|vm| vm.name)
}
