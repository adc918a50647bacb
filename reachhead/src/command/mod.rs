//! Implementation of the subcommands, and the calls and errors that they share.

pub mod apply;
pub mod check;
pub mod dump;
pub mod history;
pub mod host;
pub mod operator;
pub mod settings;
pub mod wave;

use reachhead_config::SettingsError;
use reachhead_types::{fleet::RowKey, id::ChangeId, size::Version};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use crate::client::{CallError, Client};

/// API path that accepts changes of the configuration.
const CHANGES_PATH: &str = "/v1/changes";

/// Error of a command.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A settings file is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A call to the admin or to an ops listener failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// A value is not valid JSON.
    #[error("invalid JSON value: {0}")]
    Json(#[from] serde_json::Error),
    /// A file, an argument or a combination of arguments is not valid for the command.
    #[error("{0}")]
    InvalidInput(String),
    /// The awaited state was not reached within `--wait` seconds.
    #[error("timed out: not done within the time of --wait")]
    TimedOut,
    /// A change failed, or its response was lost and it may have been made.
    #[error("{source}; if in doubt, retry it with --id {id}")]
    Change {
        /// Idempotency key of the change.
        id: ChangeId,
        /// Error of the call.
        source: CallError,
    },
}

/// Write to one row within a change, as the API expects it.
#[derive(Serialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: RowKey,
    /// New value; `None` deletes the row.
    pub value: Option<Value>,
    /// Version that the row must still have; `None` writes unconditionally.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub expected: Option<Version>,
}

#[derive(Serialize)]
struct Change {
    id: ChangeId,
    writes: Vec<RowWrite>,
}

#[derive(Deserialize)]
struct AcceptedChange {
    version: Version,
}

/// Submits `writes` as one atomic change and returns its version; a missing `id` is drawn at
/// random.
async fn submit_change(
    client: &Client,
    id: Option<ChangeId>,
    writes: Vec<RowWrite>,
) -> Result<Version, CommandError> {
    let id = id.unwrap_or_else(|| ChangeId(rand::random()));
    let change = Change { id, writes };
    match client.post::<_, AcceptedChange>(CHANGES_PATH, &change).await {
        Ok(accepted) => Ok(accepted.version),
        Err(source) => Err(CommandError::Change { id, source }),
    }
}

/// Configuration row as the API returns it.
#[derive(Deserialize, Serialize)]
pub struct RowReport {
    pub key: RowKey,
    pub value: Value,
    /// Version of the change that last wrote the row.
    pub version: Version,
}

async fn fetch_rows(client: &Client, prefix: &str) -> Result<Vec<RowReport>, CommandError> {
    Ok(client.get(&format!("/v1/rows?prefix={prefix}")).await?)
}
