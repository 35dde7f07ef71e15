//! Choice of a backend server within an availability zone.
//!
//! Everything here is a function of its input, the time and the caller's random numbers. What a
//! gate saw of its own requests goes before what a backend server reports about itself.

pub mod fair;
pub mod hedge;
mod pool;
mod rank;
mod server;
pub mod spill;
pub mod subset;
#[cfg(test)]
mod tests;

pub use pool::{Endpoint, Limits, Pool, Request};
pub use rank::rank;
pub use server::{Load, Outcome};
