//! At-most-once operations.
//!
//! A caller names an operation by a key of its own. The first entry VM that asks for it claims
//! the operation in the platform's service; from then on that VM alone may run it, and it
//! remembers the outcome ([`Table`]). A resend that reaches another VM learns the owner from the
//! claim. If the owner's process has ended, the operation never runs again and its outcome is
//! unknown.
//!
//! Claims of many operations share one record per shard ([`Claims`]), which is replaced by
//! compare-and-set, so two VMs can never both own an operation. Only the claim needs the
//! platform: resends to the owner are answered from its memory.

mod claims;
mod operation;
mod table;
#[cfg(test)]
mod tests;

pub use claims::{CLAIM_TTL_S, Claims, MAX_CLAIMS, Outcome, SHARDS, shard_of};
pub use operation::{Fingerprint, Hasher, Id};
pub use table::{Decision, Ending, MAX_STORED_BODY_BYTES, StoredResponse, Table, Ticket};
