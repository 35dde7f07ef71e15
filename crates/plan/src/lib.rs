//! Steering plan: which availability zone serves which traffic.
//!
//! [`decide()`] is a pure function of the configuration text, the observations, the granted
//! capacity, the previous plan and the current time. Equal inputs give equal plans.

mod allocation;
mod capacity;
mod decide;
mod input;
mod model;
mod output;
mod shares;
mod shift;
#[cfg(test)]
mod tests;

pub use decide::{decide, load};
pub use input::{Demand, Grant, Input, Observation, Partition};
pub use output::{Move, Placement, Plan, Progress, Route};
