//! Fingerprints that identify equal requests.

/// Length of a fingerprint in bytes.
const FINGERPRINT_BYTES: usize = 16;

/// A hash over the content of a request. Requests with equal fingerprints are treated as copies or
/// retries of the same request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Computes the fingerprint of a request of `workspace` (empty on open routes) with `method`
    /// and `target`, whose body starts with `body`.
    #[must_use]
    pub fn new(workspace: &str, method: &str, target: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [
            workspace.as_bytes(),
            method.as_bytes(),
            target.as_bytes(),
            body,
        ] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..FINGERPRINT_BYTES]);
        Self(bytes)
    }

    /// Creates a fingerprint from its bytes.
    #[must_use]
    pub fn with_bytes(bytes: [u8; FINGERPRINT_BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the fingerprint.
    #[must_use]
    pub fn bytes(&self) -> &[u8; FINGERPRINT_BYTES] {
        &self.0
    }
}
