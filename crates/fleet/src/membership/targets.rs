//! Which VMs get messages that are sent between the rounds of reports.

use std::net::SocketAddr;
use std::time::Instant;

use super::Membership;

impl Membership {
    /// Returns the address of the leader of this zone for messages; absent if it is unknown or this VM is
    /// the leader.
    #[must_use]
    pub fn leader_addr(&self, now: Instant) -> Option<SocketAddr> {
        self.leader_peer().filter(|_| !self.is_leader(now))
    }

    /// Returns the addresses of the other zones' leaders for messages, as far as this VM heard of them as a
    /// leader.
    #[must_use]
    pub fn other_leaders(&self) -> Vec<SocketAddr> {
        let senders = self.zone_reports.values().map(|received| &received.sender);
        let leaders = senders.filter_map(|sender| self.peers.get(sender));
        leaders.map(|peer| peer.announcement.peer).collect()
    }

    /// Returns the addresses of the VMs of this zone that report to this VM.
    #[must_use]
    pub fn reporting_vms(&self) -> Vec<SocketAddr> {
        let vms = self.vm_reports.keys();
        let peers = vms.filter_map(|vm| self.peers.get(vm));
        peers.map(|peer| peer.announcement.peer).collect()
    }
}
