//! Ranks of the VMs, and which one leads its zone.

use std::net::SocketAddr;
use std::time::Instant;

use super::{LEADER_TIMEOUT, MEMBER_TIMEOUT, Membership, Peer};

/// Rank of a VM: its capacity, then the hash of its name.
type Rank = (u32, u64);

impl Peer {
    pub(super) fn rank(&self) -> Rank {
        (self.announcement.capacity, self.hash)
    }
}

impl Membership {
    pub(super) fn own_rank(&self) -> Rank {
        (self.own.capacity, (self.hash)(&self.name))
    }

    pub(super) fn rank_of(&self, vm: &str) -> Option<Rank> {
        self.peers.get(vm).map(Peer::rank)
    }

    /// Returns whether this VM is the leader of its zone.
    #[must_use]
    pub fn is_leader(&self, now: Instant) -> bool {
        let own = self.own_rank();
        let is_higher = |peer: &&Peer| {
            let is_alive = peer
                .last_message
                .is_some_and(|at| now.duration_since(at) < LEADER_TIMEOUT);
            is_alive && peer.announcement.zone == self.own.zone && peer.rank() > own
        };
        !self.peers.values().any(|peer| is_higher(&peer))
    }

    /// Returns the address of the leader's state service, unless this VM is the leader.
    #[must_use]
    pub fn leader_state_addr(&self, now: Instant) -> Option<SocketAddr> {
        let fleet = self
            .fleet_report
            .as_ref()
            .filter(|_| !self.is_leader(now))?;
        self.peers.get(&fleet.sender)?.announcement.state
    }

    /// Returns the leader's address for messages: that of the last fleet report's sender.
    pub(super) fn leader_peer(&self) -> Option<SocketAddr> {
        let fleet = self.fleet_report.as_ref()?;
        Some(self.peers.get(&fleet.sender)?.announcement.peer)
    }

    /// Returns the message addresses of a zone's other VMs that match `filter`, highest rank first.
    pub(super) fn ranked(&self, zone: &str, filter: impl Fn(&&Peer) -> bool) -> Vec<SocketAddr> {
        let in_zone = self
            .peers
            .values()
            .filter(|peer| peer.announcement.zone == zone);
        let in_zone = in_zone.filter(filter);
        let mut ranked: Vec<&Peer> = in_zone.collect();
        ranked.sort_by_key(|peer| std::cmp::Reverse(peer.rank()));
        ranked.iter().map(|peer| peer.announcement.peer).collect()
    }

    /// Returns the number of live VMs of this zone that rank higher than this one.
    #[must_use]
    pub fn higher_ranks(&self, now: Instant) -> usize {
        let own = self.own_rank();
        let is_higher = |peer: &&Peer| {
            let is_alive = now.duration_since(peer.last_seen) < MEMBER_TIMEOUT;
            is_alive && peer.announcement.zone == self.own.zone && peer.rank() > own
        };
        self.peers.values().filter(is_higher).count()
    }

    /// Returns the state service addresses of the `count` highest known ranks of this zone, without
    /// this VM.
    #[must_use]
    pub fn highest_state_addrs(&self, count: usize) -> Vec<SocketAddr> {
        let highest = self.highest(&self.own.zone, count);
        let addrs = highest.into_iter().map(|(_, peer)| peer.announcement.state);
        addrs.flatten().collect()
    }

    pub(super) fn highest(&self, zone: &str, count: usize) -> Vec<(&String, &Peer)> {
        let peers = self.peers.iter();
        let mut ranked: Vec<(&String, &Peer)> = peers
            .filter(|(_, peer)| peer.announcement.zone == zone)
            .collect();
        ranked.sort_by_key(|(_, peer)| std::cmp::Reverse(peer.rank()));
        ranked.truncate(count);
        ranked
    }
}
