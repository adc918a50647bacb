//! `reachhead settings log`, `diff` and `undo`: the history of the configuration.

use reachhead_types::{
    fleet::RowKey,
    id::{ChangeId, OperatorName},
    size::{Millis, Version},
};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    args::{DiffArgs, LogArgs, UndoArgs},
    client::Client,
    command::{AcceptedChange, CommandError},
    print,
};

/// Table cell for a row that does not exist.
const ABSENT: &str = "-";

#[derive(Deserialize, Serialize)]
struct LogEntry {
    version: Version,
    id: ChangeId,
    operator: OperatorName,
    at: Millis,
    writes: Vec<Value>,
}

#[derive(Deserialize, Serialize)]
struct RowRevision {
    version: Version,
    id: ChangeId,
    operator: OperatorName,
    at: Millis,
    before: Option<Value>,
    value: Option<Value>,
}

#[derive(Deserialize, Serialize)]
struct RowDiff {
    key: RowKey,
    before: Option<Value>,
    after: Option<Value>,
}

#[derive(Serialize)]
struct UndoRequest {
    id: ChangeId,
    version: Version,
}

/// Prints the changes after a version, or only the writes to one row.
pub async fn print_log(client: &Client, args: &LogArgs, json: bool) -> Result<(), CommandError> {
    match &args.key {
        Some(key) => print_row_history(client, key, args.after, json).await,
        None => print_changes(client, args.after, json).await,
    }
}

async fn print_changes(client: &Client, after: Version, json: bool) -> Result<(), CommandError> {
    let rows: Vec<LogEntry> = client.get(&format!("/v1/log?after={after}")).await?;
    if json {
        return print::json(&rows);
    }
    let mut lines = vec![print::header(&["VERSION", "CHANGE", "BY", "AT (ms)", "ROWS"])];
    for row in rows {
        let keys = row.writes.iter().filter_map(|write| write["key"].as_str());
        lines.push(vec![
            row.version.to_string(),
            row.id.to_string(),
            row.operator.to_string(),
            row.at.to_string(),
            keys.collect::<Vec<_>>().join(" "),
        ]);
    }
    print::table(&lines);
    Ok(())
}

async fn print_row_history(
    client: &Client,
    key: &RowKey,
    after: Version,
    json: bool,
) -> Result<(), CommandError> {
    let revisions: Vec<RowRevision> =
        client.get(&format!("/v1/history?key={key}&after={after}")).await?;
    if json {
        return print::json(&revisions);
    }
    let mut lines = vec![print::header(&["VERSION", "BY", "AT (ms)", "BEFORE", "AFTER"])];
    for revision in revisions {
        lines.push(vec![
            revision.version.to_string(),
            revision.operator.to_string(),
            revision.at.to_string(),
            format_cell(revision.before.as_ref()),
            format_cell(revision.value.as_ref()),
        ]);
    }
    print::table(&lines);
    Ok(())
}

/// Prints the rows that differ between two versions.
pub async fn print_diff(client: &Client, args: &DiffArgs, json: bool) -> Result<(), CommandError> {
    let to = args.to.map(|to| format!("&to={to}")).unwrap_or_default();
    let rows: Vec<RowDiff> = client.get(&format!("/v1/diff?from={}{to}", args.from)).await?;
    if json {
        return print::json(&rows);
    }
    let mut lines = vec![print::header(&["KEY", "BEFORE", "AFTER"])];
    for row in rows {
        lines.push(vec![
            row.key.to_string(),
            format_cell(row.before.as_ref()),
            format_cell(row.after.as_ref()),
        ]);
    }
    print::table(&lines);
    Ok(())
}

/// Undoes a version by a new change that restores the values before it.
pub async fn undo(client: &Client, args: &UndoArgs) -> Result<(), CommandError> {
    let id = args.id.unwrap_or_else(|| ChangeId(rand::random()));
    let request = UndoRequest { id, version: args.version };
    let accepted: AcceptedChange = client
        .post("/v1/undo", &request)
        .await
        .map_err(|source| CommandError::Change { id, source })?;
    print::line(&format!("accepted as version {}", accepted.version));
    Ok(())
}

fn format_cell(value: Option<&Value>) -> String {
    value.map_or(ABSENT.to_owned(), Value::to_string)
}
