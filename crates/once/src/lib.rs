//! At-most-once operations.
//!
//! A caller identifies an operation by an idempotency key. The first entry VM that receives a
//! request for the operation claims it in the platform's key-value service. From then on only that
//! VM may run the operation, and it keeps the outcome ([`Table`]). A retry that reaches another VM
//! finds the owner in the claim. If the owner's process has ended, the operation never runs again
//! and its outcome is unknown.
//!
//! Claims of many operations share one record per shard ([`Claims`]), which is replaced by
//! compare-and-set, so two VMs can never both own an operation. Only the claim needs the
//! platform: the owner responds to retries from its memory.

mod claims;
mod operation;
mod table;
#[cfg(test)]
mod tests;

pub use claims::{CLAIM_TTL_S, Claims, MAX_CLAIMS, Outcome, SHARDS, shard_of};
pub use operation::{Fingerprint, Hasher, Id};
pub use table::{Decision, Ending, MAX_STORED_BODY_BYTES, StoredResponse, Table, Ticket};
