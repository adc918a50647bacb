//! `reachhead settings`: reads and changes configuration rows.

use std::time::{Duration, Instant};

use reachhead_types::{id::HostId, size::Version};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::time;

use crate::{
    args::{DeleteArgs, SetArgs, SettingsArgs, SettingsCommand, StatusArgs},
    client::Client,
    command::{self, CommandError, RowWrite, history},
    print,
};

/// Pause between two polls of the status.
const POLL_PERIOD: Duration = Duration::from_millis(200);

/// Runs a subcommand of `reachhead settings`.
pub async fn run(args: &SettingsArgs) -> Result<(), CommandError> {
    let client = Client::for_admin(args.admin)?;
    match &args.command {
        SettingsCommand::Get(get) => print_rows(&client, &get.prefix, args.json).await,
        SettingsCommand::Set(set) => set_row(&client, set).await,
        SettingsCommand::Delete(delete) => delete_row(&client, delete).await,
        SettingsCommand::Effective(effective) => {
            let report: EffectiveSettings =
                client.get(&format!("/v1/effective/{}", effective.group)).await?;
            print_effective(&report, args.json)
        }
        SettingsCommand::Log(log) => history::print_log(&client, log, args.json).await,
        SettingsCommand::Diff(diff) => history::print_diff(&client, diff, args.json).await,
        SettingsCommand::Undo(undo) => history::undo(&client, undo).await,
        SettingsCommand::Status(status) => wait_status(&client, status, args.json).await,
    }
}

async fn print_rows(client: &Client, prefix: &str, json: bool) -> Result<(), CommandError> {
    let rows = command::fetch_rows(client, prefix).await?;
    if json {
        return print::json(&rows);
    }
    let mut lines = vec![print::header(&["KEY", "VERSION", "VALUE"])];
    for row in rows {
        lines.push(vec![row.key.to_string(), row.version.to_string(), row.value.to_string()]);
    }
    print::table(&lines);
    Ok(())
}

async fn set_row(client: &Client, args: &SetArgs) -> Result<(), CommandError> {
    let value: Value = serde_json::from_str(&args.value)?;
    let write = RowWrite { key: args.key.clone(), value: Some(value), expected: args.expected };
    let version = command::submit_change(client, args.id, vec![write]).await?;
    print::line(&format!("accepted as version {version}"));
    Ok(())
}

async fn delete_row(client: &Client, args: &DeleteArgs) -> Result<(), CommandError> {
    let write = RowWrite { key: args.key.clone(), value: None, expected: args.expected };
    let version = command::submit_change(client, args.id, vec![write]).await?;
    print::line(&format!("accepted as version {version}"));
    Ok(())
}

#[derive(Deserialize, Serialize)]
struct EffectiveSettings {
    settings: serde_json::Map<String, Value>,
    origins: serde_json::Map<String, Value>,
}

fn print_effective(report: &EffectiveSettings, json: bool) -> Result<(), CommandError> {
    if json {
        return print::json(report);
    }
    let mut lines = vec![print::header(&["SETTING", "VALUE", "FROM"])];
    for (name, value) in &report.settings {
        let origin = report.origins.get(name).and_then(Value::as_str).unwrap_or("(default)");
        lines.push(vec![name.clone(), value.to_string(), origin.to_owned()]);
    }
    print::table(&lines);
    Ok(())
}

#[derive(Deserialize, Serialize)]
struct HostStatus {
    host: HostId,
    control: Option<Version>,
    entry: Option<Version>,
}

#[derive(Deserialize, Serialize)]
struct Status {
    version: Version,
    in_force: usize,
    hosts: Vec<HostStatus>,
}

/// Prints on how many hosts the newest version is in force, waiting for all of them if asked to.
async fn wait_status(client: &Client, args: &StatusArgs, json: bool) -> Result<(), CommandError> {
    let deadline = Instant::now() + Duration::from_secs(args.wait);
    loop {
        let status: Status = client.get("/v1/status").await?;
        let is_complete = status.in_force == status.hosts.len();
        if is_complete || Instant::now() >= deadline {
            print_status(&status, json)?;
            let has_timed_out = args.wait > 0 && !is_complete;
            return if has_timed_out { Err(CommandError::TimedOut) } else { Ok(()) };
        }
        time::sleep(POLL_PERIOD).await;
    }
}

fn print_status(status: &Status, json: bool) -> Result<(), CommandError> {
    if json {
        return print::json(status);
    }
    let Status { version, in_force, hosts } = status;
    print::line(&format!("version {version} is in force on {in_force} of {} hosts", hosts.len()));
    let mut lines = vec![print::header(&["HOST", "CONTROL", "ENTRY"])];
    let format_version =
        |version: Option<Version>| version.map_or("?".to_owned(), |v| v.to_string());
    for host in hosts {
        lines.push(vec![
            host.host.to_string(),
            format_version(host.control),
            format_version(host.entry),
        ]);
    }
    print::table(&lines);
    Ok(())
}
