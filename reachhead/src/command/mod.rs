//! The commands, one module each.

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

/// Path of changes.
const CHANGES_PATH: &str = "/v1/changes";

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A settings file has faults.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A call failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// A value on the command line is not JSON.
    #[error("the value is not JSON: {0}")]
    Value(#[from] serde_json::Error),
    /// The file is not of the kind that the command needs.
    #[error("{0}")]
    Kind(String),
    /// What was waited for did not come in time.
    #[error("not done in time")]
    Late,
    /// A change may have been made.
    #[error("{source}; if in doubt, repeat it with --id {id}")]
    Change {
        /// The change.
        id: ChangeId,
        /// What went wrong.
        source: CallError,
    },
}

/// One write of a change, as the API takes it.
#[derive(Serialize)]
pub struct RowWrite {
    /// The row.
    pub key: RowKey,
    /// Its new value; `None` deletes it.
    pub value: Option<Value>,
    /// The version that it was seen at.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub expected: Option<Version>,
}

#[derive(Serialize)]
struct Change {
    id: ChangeId,
    writes: Vec<RowWrite>,
}

#[derive(Deserialize)]
struct Accepted {
    version: Version,
}

/// Makes a change and returns its version.
async fn change(
    client: &Client,
    id: Option<ChangeId>,
    writes: Vec<RowWrite>,
) -> Result<Version, CommandError> {
    let id = id.unwrap_or_else(|| ChangeId(rand::random()));
    let change = Change { id, writes };
    match client.post::<_, Accepted>(CHANGES_PATH, &change).await {
        Ok(accepted) => Ok(accepted.version),
        Err(source) => Err(CommandError::Change { id, source }),
    }
}

/// A row as the API gives it.
#[derive(Deserialize, Serialize)]
pub struct RowReport {
    /// Its key.
    pub key: RowKey,
    /// Its value.
    pub value: Value,
    /// The version that wrote it.
    pub version: Version,
}

async fn rows(client: &Client, prefix: &str) -> Result<Vec<RowReport>, CommandError> {
    Ok(client.get(&format!("/v1/rows?prefix={prefix}")).await?)
}
