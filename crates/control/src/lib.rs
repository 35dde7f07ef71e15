//! Control daemon: configuration, keys, membership and shares.

mod claims;
pub mod config;
mod crashes;
mod daemon;
mod exchange;
mod handler;
mod handover;
pub mod leader;
mod leases;
mod lend;
mod lend_ordinal;
mod lend_reserve;
mod lending;
mod platform;
mod probe;
pub mod quorum;
mod rendezvous;
mod revisions;
mod roster;
mod round;
mod state;
mod sync;
#[cfg(test)]
mod tests;
mod tree;
mod view;

pub use config::Config;
pub use daemon::Control;
pub use leader::LeaderTerm;
