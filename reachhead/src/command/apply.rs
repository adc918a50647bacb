//! `reachhead apply`.

use std::collections::BTreeMap;

use reachhead_config::{AnySettings, fleet::FleetFile};
use reachhead_types::{fleet::RowKey, size::Version};
use serde_json::Value;

use crate::{
    args::ApplyArgs,
    client::Client,
    command::{self, CommandError, RowReport, RowWrite},
    print,
};

/// Writes the rows of a fleet file that differ from those in force, as one change.
pub async fn run(args: &ApplyArgs) -> Result<(), CommandError> {
    let AnySettings::Fleet(file) = reachhead_config::load_any(&args.file)? else {
        let text = format!("{} is not a fleet file", args.file.display());
        return Err(CommandError::Kind(text));
    };
    let client = Client::with_admin(args.admin)?;
    let rows = command::rows(&client, "").await?;
    let writes = differences(&file, rows, args.prune);
    for write in &writes {
        let verb = if write.value.is_some() { "set" } else { "delete" };
        print::line(&format!("{verb} {}", write.key));
    }
    if writes.is_empty() {
        print::line("nothing to change");
        return Ok(());
    }
    if args.dry_run {
        return Ok(());
    }
    let version = command::change(&client, None, writes).await?;
    print::line(&format!("accepted as version {version}"));
    Ok(())
}

/// Returns the writes that lead from `rows` to `file`, each bound to the version that was seen.
fn differences(file: &FleetFile, rows: Vec<RowReport>, prune: bool) -> Vec<RowWrite> {
    let mut seen: BTreeMap<RowKey, RowReport> =
        rows.into_iter().map(|row| (row.key.clone(), row)).collect();
    let mut writes = Vec::new();
    for (key, value) in &file.rows {
        let before = seen.remove(key);
        if before.as_ref().is_some_and(|row| row.value == *value) {
            continue;
        }
        let expected = before.map_or(Version(0), |row| row.version);
        writes.push(write(key, Some(value.clone()), expected));
    }
    if prune {
        writes.extend(seen.values().map(|row| write(&row.key, None, row.version)));
    }
    writes
}

fn write(key: &RowKey, value: Option<Value>, expected: Version) -> RowWrite {
    RowWrite { key: key.clone(), value, expected: Some(expected) }
}
