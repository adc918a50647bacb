//! Digests of operators' tokens, so that no row and no settings file holds a token.

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
