//! When a withdrawal is confirmed by the daemons themselves.
//!
//! A withdrawal is confirmed by quorum when a majority of the listed VMs in each of a majority
//! of the zones has received it, within [`CONFIRM_MS`] and on one edition of the list. Two such
//! quorums of one list always share a VM.

use std::collections::BTreeSet;

use wire::roster::Version;
use wire::sync::Receipt;

/// Time within which receipts of a withdrawal make it confirmed, in milliseconds.
pub const CONFIRM_MS: u64 = 2_000;

/// A VM in the platform's list, with its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listed<'a> {
    /// Name of the VM.
    pub name: &'a str,
    /// Its zone.
    pub zone: &'a str,
}

/// Returns the greatest value that more than half of `values` reach, if they have one.
pub fn majority<T: Ord>(values: impl IntoIterator<Item = Option<T>>) -> Option<T> {
    let mut values: Vec<Option<T>> = values.into_iter().collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    let middle = values.len() / 2;
    values.into_iter().nth(middle).flatten()
}

/// Returns whether `receipts`, which all arrived within [`CONFIRM_MS`] of the first sending,
/// confirm a withdrawal for the VMs in `listed`, the list of `edition`.
#[must_use]
pub fn is_confirmed<'a>(
    receipts: &[Receipt],
    edition: Version,
    listed: impl IntoIterator<Item = Listed<'a>>,
) -> bool {
    let listed: Vec<Listed> = listed.into_iter().collect();
    let received: BTreeSet<&str> = receipts
        .iter()
        .filter(|receipt| receipt.roster == edition)
        .map(|receipt| receipt.from.name.as_str())
        .collect();
    let zones: BTreeSet<&str> = listed.iter().map(|vm| vm.zone).collect();
    let confirms = |zone: &str| {
        let inside = listed.iter().filter(|vm| vm.zone == zone);
        majority(inside.map(|vm| received.contains(vm.name).then_some(())))
    };
    majority(zones.into_iter().map(confirms)).is_some()
}
