//! Selection of the backend server for an attempt.

use std::net::SocketAddr;
use std::sync::Arc;

use pick::Request;

use crate::backend::{Assignment, Backend};
use crate::compiled::{Service, Zone};
use crate::refusal::Refusal;

/// Backend servers that earlier attempts of a request were sent to.
#[derive(Debug, Default)]
pub struct Attempted {
    addrs: Vec<SocketAddr>,
}

impl Attempted {
    /// Adds a backend server.
    pub fn add(&mut self, addr: SocketAddr) {
        self.addrs.push(addr);
    }

    /// Returns the refusal for a request when no other backend server is available.
    #[must_use]
    pub fn refusal(&self) -> Refusal {
        if self.addrs.is_empty() {
            Refusal::NoCapacity
        } else {
            Refusal::Unavailable
        }
    }
}

/// Reserves capacity for a request at a backend server of `service` in the nearest zone that has
/// any. Servers in `attempted` are excluded.
#[must_use]
pub fn choose(service: &Service, attempted: &Attempted, idempotent: bool) -> Option<Assignment> {
    let request = Request {
        excluded: &attempted.addrs,
        retryable: idempotent,
    };
    let mut zones = service.zones.iter();
    zones.find_map(|zone| choose_in(zone, request))
}

fn choose_in(zone: &Zone, request: Request) -> Option<Assignment> {
    let ticket = zone.pool.choose(request)?;
    let chosen = |backend: &&Arc<Backend>| backend.addr() == ticket.addr();
    let backend = Arc::clone(zone.backends.iter().find(chosen)?);
    Some(Assignment::new(backend, ticket))
}
