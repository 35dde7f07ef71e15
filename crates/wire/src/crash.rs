//! Crashes of backend servers and the requests that they were processing.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A crash of a backend server while it processed a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Fingerprint of the request.
    pub fingerprint: [u8; 16],
    /// Address of the backend server.
    pub server: SocketAddr,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
}
