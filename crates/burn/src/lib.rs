//! Service-level objectives and burn rates.
//!
//! A gate records the outcome and latency of each request ([`Recorder`]). Its control daemon keeps
//! the counts in buckets aligned to Unix time ([`History`]). The operators' client merges the
//! recordings of all reachable VMs and computes burn rates ([`Report`]). The recording of a VM
//! that cannot be reached is missing, which the report shows as reduced coverage.

mod history;
mod plot;
mod recorder;
mod report;
#[cfg(test)]
mod tests;
mod window;

pub use history::History;
pub use plot::plot;
pub use recorder::{Ending, Recorder, Sample};
pub use report::{Alert, Burn, Coverage, Report, Row};
pub use window::{WINDOWS, Window};
