//! Dissemination tree of a zone: which VMs watch the platform and which VM each VM contacts.
//!
//! All VMs of a zone compute the same order of its VMs: the leader first, then by rendezvous
//! hashing. The order defines a tree with [`FANOUT`] children per VM, and each VM contacts its
//! parent, so that the leader responds to [`FANOUT`] VMs instead of its whole zone. VMs with
//! different views of the zone may compute different positions, but each still contacts a VM.

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::rendezvous;

/// Maximum number of children of a VM.
pub const FANOUT: usize = 6;

/// Number of other zones that a leader contacts in each round.
pub const ZONES_PER_ROUND: usize = 1;

/// Number of other zones that a leader contacts in each round while the platform is down.
pub const DOWN_ZONES_PER_ROUND: usize = 2;

/// Number of VMs of a zone that watch the platform: the leader and one standby.
const WATCHERS: usize = 2;

/// A VM that may be contacted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Name of the VM.
    pub name: &'a str,
    /// Zone of the VM.
    pub zone: &'a str,
}

/// The tree of a zone, with this VM's position in it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tree<'a> {
    order: Vec<&'a str>,
    /// Position of this VM in `order`.
    own: usize,
}

impl<'a> Tree<'a> {
    /// Creates the tree of `names`, the live VMs of `zone`, with `leader` as its root. This VM, `own`,
    /// is added if it is not among them.
    #[must_use]
    pub fn new(
        zone: &str,
        names: impl IntoIterator<Item = &'a str>,
        leader: Option<&str>,
        own: &'a str,
    ) -> Self {
        let mut names: Vec<&str> = names.into_iter().collect();
        if !names.contains(&own) {
            names.push(own);
        }
        let mut order = rendezvous::order(zone, names);
        if let Some(at) = order.iter().position(|name| Some(*name) == leader) {
            order[..=at].rotate_right(1);
        }
        let position = order.iter().position(|name| *name == own);
        Self {
            order,
            own: position.unwrap_or(0),
        }
    }

    /// Returns whether this VM is the root, which exchanges state with other zones.
    #[must_use]
    pub fn is_root(&self) -> bool {
        self.own == 0
    }

    /// Returns whether this VM watches the platform.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.own < WATCHERS
    }

    /// Returns whether the parent of this VM is not the root.
    #[must_use]
    pub fn is_deep(&self) -> bool {
        self.own > FANOUT
    }

    /// Returns the parent of this VM; `None` for the root.
    #[must_use]
    pub fn parent(&self) -> Option<&'a str> {
        let parent_index = self.own.checked_sub(1)? / FANOUT;
        Some(self.order[parent_index])
    }

    /// Returns the children of this VM.
    #[must_use]
    pub fn children(&self) -> &[&'a str] {
        let first = (self.own * FANOUT + 1).min(self.order.len());
        let end = (first + FANOUT).min(self.order.len());
        &self.order[first..end]
    }

    /// Returns another random VM of the zone, to contact when the parent does not respond.
    #[must_use]
    pub fn any_other(&self, rng: &mut impl Rng) -> Option<&'a str> {
        let others: Vec<&str> = self.others().collect();
        others.choose(rng).copied()
    }

    /// Returns the other VMs of the zone.
    pub fn others(&self) -> impl Iterator<Item = &'a str> {
        let own = self.order[self.own];
        self.order.iter().copied().filter(move |name| *name != own)
    }
}

/// Returns the VM to contact in each of up to `count` random zones other than `zone`: the leader
/// returned by `leader_of`, or the first VM by rendezvous hashing.
pub fn sample_other_zones<'a>(
    zone: &str,
    candidates: &[Candidate<'a>],
    leader_of: impl Fn(&str) -> Option<&'a str>,
    count: usize,
    rng: &mut impl Rng,
) -> Vec<&'a str> {
    let mut zones: Vec<&str> = candidates.iter().map(|candidate| candidate.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    zones.retain(|other| *other != zone);
    let chosen: Vec<&&str> = zones.choose_multiple(rng, count).collect();
    let target = |zone: &&&str| {
        let names = candidates
            .iter()
            .filter(|candidate| candidate.zone == **zone);
        let names: Vec<&str> = names.map(|candidate| candidate.name).collect();
        let leader = leader_of(zone).filter(|leader| names.contains(leader));
        leader.or_else(|| rendezvous::order(zone, names).first().copied())
    };
    chosen.iter().filter_map(target).collect()
}
