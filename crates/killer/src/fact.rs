//! Facts about requests, exchanged between entry VMs.

use std::net::SocketAddr;

use timer::Moment;

use crate::Fingerprint;

/// An observation about a request. Facts are never modified and expire by age, so they can be
/// merged in any order and any number of times.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fact {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// What was observed.
    pub evidence: Evidence,
    /// Time of the observation, on the local clock of the process that stores the fact.
    pub at: Moment,
}

/// An observed result of a request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Evidence {
    /// The connection to a backend server broke while it ran the request.
    Crashed {
        /// Address of the backend server.
        server: SocketAddr,
        /// Zone of the backend server.
        zone: String,
    },
    /// A backend server responded to the request.
    Succeeded,
}
