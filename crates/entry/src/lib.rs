//! Daemon of an entry VM: accepts callers' requests and forwards them to backend servers.
//!
//! One thread runs all tasks, so shared state needs no locks. The code that depends on the platform
//! is behind [`Store`], [`Names`] and [`Settings`].

mod accept;
mod admission;
mod announce;
mod ask;
mod balance;
mod body;
mod bulk;
mod caller;
mod catch_up;
mod daemon;
mod dispatch;
mod exchange;
#[cfg(test)]
mod fixture;
mod gauges;
mod head;
mod leaving;
mod lookup;
mod memory;
pub mod metrics;
mod names;
mod outstanding;
mod peers;
mod pressure;
mod quarantine;
mod quota;
mod reach;
mod register;
mod relay;
mod replica;
mod request_log;
mod response;
mod said;
mod serve;
mod server_limit;
mod servers;
mod settings;
mod snapshot;
mod state;
mod store;
mod supervise;
mod sync;
pub mod transfer;
mod upstream;
mod warmth;

pub use daemon::run;
pub use names::Names;
pub use response::Refusal;
pub use settings::{Bounds, Listen, Settings};
pub use snapshot::Snapshot;
pub use store::{Batch, Group, Page, Record, Store, StoreError};
