//! The operators' configuration text: its model, parser, checks and comparison.

mod check;
mod diff;
pub mod model;
mod nearest;
mod parse;
pub mod patch;
mod position;
mod problem;
mod read;
mod schema;
mod table;

pub use diff::{Change, Field, Subject, Value, diff};
pub use model::Text;
pub use parse::{MAX_TEXT_BYTES, parse};
pub use problem::Problem;
