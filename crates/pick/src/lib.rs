//! Choice of a backend server within an availability zone.
//!
//! All results depend only on the arguments, the given time and the caller's random numbers. A
//! gate's observations of its own requests take precedence over what a backend server reports about
//! itself.

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
