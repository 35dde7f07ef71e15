//! What an entry VM is told: configuration, backend servers and other entry VMs.
//!
//! Everything here is plain state that changes only by the values it is given, so it can be
//! tested without a network.

pub mod config;
pub mod item;
pub mod membership;
pub mod report;
pub mod roster;
pub mod server;

pub use config::{Config, Idempotency, Route, Service, Target, Version, Workspace};
pub use item::Item;
pub use membership::Membership;
pub use roster::Roster;
pub use server::{Phase, Registration, Server, ServerId};
