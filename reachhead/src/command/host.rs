//! `reachhead host` and `reachhead pool`.

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

/// Pause between two looks while waiting.
const WAIT_STEP: Duration = Duration::from_millis(500);

/// What stands for nothing in a table.
const NOTHING: &str = "-";

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

/// Runs a command on hosts.
pub async fn run(args: &HostArgs) -> Result<(), CommandError> {
    let client = Client::with_admin(args.admin)?;
    match &args.command {
        HostCommand::Add(add) => make(&client, add).await,
        HostCommand::List(list) => {
            let hosts = read(&client, list.pool.as_ref()).await?;
            print_hosts(&hosts, args.json)
        }
        HostCommand::Move(to) => relocate(&client, to).await,
        HostCommand::Remove(remove) => {
            let _: HostRow = client.delete(&format!("/v1/hosts/{}", remove.host)).await?;
            print::line(&format!("host {} is forgotten", remove.host));
            Ok(())
        }
    }
}

/// Runs a command on pools.
pub async fn pools(args: &PoolArgs) -> Result<(), CommandError> {
    let PoolCommand::List(_) = &args.command;
    let pools: Vec<Pool> = Client::with_admin(args.admin)?.get("/v1/pools").await?;
    if args.json {
        return print::json(&pools);
    }
    let head =
        ["POOL", "GROUP", "IN CHARGE", "EPOCH", "SERVING", "DRAINING", "REBOOTING", "ARRIVING"];
    let mut lines = vec![print::head(&head)];
    for pool in pools {
        lines.push(vec![
            pool.pool.to_string(),
            pool.group,
            pool.owner.map_or(NOTHING.to_owned(), |owner| owner.to_string()),
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

async fn make(client: &Client, args: &AddHostArgs) -> Result<(), CommandError> {
    let AddHostArgs { host, pool, zone, rack, .. } = args;
    let resources =
        Resources { cores: args.cores, memory: args.memory, accelerators: args.accelerators };
    let new = json!({
        "host": host, "pool": pool, "zone": zone, "rack": rack, "resources": resources,
    });
    let _: HostRow = client.post("/v1/hosts", &new).await?;
    print::line(&format!("host {host} is in pool {pool}"));
    Ok(())
}

async fn read(client: &Client, pool: Option<&PoolName>) -> Result<Vec<Host>, CommandError> {
    let query = pool.map(|pool| format!("?pool={pool}")).unwrap_or_default();
    Ok(client.get(&format!("/v1/hosts{query}")).await?)
}

fn print_hosts(hosts: &[Host], json: bool) -> Result<(), CommandError> {
    if json {
        return print::json(&hosts);
    }
    let head = ["HOST", "POOL", "PHASE", "TO", "ZONE", "RACK", "CORES", "MEMORY", "ACCELERATORS"];
    let mut lines = vec![print::head(&head)];
    for Host { id, row } in hosts {
        lines.push(vec![
            id.to_string(),
            row.pool.to_string(),
            row.phase.to_string(),
            row.target_pool.as_ref().map_or(NOTHING.to_owned(), ToString::to_string),
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

async fn relocate(client: &Client, args: &MoveHostArgs) -> Result<(), CommandError> {
    let want: Value = match (&args.to, args.cancel) {
        (Some(pool), false) => json!({ "pool": pool }),
        (None, true) => json!({ "pool": null }),
        _ => {
            let text = "give --to or --cancel, one of the two".to_owned();
            return Err(CommandError::Kind(text));
        }
    };
    let mut row: HostRow = client.post(&format!("/v1/hosts/{}/want", args.host), &want).await?;
    let limit = Instant::now() + Duration::from_secs(args.wait);
    loop {
        let to = row.target_pool.as_ref().map(|to| format!(", to {to}")).unwrap_or_default();
        print::line(&format!("{}: {} in {}{to}", args.host, row.phase, row.pool));
        let is_done = row.phase == HostPhase::Serving && row.target_pool.is_none();
        if is_done || args.wait == 0 {
            return Ok(());
        }
        if Instant::now() >= limit {
            return Err(CommandError::Late);
        }
        time::sleep(WAIT_STEP).await;
        row = client.get::<Host>(&format!("/v1/hosts/{}", args.host)).await?.row;
    }
}
