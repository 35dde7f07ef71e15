//! Rendezvous hashing.

/// Returns the rank of `candidate` for `key`. The candidate with the highest rank is the first
/// choice for the key; the rank does not depend on the other candidates.
#[must_use]
pub fn rank(key: &[u8], candidate: &[u8]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key);
    hasher.update(candidate);
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(prefix)
}
