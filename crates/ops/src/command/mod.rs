//! Commands, one module each.

pub mod apply;
pub mod burn;
pub mod check;
pub mod diff;
pub mod drain;
pub mod explain;
pub mod generate;
pub mod history;
pub mod key;
pub mod show;
pub mod status;
pub mod trace;
