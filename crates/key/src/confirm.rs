//! Confirmation of key withdrawals by a quorum of control daemons.
//!
//! A withdrawal is confirmed when, within [`CONFIRM_MS`] and for a single edition of the VM list, a
//! majority of the listed VMs in each of a majority of the zones has received it. Any two such
//! quorums of the same list have at least one VM in common.

use std::collections::BTreeSet;

use wire::roster::Version;
use wire::sync::Receipt;

/// Time within which the receipts of a withdrawal must arrive to confirm it, in milliseconds.
pub const CONFIRM_MS: u64 = 2_000;

/// A VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listed<'a> {
    /// Name of the VM.
    pub name: &'a str,
    /// Zone of the VM.
    pub zone: &'a str,
}

/// Returns the greatest value that more than half of `values` equal or exceed, or `None` if at most
/// half of them are present.
pub fn majority<T: Ord>(values: impl IntoIterator<Item = Option<T>>) -> Option<T> {
    let mut values: Vec<Option<T>> = values.into_iter().collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    let middle = values.len() / 2;
    values.into_iter().nth(middle).flatten()
}

/// Returns whether `receipts` confirm a withdrawal for the VMs in `listed`, the list of `edition`. All
/// receipts must have arrived within [`CONFIRM_MS`] after the withdrawal was first sent.
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
    let is_confirmed_in = |zone: &str| {
        let zone_vms = listed.iter().filter(|vm| vm.zone == zone);
        majority(zone_vms.map(|vm| received.contains(vm.name).then_some(())))
    };
    majority(zones.into_iter().map(is_confirmed_in)).is_some()
}
