//! Parsed values of the store's keys.

use crate::config::Config;
use crate::server::Registration;

/// The parsed value of one key.
#[derive(Debug, Clone)]
pub enum Item {
    /// The configuration.
    Config(Box<Config>),
    /// A backend server's registration.
    Server {
        /// Name of the backend server.
        id: String,
        /// The registration.
        registration: Registration,
    },
    /// A backend server's registration was removed.
    ServerRemoved {
        /// Name of the backend server.
        id: String,
    },
    /// A zone was evacuated and gets no requests.
    ZoneEvacuated {
        /// Name of the zone.
        zone: String,
    },
    /// The evacuation of a zone was lifted.
    ZoneRestored {
        /// Name of the zone.
        zone: String,
    },
    /// The announced entry VMs of a zone.
    Members {
        /// Name of the zone.
        zone: String,
        /// A list of [`Announced`](crate::report::Announced), encoded with postcard; empty if the key
        /// was removed.
        bytes: Vec<u8>,
    },
    /// A value that cannot be parsed.
    Unreadable {
        /// The key.
        key: String,
        /// Why it cannot be parsed.
        problem: String,
    },
    /// A key that entry VMs ignore.
    Other,
}
