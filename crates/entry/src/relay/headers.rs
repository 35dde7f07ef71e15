//! Headers of requests that entry VMs pass on to each other, and of the responses.
//!
//! A request names them in `Connection`, so that a VM of a version that does not know one of them drops it
//! instead of sending it to a backend server.

use fleet::Version;
use steer::agreement::Ruling;

use crate::head::{Fields, Request};

/// Header of a relayed request: number of servers that it may be sent to.
const ATTEMPTS: &str = "Teaseldoor-Attempts";

/// Header of a relayed request and of the response: version of the sender's configuration.
pub const CONFIG: &str = "Teaseldoor-Config";

/// Header of a relayed request: hash of the name of the service that is to run it.
const SERVICE: &str = "Teaseldoor-Service";

/// Header of a relayed request: hash of the terms under which it may run.
const TERMS: &str = "Teaseldoor-Terms";

/// Header of a relayed request: hash of the name of the VM that passes it on.
const VM: &str = "Teaseldoor-Vm";

/// Header of a response to a relayed request: the reason, if the VM itself refused the request.
pub const REFUSED: &str = "Teaseldoor-Refused";

/// Names of the headers of a relayed request.
const ALL: [&str; 5] = [ATTEMPTS, CONFIG, SERVICE, TERMS, VM];

/// Returns whether a header is one of those that only entry VMs send to each other.
#[must_use]
pub fn is_internal(name: &[u8]) -> bool {
    let mut own = ALL.iter().chain([&REFUSED]);
    own.any(|own| name.eq_ignore_ascii_case(own.as_bytes()))
}

/// What a relayed request says beside the caller's request.
#[derive(Debug, Clone, Copy)]
pub struct Asked {
    /// Number of servers that it may be sent to; absent if it doesn't say so.
    pub attempts: Option<u32>,
    /// What the VM that passes it on decided; absent from VMs of older versions.
    pub ruling: Option<Ruling>,
    /// Hash of the name of this VM; absent from VMs of older versions.
    pub vm: Option<u64>,
}

impl Asked {
    /// Returns what the head of a relayed request says.
    #[must_use]
    pub fn of(head: &Request) -> Self {
        let fields = &head.fields;
        Self {
            attempts: fields.text(ATTEMPTS).and_then(|left| left.parse().ok()),
            ruling: ruling(fields),
            vm: number(fields, VM),
        }
    }

    /// Returns the headers that say so.
    #[must_use]
    pub fn headers(&self) -> Vec<(&'static str, String)> {
        let mut headers = vec![("Connection", ALL.join(", "))];
        if let Some(left) = self.attempts {
            headers.push((ATTEMPTS, left.to_string()));
        }
        if let Some(ruling) = self.ruling {
            headers.push((CONFIG, ruling.version.0.to_string()));
            headers.push((SERVICE, ruling.service.to_string()));
            headers.push((TERMS, ruling.terms.to_string()));
        }
        if let Some(vm) = self.vm {
            headers.push((VM, vm.to_string()));
        }
        headers
    }
}

/// Returns the version of the configuration that a head names.
#[must_use]
pub fn version(fields: &Fields) -> Option<Version> {
    number(fields, CONFIG).map(Version)
}

fn ruling(fields: &Fields) -> Option<Ruling> {
    Some(Ruling {
        version: version(fields)?,
        service: number(fields, SERVICE)?,
        terms: number(fields, TERMS)?,
    })
}

fn number(fields: &Fields, name: &str) -> Option<u64> {
    fields.text(name)?.parse().ok()
}
