//! Decisions on retries.
//!
//! A request that failed is sent again only if that is safe, if its deadline leaves time, and if
//! the [`Budget`] of its service and workspace allows it. Requests that no backend server could
//! be reached for put no load on any and need no budget.

mod attempt;
mod budget;
#[cfg(test)]
mod tests;

pub use attempt::{Attempt, Decision, Failure, MAX_ATTEMPTS, decide};
pub use budget::{Budget, MIN_RETRIES, WINDOW_S};
