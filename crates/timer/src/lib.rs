//! Timer service: the only place where a process reads its clock and waits for time to pass.
//!
//! Crates that make decisions receive a [`Moment`] as an argument and never read a clock.

mod moment;
mod service;
#[cfg(test)]
mod tests;

pub use moment::Moment;
pub use service::{Service, Ticks};
