//! `reachhead host` and `reachhead pool`: hosts, their moves between pools, and pool owners.

use std::time::{Duration, Instant};

use reachhead_types::{
    id::{HostId, PoolName},
    pool::{HostPhase, HostRow, Resources},
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::time;

use crate::{
    args::{AddHostArgs, HostArgs, HostCommand, MoveHostArgs, PoolArgs, PoolCommand},
    client::Client,
    command::CommandError,
    print,
};

/// Pause between two polls of a host that is being moved.
const POLL_PERIOD: Duration = Duration::from_millis(500);

/// Table cell without a value.
const EMPTY_CELL: &str = "-";

#[derive(Deserialize, Serialize)]
struct Host {
    id: HostId,
    row: HostRow,
}

#[derive(Deserialize, Serialize)]
struct Pool {
    pool: PoolName,
    group: String,
    owner: Option<HostId>,
    epoch: u64,
    serving: usize,
    draining: usize,
    rebooting: usize,
    arriving: usize,
}

/// Runs a subcommand of `reachhead host`.
pub async fn run(args: &HostArgs) -> Result<(), CommandError> {
    let client = Client::for_admin(args.admin)?;
    match &args.command {
        HostCommand::Add(add) => add_host(&client, add).await,
        HostCommand::List(list) => {
            let hosts = fetch_hosts(&client, list.pool.as_ref()).await?;
            print_hosts(&hosts, args.json)
        }
        HostCommand::Move(target) => move_host(&client, target).await,
        HostCommand::Remove(remove) => {
            let _: HostRow = client.delete(&format!("/v1/hosts/{}", remove.host)).await?;
            print::line(&format!("host {} is removed", remove.host));
            Ok(())
        }
    }
}

/// Runs a subcommand of `reachhead pool`.
pub async fn run_pool(args: &PoolArgs) -> Result<(), CommandError> {
    let PoolCommand::List(_) = &args.command;
    let pools: Vec<Pool> = Client::for_admin(args.admin)?.get("/v1/pools").await?;
    if args.json {
        return print::json(&pools);
    }
    let names =
        ["POOL", "GROUP", "IN CHARGE", "EPOCH", "SERVING", "DRAINING", "REBOOTING", "ARRIVING"];
    let mut lines = vec![print::header(&names)];
    for pool in pools {
        lines.push(vec![
            pool.pool.to_string(),
            pool.group,
            pool.owner.map_or(EMPTY_CELL.to_owned(), |owner| owner.to_string()),
            pool.epoch.to_string(),
            pool.serving.to_string(),
            pool.draining.to_string(),
            pool.rebooting.to_string(),
            pool.arriving.to_string(),
        ]);
    }
    print::table(&lines);
    Ok(())
}

async fn add_host(client: &Client, args: &AddHostArgs) -> Result<(), CommandError> {
    let AddHostArgs { host, pool, zone, rack, .. } = args;
    let resources =
        Resources { cores: args.cores, memory: args.memory, accelerators: args.accelerators };
    let request = json!({
        "host": host, "pool": pool, "zone": zone, "rack": rack, "resources": resources,
    });
    let _: HostRow = client.post("/v1/hosts", &request).await?;
    print::line(&format!("host {host} is in pool {pool}"));
    Ok(())
}

async fn fetch_hosts(client: &Client, pool: Option<&PoolName>) -> Result<Vec<Host>, CommandError> {
    let query = pool.map(|pool| format!("?pool={pool}")).unwrap_or_default();
    Ok(client.get(&format!("/v1/hosts{query}")).await?)
}

fn print_hosts(hosts: &[Host], json: bool) -> Result<(), CommandError> {
    if json {
        return print::json(&hosts);
    }
    let names = ["HOST", "POOL", "PHASE", "TO", "ZONE", "RACK", "CORES", "MEMORY", "ACCELERATORS"];
    let mut lines = vec![print::header(&names)];
    for Host { id, row } in hosts {
        lines.push(vec![
            id.to_string(),
            row.pool.to_string(),
            row.phase.to_string(),
            row.target_pool.as_ref().map_or(EMPTY_CELL.to_owned(), ToString::to_string),
            row.zone.to_string(),
            row.rack.to_string(),
            row.resources.cores.to_string(),
            row.resources.memory.to_string(),
            row.resources.accelerators.to_string(),
        ]);
    }
    print::table(&lines);
    Ok(())
}

async fn move_host(client: &Client, args: &MoveHostArgs) -> Result<(), CommandError> {
    let request: Value = match (&args.to, args.cancel) {
        (Some(pool), false) => json!({ "pool": pool }),
        (None, true) => json!({ "pool": null }),
        _ => {
            let message = "give either --to or --cancel".to_owned();
            return Err(CommandError::InvalidInput(message));
        }
    };
    let mut row: HostRow = client.post(&format!("/v1/hosts/{}/want", args.host), &request).await?;
    let deadline = Instant::now() + Duration::from_secs(args.wait);
    loop {
        let target =
            row.target_pool.as_ref().map(|pool| format!(", to {pool}")).unwrap_or_default();
        print::line(&format!("{}: {} in {}{target}", args.host, row.phase, row.pool));
        let is_done = row.phase == HostPhase::Serving && row.target_pool.is_none();
        if is_done || args.wait == 0 {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(CommandError::TimedOut);
        }
        time::sleep(POLL_PERIOD).await;
        row = client.get::<Host>(&format!("/v1/hosts/{}", args.host)).await?.row;
    }
}
