//! Decisions on retries.
//!
//! A failed request is retried only if a retry is safe, if enough time remains until its deadline,
//! and if the [`Budget`] of its service and workspace allows it. A retry after an attempt that
//! reached no backend server needs no budget, since the attempt put no load on a server.

mod attempt;
mod budget;
#[cfg(test)]
mod tests;

pub use attempt::{Attempt, Decision, Failure, MAX_ATTEMPTS, decide};
pub use budget::{Budget, MIN_RETRIES, WINDOW_S};
