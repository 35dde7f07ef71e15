//! Whom a control daemon asks next, and when.

use std::net::SocketAddr;

use rand::Rng;
use timer::Moment;
use wire::view::{Entry, MemberState};

use crate::rendezvous;
use crate::state::State;
use crate::tree::{DOWN_ZONES_PER_ROUND, Place, Tree, ZONES_PER_ROUND, across};
use crate::view::Scope;

/// Time between two rounds, in milliseconds.
const ROUND_MS: u64 = 1_000;

/// Time between two rounds of a VM that stands two steps below the lead, in milliseconds. Those
/// that it asks answer fewer VMs than the lead, and a proof of freshness ages on each step.
const LOW_ROUND_MS: u64 = 700;

/// Time between two rounds while the platform is down, when proofs of freshness come from other
/// zones, in milliseconds.
const DOWN_ROUND_MS: u64 = 250;

/// Time for which a VM that did not answer is not asked again, in milliseconds.
const FAILED_MS: u64 = 3_000;

/// Time without an exchange after which a daemon turns to the platform itself, in milliseconds.
const ALONE_MS: u64 = 3_000;

impl State {
    /// Returns the time to wait until the next round, in milliseconds.
    #[must_use]
    pub fn round_ms(&self, now: Moment) -> u64 {
        if self.is_store_down(now) {
            return DOWN_ROUND_MS;
        }
        if self.tree(now).is_low() {
            LOW_ROUND_MS
        } else {
            ROUND_MS
        }
    }

    /// Returns the VMs to ask in this round: the VM above in the zone's tree, or some in other
    /// zones at the root. In place of one that failed lately stands another of the zone, or one
    /// of another zone if there is none.
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
            names = self.across(zones, now, rng);
        } else {
            let parent = tree.parent().filter(|name| self.is_asked(name, now));
            let other = || tree.any_other(rng).filter(|name| self.is_asked(name, now));
            names.extend(parent.or_else(other));
        }
        if names.is_empty() {
            names = self.across(1, now, rng);
        }
        names
            .into_iter()
            .filter_map(|name| self.roster.entry(name))
            .cloned()
            .collect()
    }

    /// Returns the VMs that a withdrawal is sent to at once: those that this one asks and those
    /// that ask it.
    #[must_use]
    pub fn neighbors(&self, now: Moment, rng: &mut impl Rng) -> Vec<Entry> {
        let tree = self.tree(now);
        let children = tree.children().iter();
        let children = children.filter_map(|name| self.roster.entry(name)).cloned();
        let mut neighbors = self.targets(now, rng);
        neighbors.extend(children);
        neighbors
    }

    /// Notes that `name` did not answer.
    pub fn note_failed(&mut self, name: &str, now: Moment) {
        self.failed.insert(name.to_owned(), now);
    }

    /// Returns whether this daemon watches the platform: it is a watcher of its zone, knows no
    /// VMs yet, or has reached no other daemon for a while.
    #[must_use]
    pub fn is_watching(&self, now: Moment) -> bool {
        let synced_at = self.synced_at.unwrap_or(self.started);
        let alone = now.ms_since(synced_at) > ALONE_MS;
        self.roster.is_empty() || alone || (!self.is_leaving() && self.tree(now).is_watcher())
    }

    /// Returns this daemon's place among the candidates for a lease; absent if it is none.
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
                self.lead(Scope::Zone, now)?;
                position("", self.roster.zones(), &self.zone)
            }
        }
    }

    /// Returns whether the lead is known to be gone or going, though its term may run on.
    #[must_use]
    pub fn distrusts(&self, name: &str) -> bool {
        let listed = self.roster.entry(name).map(|entry| entry.state);
        let listed = listed.unwrap_or(MemberState::Leaving);
        name != self.vm.name && self.member.state(name, listed) != MemberState::Live
    }

    /// Returns the other VMs of the zone that may be probed: those listed and those kept.
    #[must_use]
    pub fn probed(&self, now: Moment) -> Vec<Entry> {
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
        let holder = self.lead_holder(Scope::Zone, now);
        let lead = holder.map(|holder| holder.name.as_str());
        Tree::new(&self.zone, live, lead, &self.vm.name)
    }

    fn across(&self, count: usize, now: Moment, rng: &mut impl Rng) -> Vec<&str> {
        let asked = |entry: &&Entry| self.is_asked(&entry.name, now);
        let places = self.roster.entries().filter(asked).map(|entry| Place {
            name: &entry.name,
            zone: &entry.zone,
        });
        let places: Vec<Place> = places.collect();
        let lead_of = |zone: &str| self.other_leads.get(zone).map(String::as_str);
        across(&self.zone, &places, lead_of, count, rng)
    }

    fn is_asked(&self, name: &str, now: Moment) -> bool {
        let failed_at = self.failed.get(name);
        let live = !self.distrusts(name);
        live && failed_at.is_none_or(|at| now.ms_since(*at) > FAILED_MS)
    }
}

fn position<'a>(topic: &str, names: impl IntoIterator<Item = &'a str>, own: &str) -> Option<usize> {
    let order = rendezvous::order(topic, names);
    order.iter().position(|name| *name == own)
}
