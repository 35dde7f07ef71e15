//! Messages between processes, and the authenticated channel that transports them.

pub mod burn;
pub mod channel;
pub mod claim;
pub mod codec;
pub mod crash;
pub mod denylist;
pub mod handover;
pub mod id;
pub mod keyring;
pub mod lend;
pub mod peer;
pub mod pool;
pub mod report;
pub mod roster;
pub mod secret;
pub mod settings;
pub mod status;
pub mod sync;
pub mod tally;
pub mod update;
pub mod view;

pub use denylist::Denylist;
pub use id::Vm;
pub use peer::{Peer, PeerClient};
pub use pool::Pool;
pub use secret::Secret;
pub use tally::Tally;
