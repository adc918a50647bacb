//! Who may use the API.

use hyper::{HeaderMap, header};
use reachhead_config::admin::ApiSettings;
use reachhead_types::id::OperatorName;
use sha2::{Digest, Sha256};

/// What stands before the token in the `Authorization` field.
const SCHEME: &str = "Bearer ";

/// The name under which changes are logged while there is one token for all operators.
const OPERATOR: &str = "operator";

/// Checks bearer tokens against a salted hash, so that the settings don't hold the token.
pub struct Auth {
    salt: String,
    hash: String,
    operator: OperatorName,
}

impl Auth {
    /// Returns the check that `settings` describe.
    ///
    /// # Panics
    ///
    /// Never: the operator's name is a constant and a test reads it.
    pub fn new(settings: &ApiSettings) -> Self {
        Self {
            salt: settings.token_salt.clone(),
            hash: settings.token_hash.to_ascii_lowercase(),
            operator: OPERATOR.parse().expect("the operator's name is a name"),
        }
    }

    /// Returns who sent a request with `headers`, or `None` if the token is missing or wrong.
    pub fn operator(&self, headers: &HeaderMap) -> Option<OperatorName> {
        let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
        let token = value.strip_prefix(SCHEME)?;
        let mut hasher = Sha256::new();
        hasher.update(self.salt.as_bytes());
        hasher.update(token.as_bytes());
        let hash: String = hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
        // Comparing digests tells an attacker nothing about the token, however long it takes.
        (hash == self.hash).then(|| self.operator.clone())
    }
}
