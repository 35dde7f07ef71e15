//! Client of the platform's key-value service and VM list.
//!
//! Uses the public Consul HTTP API: key-value pairs with compare-and-set, sessions as leases,
//! blocking queries as watches, and the health of one service as the list of VMs.

mod backoff;
mod budget;
mod client;
mod lease;
mod meter;
mod purpose;
mod read_back;
mod record;
#[cfg(test)]
mod tests;
mod vms;

pub use backoff::Backoff;
pub use budget::{Bucket, Budget, Kind};
pub use client::{Client, Item, Items, StoreError, Versioned, Written};
pub use lease::{Acquired, Lock, Renewed, Session};
pub use meter::{Count, Meter};
pub use purpose::{Allowance, Purpose};
pub use read_back::{Identified, WriteOutcome};
pub use record::{CONFIG_KEY, ConfigRecord, KEYS_PREFIX, KeysRecord, keys_key};
pub use vms::{ListedVm, VmState};
