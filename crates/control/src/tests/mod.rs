//! Tests of the daemon's decisions.

mod leader;
mod quorum;
mod revisions;
mod state;
mod tree;
