//! The configuration in the store: reading updates, making changes, and the history of changes.
//!
//! Each change is one transaction. docs/CONFIGURATION.md describes the rows and why a change whose
//! answer was lost is safe to repeat.

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

/// The row with the newest version, under the key [`head`](crate::keys::head).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HeadRow {
    /// The newest version of the configuration.
    pub version: Version,
}

/// A configuration row as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRow {
    /// The version that wrote the row.
    pub version: Version,
    /// The row's value.
    pub value: Value,
}

/// One write of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigWrite {
    /// The row.
    pub key: RowKey,
    /// The new value; `None` deletes the row.
    #[serde(default)]
    pub value: Option<Value>,
    /// The version of the row that the operator has seen, 0 for no row; `None` overwrites any
    /// version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected: Option<Version>,
}

/// An operator's request to change the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Drawn by the client; makes the request idempotent.
    pub id: ChangeId,
    /// The writes, which are applied atomically.
    pub writes: Vec<ConfigWrite>,
}

/// The log entry of a change, under the key [`log`](crate::keys::log).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRow {
    /// The version that the change became.
    pub version: Version,
    /// The id of the change.
    pub id: ChangeId,
    /// The operator who requested it.
    pub operator: OperatorName,
    /// Time of the change in milliseconds since the Unix epoch by the admin host's clock; for
    /// display only.
    pub at: Millis,
    /// The writes of the change.
    pub writes: Vec<LoggedWrite>,
}

/// One write of a change as logged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoggedWrite {
    /// The row.
    pub key: RowKey,
    /// The new value; `None` for a deletion.
    pub value: Option<Value>,
    /// The previous value, which an undo restores; `None` if there was no such row.
    #[serde(default)]
    pub before: Option<Value>,
    /// The owner whose operators may read this write.
    #[serde(default = "whole_tree")]
    pub reader: Owner,
}

const fn whole_tree() -> Owner {
    Owner::Tree
}

/// The version of a change, under the key [`change`](crate::keys::change).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRow {
    /// The version that the change became.
    pub version: Version,
}

/// An error of a configuration change.
#[derive(Debug, Error)]
pub enum ChangeError {
    /// The changed rows would be invalid.
    #[error("{} fault(s)", .0.len())]
    Invalid(Vec<RowFault>),
    /// These rows were changed since the operator read them.
    #[error("changed since they were read: {0:?}")]
    Raced(Vec<RowKey>),
    /// These rows may only be changed by operators of other groups or of the whole tree.
    #[error("outside the operator's scope: {0:?}")]
    Forbidden(Vec<RowKey>),
    /// The store did not apply the change; nothing changed.
    #[error("nothing changed: {0}")]
    NotDone(StoreError),
    /// The store's answer is lost; the request may be repeated with the same id.
    #[error("it may have been accepted, ask again with the same id: {0}")]
    Unknown(StoreError),
}
