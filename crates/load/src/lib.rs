//! Load generator and benchmarks of the data path.

pub mod bench;
pub mod caller;
pub mod echo;
pub mod fixture;
pub mod pacer;
pub mod run;
