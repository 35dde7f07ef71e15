//! What the system costs at a given size, worked out from measured slopes.
//!
//! [`measure`] runs each part at several sizes and keeps the points; [`Slope`] fits a line
//! through them; [`page`] sets the lines against the sizes and limits of a TOML file.

mod costs;
pub mod measure;
pub mod page;
mod roles;
mod sizes;
mod slope;
#[cfg(test)]
mod tests;

pub use sizes::{Limits, Sizes};
pub use slope::{Line, Point, Slope, Slopes};
