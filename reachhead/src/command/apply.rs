//! `reachhead apply`: brings the configuration in line with a fleet file.

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

/// Writes the rows of a fleet file that differ from the current configuration, as one change.
pub async fn run(args: &ApplyArgs) -> Result<(), CommandError> {
    let AnySettings::Fleet(file) = reachhead_config::load_any(&args.file)? else {
        let text = format!("{} is not a fleet file", args.file.display());
        return Err(CommandError::InvalidInput(text));
    };
    let client = Client::for_admin(args.admin)?;
    let rows = command::fetch_rows(&client, "").await?;
    let writes = diff_writes(&file, rows, args.prune);
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
    let version = command::submit_change(&client, None, writes).await?;
    print::line(&format!("accepted as version {version}"));
    Ok(())
}

/// Returns the writes that turn `rows` into `file`, each conditional on the version that was read.
fn diff_writes(file: &FleetFile, rows: Vec<RowReport>, prune: bool) -> Vec<RowWrite> {
    let mut current: BTreeMap<RowKey, RowReport> =
        rows.into_iter().map(|row| (row.key.clone(), row)).collect();
    let mut writes = Vec::new();
    for (key, value) in &file.rows {
        let existing = current.remove(key);
        if existing.as_ref().is_some_and(|row| row.value == *value) {
            continue;
        }
        let expected = existing.map_or(Version(0), |row| row.version);
        writes.push(conditional_write(key, Some(value.clone()), expected));
    }
    if prune {
        writes.extend(current.values().map(|row| conditional_write(&row.key, None, row.version)));
    }
    writes
}

fn conditional_write(key: &RowKey, value: Option<Value>, expected: Version) -> RowWrite {
    RowWrite { key: key.clone(), value, expected: Some(expected) }
}
