//! Unit tests of the daemon's state machines.

mod leader;
mod quorum;
mod revisions;
mod state;
mod tree;
