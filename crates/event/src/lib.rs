//! Numbered log events and their formatter.
//!
//! Every log line is one [`Event`]. A test compares the catalogue in `docs/EVENTS.md` with the
//! code.

mod batch;
mod catalogue;
mod list;
mod log;
#[cfg(test)]
mod tests;

pub use catalogue::{Entry, render};
pub use list::{CATALOGUE, Event};
pub use log::{dropped, emit, flush, init, init_bounded};
