//! Comparison of two configuration texts, reported as changes that affect traffic.

mod change;
mod compare;

pub use change::{Change, Field, Subject, Value};
pub use compare::diff;
