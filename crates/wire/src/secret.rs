//! The secret shared by all processes of a fleet.

use std::fmt;

/// Length of a fleet secret, in bytes.
pub const SECRET_BYTES: usize = 32;

/// The fleet secret. The `Debug` output does not contain the bytes.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret([u8; SECRET_BYTES]);

/// Error for a string that is not a fleet secret.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidSecret;

impl fmt::Display for InvalidSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "a fleet secret is {} hexadecimal digits",
            2 * SECRET_BYTES
        )
    }
}

impl std::error::Error for InvalidSecret {}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Secret {
    /// Creates a secret from its bytes.
    #[must_use]
    pub fn new(bytes: [u8; SECRET_BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes, for use as key material.
    #[must_use]
    pub fn bytes(&self) -> &[u8; SECRET_BYTES] {
        &self.0
    }
}

impl std::str::FromStr for Secret {
    type Err = InvalidSecret;

    fn from_str(text: &str) -> Result<Self, InvalidSecret> {
        let text = text.trim();
        if text.len() != 2 * SECRET_BYTES || !text.is_ascii() {
            return Err(InvalidSecret);
        }
        let mut bytes = [0; SECRET_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| InvalidSecret)?;
        }
        Ok(Self(bytes))
    }
}
