//! Which entry VMs connect to a backend server, and with how many connections.

use std::cmp::Reverse;
use std::net::SocketAddr;

use crate::rank;

/// Connections that one backend server gets from all entry VMs together.
pub const CONNECTIONS_PER_SERVER: u32 = 360;

/// An entry VM as the rank sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Vm<'a> {
    /// Unique name.
    pub name: &'a str,
    /// Zone that it stands in.
    pub zone: &'a str,
}

/// Returns the most connections that the VM called `name` opens to `server`, which stands in
/// `zone`, given all entry VMs. Over all VMs the sum is [`CONNECTIONS_PER_SERVER`].
///
/// VMs of the server's own zone come first, so that none of them is without a connection. A VM
/// that joins or leaves changes the share of few others.
#[must_use]
pub fn max_connections(name: &str, server: SocketAddr, zone: &str, vms: &[Vm]) -> u32 {
    let Some(own) = vms.iter().find(|vm| vm.name == name) else {
        return 0;
    };
    let key = server.to_string();
    let order = |vm: &Vm| {
        let rank = rank(key.as_bytes(), vm.name.as_bytes());
        (vm.zone != zone, Reverse(rank))
    };
    let place = order(own);
    let before = vms.iter().filter(|vm| order(vm) < place).count();
    share(before, vms.len())
}

/// Returns the share of the VM at `place` among `count` VMs.
fn share(place: usize, count: usize) -> u32 {
    let place = u32::try_from(place).unwrap_or(u32::MAX);
    let count = u32::try_from(count).unwrap_or(u32::MAX).max(1);
    CONNECTIONS_PER_SERVER / count + u32::from(place < CONNECTIONS_PER_SERVER % count)
}
