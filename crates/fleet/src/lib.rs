//! State of an entry VM: configuration, backend servers and other entry VMs.
//!
//! The state changes only through method arguments and does no I/O, so it can be tested without a
//! network.

pub mod ask;
pub mod config;
pub mod item;
pub mod membership;
pub mod parts;
pub mod pressure;
pub mod reach;
pub mod report;
pub mod restore;
pub mod roster;
pub mod server;

pub use config::{Config, Idempotency, Route, Service, Target, Version, Workspace};
pub use item::Item;
pub use membership::Membership;
pub use roster::Roster;
pub use server::{Phase, Registration, Server, ServerId};
