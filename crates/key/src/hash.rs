//! Workspace keys and their keyed hashes.

use std::fmt;

use wire::Secret;
use wire::keyring::Hash;

/// Prefix of every workspace key.
const PREFIX: &str = "td_";

/// Number of random bytes in a workspace key.
pub const TOKEN_BYTES: usize = 32;

/// Key derivation context that separates this use of the fleet's secret from others.
const DERIVATION_CONTEXT: &str = "teaseldoor workspace key v1";

/// A workspace key in plain text. Its `Debug` output does not contain the key.
#[derive(Clone, PartialEq, Eq)]
pub struct Token(String);

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}

impl Token {
    /// Creates a key from random bytes.
    #[must_use]
    pub fn new(random: &[u8; TOKEN_BYTES]) -> Self {
        let digits = blake3::Hash::from_bytes(*random).to_hex();
        Self(format!("{PREFIX}{digits}"))
    }

    /// Returns whether `text` contains a string in the format of a key, in upper or lower case.
    #[must_use]
    pub fn is_contained_in(text: &[u8]) -> bool {
        let is_prefix = |part: &[u8]| part.eq_ignore_ascii_case(PREFIX.as_bytes());
        let is_key = |part: &[u8]| {
            let (prefix, digits) = part.split_at(PREFIX.len());
            is_prefix(prefix) && digits.iter().all(u8::is_ascii_hexdigit)
        };
        text.windows(PREFIX.len() + 2 * TOKEN_BYTES).any(is_key)
    }

    /// Returns the key in plain text, to be shown once to the operator.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

/// Hashes keys with a key derived from the fleet's secret.
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
            secret: blake3::derive_key(DERIVATION_CONTEXT, secret.bytes()),
        }
    }

    /// Returns the hash of a key as presented by a caller.
    #[must_use]
    pub fn hash(&self, presented: &[u8]) -> Hash {
        *blake3::keyed_hash(&self.secret, presented).as_bytes()
    }
}
