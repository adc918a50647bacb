//! Rows, transactions and their results; their serialized form is the JSON of the store protocol.

use std::fmt::{self, Display, Formatter};

use reachhead_types::size::Revision;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;

use crate::StoreError;

/// The key of a row: parts separated by '/'.
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
    /// `Refused` if the value has another format, for example that of another release.
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
    /// The revision that the row must have; `None` requires that the row is absent.
    pub revision: Option<Revision>,
}

/// A write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row that is written.
    pub key: Key,
    /// The new value; `None` deletes the row.
    pub value: Option<Value>,
}

/// A transaction: all writes are applied if all checks hold, otherwise none.
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

/// A failed check with the current row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The row that was checked.
    pub key: Key,
    /// The current row; `None` if there is none.
    pub row: Option<Row>,
}

/// The result of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Commit {
    /// All writes were applied; their rows have this revision.
    Done(Revision),
    /// No write was applied; these checks failed.
    Conflict(Vec<Conflict>),
}

/// A request for a page of the rows with a key prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scan {
    /// The key prefix.
    pub prefix: String,
    /// The key after which the page starts; `None` starts at the first row.
    pub after: Option<Key>,
    /// Maximum number of rows.
    pub limit: u32,
}

/// A page of rows with a common key prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The rows in key order.
    pub rows: Vec<Row>,
    /// The store's revision at which the rows were read.
    pub revision: Revision,
    /// Whether more rows follow.
    pub more: bool,
}
