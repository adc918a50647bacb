//! The configuration in the store: following it, changing it by one transaction a change, and its
//! history.
//!
//! docs/CONFIGURATION.md gives the rows and why a change with a lost answer is safe to repeat.

mod change;
mod follow;
pub mod history;

pub use change::ConfigWriter;
pub use follow::{ConfigUpdate, fetch, follow};

use reachhead_types::{
    fleet::{RowFault, RowKey},
    id::{ChangeId, OperatorName},
    scope::Owner,
    size::{Millis, Version},
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use crate::StoreError;

/// The row of [`keys::head`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HeadRow {
    /// The newest version.
    pub version: Version,
}

/// A configuration row as the store keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRow {
    /// The version that wrote it.
    pub version: Version,
    /// Its value.
    pub value: Value,
}

/// One write of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigWrite {
    /// The row.
    pub key: RowKey,
    /// Its new value; `None` deletes it.
    #[serde(default)]
    pub value: Option<Value>,
    /// The version that the operator saw the row at, 0 for no row; `None` overwrites whatever is
    /// there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected: Option<Version>,
}

/// A change as an operator asks for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Drawn by the client; a second request with the same id changes nothing more.
    pub id: ChangeId,
    /// The writes, all or none.
    pub writes: Vec<ConfigWrite>,
}

/// The row of [`keys::log`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRow {
    /// The version that the change became.
    pub version: Version,
    /// The change.
    pub id: ChangeId,
    /// Who asked for it.
    pub operator: OperatorName,
    /// When, in milliseconds since the Unix epoch by the admin host's clock; only for people.
    pub at: Millis,
    /// What it wrote.
    pub writes: Vec<LoggedWrite>,
}

/// One write as the log keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoggedWrite {
    /// The row.
    pub key: RowKey,
    /// Its new value; `None` deleted it.
    pub value: Option<Value>,
    /// Its value before; `None` where there was no such row. An undo writes this.
    #[serde(default)]
    pub before: Option<Value>,
    /// Whose operators may read this write.
    #[serde(default = "whole_tree")]
    pub reader: Owner,
}

const fn whole_tree() -> Owner {
    Owner::Tree
}

/// The row of [`keys::change`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRow {
    /// The version that the change became.
    pub version: Version,
}

/// Why a change was not accepted.
#[derive(Debug, Error)]
pub enum ChangeError {
    /// The rows would have faults.
    #[error("{} fault(s)", .0.len())]
    Invalid(Vec<RowFault>),
    /// Another operator changed these rows since they were read.
    #[error("changed since they were read: {0:?}")]
    Raced(Vec<RowKey>),
    /// These rows need the word of operators of other groups.
    #[error("outside the operator's scope: {0:?}")]
    Forbidden(Vec<RowKey>),
    /// The store did not take it; nothing changed.
    #[error("nothing changed: {0}")]
    NotDone(StoreError),
    /// Its answer is lost; asking again with the same id is safe.
    #[error("it may have been accepted, ask again with the same id: {0}")]
    Unknown(StoreError),
}
