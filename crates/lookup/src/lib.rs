//! Lookup of the site that serves a caller's network block.
//!
//! [`Table`] maps millions of client blocks to sites. Readers load an immutable version without
//! locks; a writer builds the next version, in which only changed buckets are rebuilt, and swaps
//! it in atomically.

mod block;
mod bucket;
mod index;
mod table;
#[cfg(test)]
mod tests;

pub use block::{Block, InvalidBlock, Site};
pub use table::{Change, Shared, Table};
