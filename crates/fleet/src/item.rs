//! What one key of the store says, in the product's terms.

use crate::config::Config;
use crate::server::Registration;

/// A key's meaning.
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
    /// A backend server's registration is gone.
    ServerRemoved {
        /// Name of the backend server.
        id: String,
    },
    /// A zone is to get no requests.
    ZoneEvacuated {
        /// Name of the zone.
        zone: String,
    },
    /// A zone may get requests again.
    ZoneRestored {
        /// Name of the zone.
        zone: String,
    },
    /// An entry VM's announcement, in the product's own encoding.
    Member {
        /// Name of the VM.
        vm: String,
        /// The announcement.
        bytes: Vec<u8>,
    },
    /// An entry VM's announcement is gone.
    MemberRemoved {
        /// Name of the VM.
        vm: String,
    },
    /// A value that cannot be read.
    Unreadable {
        /// The key.
        key: String,
        /// What is wrong with it.
        problem: String,
    },
    /// A key that means nothing to an entry VM.
    Other,
}
