//! Rows, transactions and their results; these types are the protocol's JSON too.

use std::fmt::{self, Display, Formatter};

use reachhead_types::size::Revision;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;

use crate::StoreError;

/// The key of a row; parts are joined by '/'.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(pub String);

impl Display for Key {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A row with the revision of its last write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: Key,
    /// The row's value.
    pub value: Value,
    /// The store's revision when the row was last written.
    pub revision: Revision,
}

impl Row {
    /// Returns the row's value as a `T`.
    ///
    /// # Errors
    ///
    /// `Refused` if it is none: the row belongs to another release.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, StoreError> {
        T::deserialize(&self.value)
            .map_err(|error| StoreError::Refused(format!("row {}: {error}", self.key)))
    }
}

/// A precondition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The row that is checked.
    pub key: Key,
    /// The revision that it must have; `None` means that there must be no such row.
    pub revision: Option<Revision>,
}

/// A write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row that is written.
    pub key: Key,
    /// Its new value; `None` deletes the row.
    pub value: Option<Value>,
}

/// A transaction: all writes if all checks hold, else nothing.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Txn {
    /// The preconditions.
    pub checks: Vec<Check>,
    /// The writes.
    pub writes: Vec<Write>,
}

impl Txn {
    /// Returns an empty transaction.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the precondition that the row of `key` has `revision`, or is absent.
    #[must_use]
    pub fn with_check(mut self, key: Key, revision: Option<Revision>) -> Self {
        self.checks.push(Check { key, revision });
        self
    }

    /// Adds a write.
    #[must_use]
    pub fn with_write(mut self, key: Key, value: Value) -> Self {
        self.writes.push(Write { key, value: Some(value) });
        self
    }

    /// Adds a deletion.
    #[must_use]
    pub fn with_delete(mut self, key: Key) -> Self {
        self.writes.push(Write { key, value: None });
        self
    }
}

/// A check that did not hold, with the row as it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The row that was checked.
    pub key: Key,
    /// The row as it is now; `None` where there is none.
    pub row: Option<Row>,
}

/// What became of a transaction that the store decided.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Commit {
    /// All writes are in force; their rows have this revision.
    Done(Revision),
    /// No write is in force; these checks did not hold.
    Conflict(Vec<Conflict>),
}

/// A request for the rows of a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scan {
    /// What the keys start with.
    pub prefix: String,
    /// The key after which to go on; `None` starts at the first.
    pub after: Option<Key>,
    /// Rows at most.
    pub limit: u32,
}

/// Rows of a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The rows in the order of their keys.
    pub rows: Vec<Row>,
    /// The store's revision when they were read.
    pub revision: Revision,
    /// Whether rows follow.
    pub more: bool,
}
