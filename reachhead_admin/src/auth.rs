//! Authentication of operators and the scope of their permissions.

use hyper::{HeaderMap, header};
use reachhead_config::admin::ApiSettings;
use reachhead_types::{
    fleet::{OperatorRow, RowKey},
    id::OperatorName,
    scope::Scope,
    snapshot::ConfigSnapshot,
    token,
};
use serde::Deserialize;

/// Prefix of the token in the `Authorization` header.
const BEARER_PREFIX: &str = "Bearer ";

/// Operator name under which changes made with the token of the settings are logged.
const ROOT_OPERATOR: &str = "root";

/// An authenticated operator.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Name of the operator, for the log.
    pub operator: OperatorName,
    /// Part of the tree that the operator may read and change.
    pub scope: Scope,
}

/// Checks bearer tokens against salted hashes, so that neither settings nor rows contain a token.
pub struct Authenticator {
    salt: String,
    hash: String,
    root: OperatorName,
}

impl Authenticator {
    /// Returns an authenticator with the root token of `settings`.
    ///
    /// # Panics
    ///
    /// Never, since the root operator's name is a valid constant.
    pub fn new(settings: &ApiSettings) -> Self {
        Self {
            salt: settings.token_salt.clone(),
            hash: settings.token_hash.to_ascii_lowercase(),
            root: ROOT_OPERATOR.parse().expect("the root operator's name is valid"),
        }
    }

    /// Returns whether `headers` contain the root token of the settings, which needs no
    /// configuration row.
    pub fn is_root(&self, headers: &HeaderMap) -> bool {
        bearer_token(headers).is_some_and(|text| token::digest(&self.salt, text) == self.hash)
    }

    /// Returns the operator that sent a request with `headers`, by the operator rows of `snapshot`,
    /// or `None` if the token is missing or invalid.
    pub fn authenticate(&self, headers: &HeaderMap, snapshot: &ConfigSnapshot) -> Option<Caller> {
        if self.is_root(headers) {
            return Some(Caller { operator: self.root.clone(), scope: Scope::Tree });
        }
        let text = bearer_token(headers)?;
        let operator = token::operator(text)?;
        let value = snapshot.get(&RowKey::Operator(operator.clone()))?;
        let row = OperatorRow::deserialize(value).ok()?;
        // Digests need no constant-time comparison: its duration reveals nothing about the token.
        let is_valid = token::digest(&row.salt, text) == row.hash;
        let scope = row.group.map_or(Scope::Tree, Scope::Group);
        is_valid.then_some(Caller { operator, scope })
    }
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::AUTHORIZATION)?.to_str().ok()?.strip_prefix(BEARER_PREFIX)
}
