//! Detection that an entry VM itself is partitioned from the backend servers.
//!
//! Load pattern: a VM loses its links to all backend servers, while callers and other VMs still reach it.
//! Each request would wait for connections until the VM has found every server unreachable, which takes
//! long at a VM with few requests and many servers. Failures of several servers in different zones,
//! without a response from any server in between, are taken for a partition of the VM. One response ends
//! it: silence of servers that are only busy is no failure, since they still accept connections.

use std::collections::HashSet;

/// Number of servers that have to be unreachable.
const MIN_SERVERS: usize = 3;

/// Number of zones that they have to be in, if there are so many. One zone may lose power as a whole.
const MIN_ZONES: usize = 2;

/// Servers that were found unreachable since the latest response of any server.
#[derive(Debug, Default)]
pub struct Detector {
    servers: HashSet<u64>,
    zones: HashSet<u64>,
}

impl Detector {
    /// Records that a server could not be reached. The arguments are hashes of its name and its zone's.
    pub fn note_unreachable(&mut self, server: u64, zone: u64) {
        self.servers.insert(server);
        self.zones.insert(zone);
    }

    /// Records that a server responded or accepted a connection.
    pub fn note_reached(&mut self) {
        self.servers.clear();
        self.zones.clear();
    }

    /// Returns whether so many servers were lost that their zones matter.
    #[must_use]
    pub fn has_lost_several(&self) -> bool {
        self.servers.len() >= MIN_SERVERS
    }

    /// Returns whether the VM is probably partitioned from all servers, which are in `zones` zones.
    #[must_use]
    pub fn is_partitioned(&self, zones: usize) -> bool {
        self.has_lost_several() && self.zones.len() >= MIN_ZONES.min(zones)
    }
}
