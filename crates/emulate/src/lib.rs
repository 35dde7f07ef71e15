//! An emulator: servers, callers and entry VMs in virtual time, around the real decisions of
//! `steer`. It plays seconds of a fleet in a moment, and the same seed gives the same figures.
//!
//! What it leaves out: processors, links, the store and what entry VMs tell each other. It
//! compares ways of placing; a bench with real processes is the judge.

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
pub use simulation::play;
pub use tally::Tally;
