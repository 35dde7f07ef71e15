//! Lists of the live VMs by zone, as they are sent and received.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Instant;

use super::{FULL_REPORT_INTERVAL, Membership};
use crate::report::{List, Member, Scope};

/// A received list of the live VMs of a zone.
#[derive(Debug)]
pub(super) struct Known {
    /// The list; its VMs are always present and may be of an earlier version.
    pub(super) list: List,
    /// When a message with the list last arrived.
    pub(super) at: Instant,
}

/// What the messages of a round listed.
#[derive(Debug, Default)]
pub(super) struct Sent {
    /// Versions of the lists, by zone and leader.
    versions: HashMap<(String, u64), u32>,
    targets: Vec<SocketAddr>,
}

impl Membership {
    /// Applies lists of live VMs. A list without VMs confirms the known one; if that has another
    /// version, it is kept until the VMs are sent again.
    pub(super) fn receive_lists(&mut self, lists: Vec<List>, now: Instant) {
        for list in lists {
            let zone = list.zone.clone();
            match (self.lists.get_mut(&zone), &list.vms) {
                (Some(known), None) => {
                    known.list.leader = list.leader;
                    known.list.revision = list.revision;
                    known.at = now;
                }
                (None, None) => {}
                (_, Some(_)) => {
                    self.lists.insert(zone.clone(), Known { list, at: now });
                }
            }
            self.note_alive(&zone, now);
        }
    }

    /// Notes that the listed VMs of `zone` are alive.
    pub(super) fn note_alive(&mut self, zone: &str, now: Instant) {
        let Some(known) = self.lists.get(zone) else {
            return;
        };
        let vms = known.list.vms.iter().flatten();
        let alive: HashSet<u64> = vms.map(|(vm, _)| *vm).collect();
        for peer in self.peers.values_mut() {
            if alive.contains(&peer.hash) {
                peer.last_seen = now;
            }
        }
    }

    /// Returns the list of this zone's live VMs, as its leader.
    pub(super) fn list_own_zone(&mut self, vms: &[Member]) -> List {
        let own = (self.hash)(&self.name);
        let revision = vms.iter().find(|member| member.vm == own);
        let revision = revision.map_or(0, |member| member.revision);
        let mut vms: Vec<(u64, bool)> = vms.iter().map(|vm| (vm.vm, vm.is_ready)).collect();
        vms.sort_unstable();
        if self.own_list.0 != vms {
            self.own_list = (vms.clone(), self.own_list.1.wrapping_add(1));
        }
        List {
            zone: self.own.zone.clone(),
            leader: own,
            version: self.own_list.1,
            revision,
            vms: Some(vms),
        }
    }

    /// Returns the lists without the VMs that were sent before to the same `targets`, and records what
    /// is sent. A part of the unchanged lists is resent each round.
    pub(super) fn without_known_vms(
        &mut self,
        scope: Scope,
        mut lists: Vec<List>,
        targets: &[SocketAddr],
    ) -> Vec<List> {
        lists.sort_unstable_by(|a, b| a.zone.cmp(&b.zone));
        let previous = self.last_sent.remove(&scope).unwrap_or_default();
        let mut sent = Sent {
            versions: HashMap::new(),
            targets: targets.to_vec(),
        };
        for (index, list) in lists.iter_mut().enumerate() {
            let key = (list.zone.clone(), list.leader);
            let is_due = (self.round + index).is_multiple_of(FULL_REPORT_INTERVAL);
            let is_known = previous.versions.get(&key) == Some(&list.version);
            if is_known && !is_due && previous.targets == sent.targets {
                list.vms = None;
            }
            sent.versions.insert(key, list.version);
        }
        self.last_sent.insert(scope, sent);
        lists
    }

    /// Returns the listed VMs of the zones that match `filter`. Of each zone, only the leader's store
    /// revision is known.
    pub(super) fn listed(&self, filter: impl Fn(&str) -> bool) -> impl Iterator<Item = Member> {
        let lists = self.lists.values().map(|known| &known.list);
        let lists = lists.filter(move |list| filter(&list.zone));
        lists.flat_map(|list| {
            let vms = list.vms.iter().flatten();
            vms.map(|(vm, is_ready)| Member {
                vm: *vm,
                is_ready: *is_ready,
                revision: if *vm == list.leader { list.revision } else { 0 },
            })
        })
    }
}
