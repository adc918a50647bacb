//! Who may use the API, and how far their word goes.

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

/// What stands before the token in the `Authorization` field.
const SCHEME: &str = "Bearer ";

/// The name under which changes with the token of the settings are logged.
const ROOT: &str = "root";

/// Who calls.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The operator, for the log.
    pub operator: OperatorName,
    /// How far the operator's word goes.
    pub scope: Scope,
}

/// Checks bearer tokens against salted hashes, so that neither settings nor rows hold a token.
pub struct Auth {
    salt: String,
    hash: String,
    root: OperatorName,
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
            root: ROOT.parse().expect("the operator's name is a name"),
        }
    }

    /// Tells whether `headers` have the token of the settings, which needs no row.
    pub fn is_root(&self, headers: &HeaderMap) -> bool {
        bearer(headers).is_some_and(|text| token::digest(&self.salt, text) == self.hash)
    }

    /// Returns who sent a request with `headers` by the operators of `snapshot`, or `None` if the token is
    /// missing or wrong.
    pub fn caller(&self, headers: &HeaderMap, snapshot: &ConfigSnapshot) -> Option<Caller> {
        if self.is_root(headers) {
            return Some(Caller { operator: self.root.clone(), scope: Scope::Tree });
        }
        let text = bearer(headers)?;
        let operator = token::operator(text)?;
        let value = snapshot.get(&RowKey::Operator(operator.clone()))?;
        let row = OperatorRow::deserialize(value).ok()?;
        // Comparing digests tells an attacker nothing about the token, however long it takes.
        let is_right = token::digest(&row.salt, text) == row.hash;
        let scope = row.group.map_or(Scope::Tree, Scope::Group);
        is_right.then_some(Caller { operator, scope })
    }
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::AUTHORIZATION)?.to_str().ok()?.strip_prefix(SCHEME)
}
