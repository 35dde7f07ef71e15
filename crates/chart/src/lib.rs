//! Interpreter for the state charts under `charts/`.
//!
//! A chart file in SCXML defines the transitions; two enums in the code declare the states and
//! events. Loading fails unless the names in both match.

mod charts;
mod interpreter;
mod label;
#[cfg(test)]
mod tests;

pub use charts::{backend, entry, key, operation, rollout, shift};
pub use interpreter::{Chart, ChartError};
pub use label::Label;
