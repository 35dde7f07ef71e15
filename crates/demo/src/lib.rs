//! The whole system in one process: the daemons' own code, started as tasks, between callers
//! and stand-ins for the platform and the backend servers.

pub mod caller;
pub mod fleet;
pub mod history;
pub mod operator;
pub mod report;
pub mod script;
pub mod shape;

pub use fleet::Fleet;
pub use shape::Shape;
