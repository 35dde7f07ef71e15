//! Selection of the backend server for a request without a recent success.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use pick::rank;
use timer::Moment;

use crate::Fingerprint;

/// Maximum number of cells, and therefore of homes that a request has at the same time.
pub const MAX_CELLS: usize = 3;

/// A backend server that could run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Server<'a> {
    /// Address of the server.
    pub addr: SocketAddr,
    /// Zone of the server.
    pub zone: &'a str,
    /// Cell of the server's region, as returned by [`cells`].
    pub cell: usize,
    /// Start of the server's outage; `None` if the server responds.
    pub down_since: Option<Moment>,
}

/// Returns the cell of each of `regions`, in the same order. If there are more regions than
/// cells, regions that are adjacent in name order share a cell.
#[must_use]
pub fn cells(regions: &[&str]) -> Vec<usize> {
    let sorted: BTreeSet<&str> = regions.iter().copied().collect();
    let sorted: Vec<&str> = sorted.into_iter().collect();
    let cell = |region: &&str| {
        let index = sorted.binary_search(region).unwrap_or_default();
        index * MAX_CELLS.min(sorted.len()) / sorted.len().max(1)
    };
    regions.iter().map(cell).collect()
}

/// Returns the servers of the request's home zone in `cell`, in descending order of rank. The
/// home zone is the zone of the highest rank among those that have servers.
pub(crate) fn homes<'a>(
    fingerprint: &Fingerprint,
    cell: usize,
    servers: &[Server<'a>],
) -> Vec<Server<'a>> {
    let cell_servers = servers.iter().filter(|server| server.cell == cell);
    let zones: BTreeSet<&str> = cell_servers.map(|server| server.zone).collect();
    let key = fingerprint.bytes();
    let zone = zones.iter().max_by_key(|zone| rank(key, zone.as_bytes()));
    zone.map_or_else(Vec::new, |zone| ranked_in_zone(fingerprint, zone, servers))
}

/// Returns the servers of `zone`, in descending order of rank.
pub(crate) fn ranked_in_zone<'a>(
    fingerprint: &Fingerprint,
    zone: &str,
    servers: &[Server<'a>],
) -> Vec<Server<'a>> {
    let zone_servers = servers.iter().filter(|server| server.zone == zone);
    let mut homes: Vec<Server> = zone_servers.copied().collect();
    let key = fingerprint.bytes();
    homes.sort_by_cached_key(|server| Reverse(rank(key, server.addr.to_string().as_bytes())));
    homes
}
