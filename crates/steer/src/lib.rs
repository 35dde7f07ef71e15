//! Decisions on placing, rejecting and repeating requests, apart from I/O.
//!
//! Each module answers one load pattern, which its documentation names. Time and state are
//! arguments, so a test can replay the pattern.

pub mod budget;
pub mod idle;
pub mod load;
pub mod mean;
pub mod owner;
pub mod placement;
pub mod quota;
pub mod retry;
pub mod spill;
pub mod split;
pub mod warmup;
pub mod window;

pub use window::{Window, to_f64};
