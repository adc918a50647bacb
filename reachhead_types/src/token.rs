//! Digests of operators' tokens and callers' API keys.
//!
//! Only digests are kept, so that no row, settings file, log or dump contains a token or a key.

use std::fmt::{self, Debug, Formatter};

use sha2::{Digest, Sha256};

use crate::id::OperatorName;

/// Separator between the operator's name and the secret in a token.
pub const TOKEN_SEPARATOR: char = ':';

/// Returns the SHA-256 digest of `salt` followed by `token`, in lower-case hexadecimal.
pub fn digest(salt: &str, token: &str) -> String {
    let mut hasher = Sha256::new();
    hasher.update(salt.as_bytes());
    hasher.update(token.as_bytes());
    hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the operator that a token names; `None` for the token of the settings file.
pub fn operator(token: &str) -> Option<OperatorName> {
    token.split_once(TOKEN_SEPARATOR)?.0.parse().ok()
}

/// The digest of a caller's API key.
///
/// Keys are long and random, so they need no salt. Without a salt, one digest per call is enough to
/// look up the customer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

/// Prints the first four bytes, which identify a key in a dump but don't allow its use.
impl Debug for KeyDigest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let [a, b, c, d, ..] = self.0;
        write!(f, "{a:02x}{b:02x}{c:02x}{d:02x}")
    }
}
