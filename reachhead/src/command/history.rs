//! `reachhead settings log`, `diff` and `undo`.

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
    command::{Accepted, CommandError},
    print,
};

/// What stands for a row that is not there.
const ABSENT: &str = "-";

#[derive(Deserialize, Serialize)]
struct LogRow {
    version: Version,
    id: ChangeId,
    operator: OperatorName,
    at: Millis,
    writes: Vec<Value>,
}

#[derive(Deserialize, Serialize)]
struct RowEvent {
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
struct Undo {
    id: ChangeId,
    version: Version,
}

/// Prints the changes after a version, or the writes of one row.
pub async fn log(client: &Client, args: &LogArgs, json: bool) -> Result<(), CommandError> {
    match &args.key {
        Some(key) => row(client, key, args.after, json).await,
        None => all(client, args.after, json).await,
    }
}

async fn all(client: &Client, after: Version, json: bool) -> Result<(), CommandError> {
    let rows: Vec<LogRow> = client.get(&format!("/v1/log?after={after}")).await?;
    if json {
        return print::json(&rows);
    }
    let mut lines = vec![print::head(&["VERSION", "CHANGE", "BY", "AT (ms)", "ROWS"])];
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

async fn row(
    client: &Client,
    key: &RowKey,
    after: Version,
    json: bool,
) -> Result<(), CommandError> {
    let events: Vec<RowEvent> = client.get(&format!("/v1/history?key={key}&after={after}")).await?;
    if json {
        return print::json(&events);
    }
    let mut lines = vec![print::head(&["VERSION", "BY", "AT (ms)", "BEFORE", "AFTER"])];
    for event in events {
        lines.push(vec![
            event.version.to_string(),
            event.operator.to_string(),
            event.at.to_string(),
            text(event.before.as_ref()),
            text(event.value.as_ref()),
        ]);
    }
    print::table(&lines);
    Ok(())
}

/// Prints the rows that differ between two versions.
pub async fn diff(client: &Client, args: &DiffArgs, json: bool) -> Result<(), CommandError> {
    let to = args.to.map(|to| format!("&to={to}")).unwrap_or_default();
    let rows: Vec<RowDiff> = client.get(&format!("/v1/diff?from={}{to}", args.from)).await?;
    if json {
        return print::json(&rows);
    }
    let mut lines = vec![print::head(&["KEY", "BEFORE", "AFTER"])];
    for row in rows {
        lines.push(vec![row.key.to_string(), text(row.before.as_ref()), text(row.after.as_ref())]);
    }
    print::table(&lines);
    Ok(())
}

/// Undoes a version by a new change.
pub async fn undo(client: &Client, args: &UndoArgs) -> Result<(), CommandError> {
    let id = args.id.unwrap_or_else(|| ChangeId(rand::random()));
    let undo = Undo { id, version: args.version };
    let accepted: Accepted = client
        .post("/v1/undo", &undo)
        .await
        .map_err(|source| CommandError::Change { id, source })?;
    print::line(&format!("accepted as version {}", accepted.version));
    Ok(())
}

fn text(value: Option<&Value>) -> String {
    value.map_or(ABSENT.to_owned(), Value::to_string)
}
