//! A discrete-event simulation of servers, callers and entry VMs that runs the placement code of
//! `steer` in virtual time. The same seed gives the same results.
//!
//! Processors, network links, the store and messages between entry VMs are not modelled. Use it to
//! compare placement policies, and confirm the results with a benchmark of real processes.

pub mod callers;
pub mod plot;
pub mod policy;
pub mod scenario;
pub mod server;
pub mod simulation;
pub mod tally;
pub mod time;

pub use policy::Policy;
pub use scenario::Scenario;
pub use simulation::simulate;
pub use tally::Tally;
