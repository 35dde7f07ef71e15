//! Headers of requests that entry VMs pass on to each other, and of the responses.
//!
//! A request names them in `Connection`, so that a VM of a version that does not know one of them drops it
//! instead of sending it to a backend server.

use fleet::Version;

use crate::head::{Fields, Request};

/// Header of a relayed request: number of servers that it may be sent to.
const ATTEMPTS: &str = "Teaseldoor-Attempts";

/// Header of a relayed request and of the response: version of the sender's configuration.
pub const CONFIG: &str = "Teaseldoor-Config";

/// Header of a response to a relayed request: the reason, if the VM itself refused the request.
pub const REFUSED: &str = "Teaseldoor-Refused";

/// Names of the headers that are not sent to backend servers, whoever set them.
pub const ALL: [&str; 2] = [ATTEMPTS, CONFIG];

/// What a relayed request says beside the caller's request.
#[derive(Debug, Clone, Copy)]
pub struct Asked {
    /// Number of servers that it may be sent to; absent if it doesn't say so.
    pub attempts: Option<u32>,
    /// Version of the configuration of the VM that passed it on; absent from VMs of older versions.
    pub config: Option<Version>,
}

impl Asked {
    /// Returns what the head of a relayed request says.
    #[must_use]
    pub fn of(head: &Request) -> Self {
        let fields = &head.fields;
        Self {
            attempts: fields.text(ATTEMPTS).and_then(|left| left.parse().ok()),
            config: version(fields),
        }
    }

    /// Returns the headers that say so.
    #[must_use]
    pub fn headers(&self) -> Vec<(&'static str, String)> {
        let attempts = self.attempts.map(|left| (ATTEMPTS, left.to_string()));
        let config = self.config.map(|version| (CONFIG, version.0.to_string()));
        let mut headers: Vec<(&str, String)> = attempts.into_iter().chain(config).collect();
        headers.push(("Connection", ALL.join(", ")));
        headers
    }
}

/// Returns the version of the configuration that a head names.
#[must_use]
pub fn version(fields: &Fields) -> Option<Version> {
    fields.text(CONFIG)?.parse().ok().map(Version)
}
