//! Fleet membership by probing.
//!
//! Implements a variant of SWIM: each VM probes one other VM of its zone at a time, first directly,
//! then indirectly through two other VMs. If all probes fail, it marks the VM as suspect. The
//! suspicion spreads with other messages, and the suspected VM can refute it. The platform's list
//! is only a hint: it introduces new VMs, but a VM that is removed from the list remains a member
//! for as long as it responds to probes.

mod member;
mod rumor;
#[cfg(test)]
mod tests;

pub use member::{Member, Settings};
