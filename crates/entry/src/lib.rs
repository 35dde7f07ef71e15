//! Daemon of an entry VM: callers' requests in, backend servers' answers out.
//!
//! One thread runs everything, so shared state needs no locks. The platform is met through
//! [`Store`], [`Names`] and [`Settings`] only.

mod accept;
mod answer;
mod balance;
mod body;
mod caller;
mod daemon;
mod gauges;
mod head;
mod held;
mod job;
mod lookup;
pub mod metrics;
mod names;
mod neighbour;
mod peers;
mod quarantine;
mod reach;
mod register;
mod replica;
mod serve;
mod servers;
mod settings;
mod state;
mod store;
mod sync;
mod trail;
mod upstream;
mod warmth;

pub use answer::Refusal;
pub use daemon::run;
pub use names::Names;
pub use settings::{Bounds, Listen, Settings};
pub use store::{Batch, Page, Record, Store, StoreError};
