//! What VMs that start and leaders tell each other about the VMs of a zone.

use std::time::Instant;

use super::{Membership, STANDBY_RANKS};
use crate::report::Announced;

impl Membership {
    /// Adds a VM that has just started, and returns the highest ranks of its zone, from which it hears
    /// of its leader.
    pub fn introduce(&mut self, newcomer: Announced, now: Instant) -> Vec<Announced> {
        let Announced { vm, announcement } = newcomer;
        let zone = announcement.zone.clone();
        self.update_peer(&vm, announcement, now);
        let own = Announced {
            vm: self.name.clone(),
            announcement: self.own.clone(),
        };
        let highest = self.highest(&zone, STANDBY_RANKS + 1).into_iter();
        let highest = highest.map(|(vm, peer)| Announced {
            vm: vm.clone(),
            announcement: peer.announcement.clone(),
        });
        let own = (self.own.zone == zone).then_some(own);
        let others = highest.chain(own);
        others.filter(|announced| announced.vm != vm).collect()
    }

    /// Adds VMs that another VM knows.
    pub fn note_introduced(&mut self, vms: Vec<Announced>, now: Instant) {
        for Announced { vm, announcement } in vms {
            self.update_peer(&vm, announcement, now);
        }
    }

    /// Returns the VMs of this zone that this VM hears of as its leader, including itself, by name.
    #[must_use]
    pub fn zone_vms(&self) -> Vec<Announced> {
        let heard = self.vm_reports.keys();
        let others = heard.filter_map(|vm| Some((vm, self.peers.get(vm)?)));
        let others = others.map(|(vm, peer)| (vm, &peer.announcement));
        let all = others.chain([(&self.name, &self.own)]);
        let mut all: Vec<Announced> = all
            .map(|(vm, announcement)| Announced {
                vm: vm.clone(),
                announcement: announcement.clone(),
            })
            .collect();
        all.sort_unstable_by(|a, b| a.vm.cmp(&b.vm));
        all
    }
}
