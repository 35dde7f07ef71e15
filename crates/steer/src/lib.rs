//! Decisions on placing, rejecting and retrying requests, without I/O.
//!
//! Each module handles one load pattern, described in the module documentation. Time and state are
//! arguments, so that tests can reproduce the pattern.

pub mod admission;
pub mod agreement;
pub mod budget;
pub mod helpers;
pub mod idle;
pub mod load;
pub mod mean;
pub mod outstanding;
pub mod owner;
pub mod partition;
pub mod placement;
pub mod pressure;
pub mod quota;
pub mod retry;
pub mod server_limit;
pub mod spill;
pub mod split;
pub mod spread;
pub mod upload;
pub mod warmup;
pub mod window;

pub use window::{Window, to_f64};
