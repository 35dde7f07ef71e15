//! Identifiers of operations.

use std::fmt;

use serde::{Deserialize, Serialize};
use wire::Secret;

/// Size of an operation's ID, in bytes.
const ID_BYTES: usize = 16;

/// Key derivation context, which separates this use of the fleet's secret from others.
const CONTEXT: &str = "teaseldoor operation v1";

/// ID of an operation: a keyed hash of its workspace and the caller's idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(pub [u8; ID_BYTES]);

/// Hash of a request's content; a retry has the same fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; ID_BYTES]);

/// Computes IDs and fingerprints with a key derived from the fleet's secret.
#[derive(Clone)]
pub struct Hasher {
    secret: [u8; 32],
}

impl fmt::Debug for Hasher {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Hasher(..)")
    }
}

impl Hasher {
    /// Creates a hasher from the fleet's secret.
    #[must_use]
    pub fn new(secret: &Secret) -> Self {
        Self {
            secret: blake3::derive_key(CONTEXT, secret.bytes()),
        }
    }

    /// Returns the ID of the operation that a caller of `workspace` identifies by `key`.
    #[must_use]
    pub fn id(&self, workspace: &str, key: &[u8]) -> Id {
        Id(self.hash(&[workspace.as_bytes(), key]))
    }

    /// Returns the fingerprint of a request from its method, its target and the known properties of
    /// its body.
    #[must_use]
    pub fn fingerprint(&self, method: &str, target: &str, body: &[u8]) -> Fingerprint {
        Fingerprint(self.hash(&[method.as_bytes(), target.as_bytes(), body]))
    }

    fn hash(&self, parts: &[&[u8]]) -> [u8; ID_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.secret);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; ID_BYTES];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..ID_BYTES]);
        bytes
    }
}
