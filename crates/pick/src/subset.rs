//! Distribution of the connections of a backend server over the entry VMs.

use std::cmp::Reverse;
use std::net::SocketAddr;

use crate::rank;

/// Connections that one backend server gets from all entry VMs together.
pub const CONNECTIONS_PER_SERVER: u32 = 360;

/// An entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Vm<'a> {
    /// Unique name.
    pub name: &'a str,
    /// Zone of the VM.
    pub zone: &'a str,
}

/// Returns the maximum number of connections that the VM `name` opens to `server` in `zone`, given
/// all entry VMs. The sum over all VMs is [`CONNECTIONS_PER_SERVER`].
///
/// VMs in the zone of the server rank first, so that each of them has a connection. A VM that joins
/// or leaves changes the share of few others.
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
    let own_order = order(own);
    let position = vms.iter().filter(|vm| order(vm) < own_order).count();
    share(position, vms.len())
}

/// Returns the share of the VM at `position` in the order of `count` VMs.
fn share(position: usize, count: usize) -> u32 {
    let position = u32::try_from(position).unwrap_or(u32::MAX);
    let count = u32::try_from(count).unwrap_or(u32::MAX).max(1);
    CONNECTIONS_PER_SERVER / count + u32::from(position < CONNECTIONS_PER_SERVER % count)
}
