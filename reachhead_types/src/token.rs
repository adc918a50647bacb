//! Digests of operators' tokens and callers' keys, so that no row, settings file, log or dump of this system holds one.

use std::fmt::{self, Debug, Formatter};

use sha2::{Digest, Sha256};

use crate::id::OperatorName;

/// What stands between an operator's name and the secret in a token.
pub const TOKEN_SEPARATOR: char = ':';

/// Returns SHA-256 of `salt` followed by `token`, in base 16.
pub fn digest(salt: &str, token: &str) -> String {
    let mut hasher = Sha256::new();
    hasher.update(salt.as_bytes());
    hasher.update(token.as_bytes());
    hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the operator that a token names; the one token of the settings names none.
pub fn operator(token: &str) -> Option<OperatorName> {
    token.split_once(TOKEN_SEPARATOR)?.0.parse().ok()
}

/// The digest of a caller's key. Keys are drawn at random and long, so they need no salt, and one digest a call finds the
/// customer among many.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

/// Shows the first bytes, which tell keys apart in a dump and are of no use to a caller.
impl Debug for KeyDigest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let [a, b, c, d, ..] = self.0;
        write!(f, "{a:02x}{b:02x}{c:02x}{d:02x}")
    }
}
