//! Workspace keys: hashing, lookup and withdrawal.

pub mod confirm;
mod hash;
mod key_set;
#[cfg(test)]
mod tests;

pub use hash::{Hasher, Token};
pub use key_set::{KeySet, SHARDS, Verdict};
