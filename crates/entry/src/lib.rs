//! Daemon of an entry VM: callers' requests in, backend servers' answers out.
//!
//! One thread runs everything, so shared state needs no locks. The platform is met through
//! [`Store`], [`Names`] and [`Settings`] only.

mod accept;
mod balance;
mod body;
mod caller;
mod daemon;
mod dispatch;
mod gauges;
mod head;
mod lookup;
mod memory;
pub mod metrics;
mod names;
mod peers;
mod quarantine;
mod reach;
mod register;
mod replica;
mod request_log;
mod response;
mod serve;
mod servers;
mod settings;
mod snapshot;
mod state;
mod store;
mod sync;
mod upstream;
mod warmth;

pub use daemon::run;
pub use names::Names;
pub use response::Refusal;
pub use settings::{Bounds, Listen, Settings};
pub use store::{Batch, Page, Record, Store, StoreError};
