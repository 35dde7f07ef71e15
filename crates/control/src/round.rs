//! Schedule and targets of the exchange rounds of a control daemon.

use std::net::SocketAddr;

use rand::Rng;
use timer::Moment;
use wire::view::{Entry, MemberState};

use crate::rendezvous;
use crate::state::State;
use crate::tree::{Candidate, DOWN_ZONES_PER_ROUND, Tree, ZONES_PER_ROUND, sample_other_zones};
use crate::view::Scope;

/// Interval of rounds, in milliseconds.
const ROUND_MS: u64 = 1_000;

/// Interval of rounds of a VM two levels below the leader, in milliseconds. It is shorter because
/// the parents of these VMs have fewer requests to respond to than the leader, and a proof of
/// freshness ages at each level.
const DEEP_ROUND_MS: u64 = 700;

/// Interval of rounds while the platform is down and proofs of freshness come from other zones, in
/// milliseconds.
const DOWN_ROUND_MS: u64 = 250;

/// Time for which a VM that did not respond is not contacted again, in milliseconds.
const RETRY_DELAY_MS: u64 = 3_000;

/// Time without an exchange after which a daemon watches the platform itself, in milliseconds.
const ISOLATED_MS: u64 = 3_000;

impl State {
    /// Returns the time to wait until the next round, in milliseconds.
    #[must_use]
    pub fn round_ms(&self, now: Moment) -> u64 {
        if self.is_store_down(now) {
            return DOWN_ROUND_MS;
        }
        if self.tree(now).is_deep() {
            DEEP_ROUND_MS
        } else {
            ROUND_MS
        }
    }

    /// Returns the VMs to contact in this round: the parent in the zone's tree, or VMs of other zones
    /// if this VM is the root. A parent that is unavailable is replaced by a random VM of the zone, or
    /// by a VM of another zone if that one is unavailable as well.
    #[must_use]
    pub fn targets(&self, now: Moment, rng: &mut impl Rng) -> Vec<Entry> {
        let tree = self.tree(now);
        let mut names = Vec::new();
        if tree.is_root() {
            let down = self.is_store_down(now);
            let zones = if down {
                DOWN_ZONES_PER_ROUND
            } else {
                ZONES_PER_ROUND
            };
            names = self.sample_other_zones(zones, now, rng);
        } else {
            let parent = tree.parent().filter(|name| self.may_contact(name, now));
            let other = || {
                tree.any_other(rng)
                    .filter(|name| self.may_contact(name, now))
            };
            names.extend(parent.or_else(other));
        }
        if names.is_empty() {
            names = self.sample_other_zones(1, now, rng);
        }
        names
            .into_iter()
            .filter_map(|name| self.roster.entry(name))
            .cloned()
            .collect()
    }

    /// Returns the VMs that a withdrawal is forwarded to at once: the targets and the children of this
    /// VM.
    #[must_use]
    pub fn neighbors(&self, now: Moment, rng: &mut impl Rng) -> Vec<Entry> {
        let tree = self.tree(now);
        let children = tree.children().iter();
        let children = children.filter_map(|name| self.roster.entry(name)).cloned();
        let mut neighbors = self.targets(now, rng);
        neighbors.extend(children);
        neighbors
    }

    /// Notes that `name` did not respond.
    pub fn note_failed(&mut self, name: &str, now: Moment) {
        self.failed_at.insert(name.to_owned(), now);
    }

    /// Returns whether this daemon watches the platform: it is a watcher of its zone, has no list of
    /// VMs yet, or has reached no other daemon for `ISOLATED_MS`.
    #[must_use]
    pub fn is_watching(&self, now: Moment) -> bool {
        let synced_at = self.synced_at.unwrap_or(self.started);
        let isolated = now.ms_since(synced_at) > ISOLATED_MS;
        self.roster.is_empty() || isolated || (!self.is_leaving() && self.tree(now).is_watcher())
    }

    /// Returns this daemon's position among the candidates for a lease; `None` if it is not a
    /// candidate.
    #[must_use]
    pub fn rank(&self, scope: Scope, now: Moment) -> Option<usize> {
        if self.is_leaving() || self.roster.is_empty() {
            return None;
        }
        match scope {
            Scope::Zone => {
                let live = self.live_in(&self.zone).map(|entry| entry.name.as_str());
                position(&self.zone, live, &self.vm.name)
            }
            Scope::Fleet => {
                self.leader_term(Scope::Zone, now)?;
                position("", self.roster.zones(), &self.zone)
            }
        }
    }

    /// Returns whether the VM `name` is another VM that is not live, although its term as a leader may
    /// not have expired.
    #[must_use]
    pub fn is_unavailable(&self, name: &str) -> bool {
        let listed = self.roster.entry(name).map(|entry| entry.state);
        let listed = listed.unwrap_or(MemberState::Leaving);
        name != self.vm.name && self.member.standing(name, listed) != MemberState::Live
    }

    /// Returns the other VMs of the zone to probe, listed or not.
    #[must_use]
    pub fn probe_targets(&self, now: Moment) -> Vec<Entry> {
        let mut entries = self.entries(now);
        entries.retain(|entry| entry.zone == self.zone && entry.name != self.vm.name);
        entries
    }

    /// Returns the name of the VM whose control daemon is at `addr`.
    #[must_use]
    pub fn name_at(&self, addr: SocketAddr) -> Option<String> {
        let mut entries = self.roster.entries();
        let entry = entries.find(|entry| entry.peer == addr)?;
        Some(entry.name.clone())
    }

    fn tree(&self, now: Moment) -> Tree<'_> {
        let live = self.live_in(&self.zone).map(|entry| entry.name.as_str());
        let holder = self.lease_holder(Scope::Zone, now);
        let leader = holder.map(|holder| holder.name.as_str());
        Tree::new(&self.zone, live, leader, &self.vm.name)
    }

    fn sample_other_zones(&self, count: usize, now: Moment, rng: &mut impl Rng) -> Vec<&str> {
        let available = |entry: &&Entry| self.may_contact(&entry.name, now);
        let candidates = self
            .roster
            .entries()
            .filter(available)
            .map(|entry| Candidate {
                name: &entry.name,
                zone: &entry.zone,
            });
        let candidates: Vec<Candidate> = candidates.collect();
        let leader_of = |zone: &str| self.other_leaders.get(zone).map(String::as_str);
        sample_other_zones(&self.zone, &candidates, leader_of, count, rng)
    }

    fn may_contact(&self, name: &str, now: Moment) -> bool {
        let failed_at = self.failed_at.get(name);
        let live = !self.is_unavailable(name);
        live && failed_at.is_none_or(|at| now.ms_since(*at) > RETRY_DELAY_MS)
    }
}

fn position<'a>(topic: &str, names: impl IntoIterator<Item = &'a str>, own: &str) -> Option<usize> {
    let order = rendezvous::order(topic, names);
    order.iter().position(|name| *name == own)
}
