//! `reachhead wave`.

use std::time::{Duration, Instant};

use reachhead_types::{
    id::{HostId, PoolName, WaveName},
    pool::{HostPhase, WaveState},
};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time;

use crate::{
    args::{WaveArgs, WaveCommand},
    client::Client,
    command::CommandError,
    print,
};

/// Pause between two looks while waiting.
const WAIT_STEP: Duration = Duration::from_millis(500);

#[derive(Deserialize, Serialize)]
struct Wave {
    pool: PoolName,
    name: WaveName,
    state: WaveState,
    hosts: Vec<Host>,
}

#[derive(Deserialize, Serialize)]
struct Host {
    host: HostId,
    phase: HostPhase,
    is_done: bool,
    hold: Option<String>,
}

impl Host {
    /// Returns where the host stands, in a word.
    fn stage(&self) -> String {
        match (self.phase, self.is_done) {
            (HostPhase::Serving, true) => "done".to_owned(),
            (HostPhase::Serving, false) => "waiting".to_owned(),
            (phase, _) => phase.to_string(),
        }
    }

    fn is_on_way(&self) -> bool {
        self.phase != HostPhase::Serving
    }
}

/// Runs a command on waves.
pub async fn run(args: &WaveArgs) -> Result<(), CommandError> {
    let client = Client::with_admin(args.admin)?;
    match &args.command {
        WaveCommand::Start(start) => {
            let new = json!({ "name": start.name, "pools": start.pool });
            let waves: Vec<Wave> = client.post("/v1/waves", &new).await?;
            finish(&client, &start.name, waves, start.wait, args.json).await
        }
        WaveCommand::Pause(pause) => {
            set_state(&client, &pause.name, WaveState::Paused, args.json).await
        }
        WaveCommand::Resume(resume) => {
            set_state(&client, &resume.name, WaveState::Running, args.json).await
        }
        WaveCommand::Cancel(cancel) => {
            set_state(&client, &cancel.name, WaveState::Cancelled, args.json).await
        }
        WaveCommand::List(_) => {
            let waves: Vec<Wave> = client.get("/v1/waves").await?;
            list(&waves, args.json)
        }
        WaveCommand::Show(show) => {
            let waves = read(&client, &show.name).await?;
            finish(&client, &show.name, waves, show.wait, args.json).await
        }
    }
}

async fn read(client: &Client, name: &WaveName) -> Result<Vec<Wave>, CommandError> {
    let waves: Vec<Wave> = client.get(&format!("/v1/waves/{name}")).await?;
    match waves.is_empty() {
        true => Err(CommandError::Kind(format!("there is no wave {name}"))),
        false => Ok(waves),
    }
}

async fn set_state(
    client: &Client,
    name: &WaveName,
    state: WaveState,
    json: bool,
) -> Result<(), CommandError> {
    let path = format!("/v1/waves/{name}/state");
    let waves: Vec<Wave> = client.post(&path, &json!({ "state": state })).await?;
    list(&waves, json)
}

/// Prints waves, with their progress until all hosts are done if `wait` is not 0.
async fn finish(
    client: &Client,
    name: &WaveName,
    mut waves: Vec<Wave>,
    wait: u64,
    json: bool,
) -> Result<(), CommandError> {
    let limit = Instant::now() + Duration::from_secs(wait);
    let mut told = String::new();
    while wait > 0 && !is_done(&waves) {
        let line = progress(&waves);
        if line != told {
            print::line(&line);
            told = line;
        }
        if Instant::now() >= limit {
            return Err(CommandError::Late);
        }
        time::sleep(WAIT_STEP).await;
        waves = read(client, name).await?;
    }
    show(&waves, json)
}

fn is_done(waves: &[Wave]) -> bool {
    let mut hosts = waves.iter().flat_map(|wave| &wave.hosts);
    hosts.all(|host| host.is_done && !host.is_on_way())
}

fn progress(waves: &[Wave]) -> String {
    let hosts: Vec<&Host> = waves.iter().flat_map(|wave| &wave.hosts).collect();
    let done = hosts.iter().filter(|host| host.is_done).count();
    let on_way = hosts.iter().filter(|host| host.is_on_way()).count();
    let held = hosts.iter().filter(|host| host.hold.is_some()).count();
    format!("{done} of {} hosts done, {on_way} on their way, {held} held", hosts.len())
}

fn list(waves: &[Wave], json: bool) -> Result<(), CommandError> {
    if json {
        return print::json(&waves);
    }
    let mut lines = vec![print::head(&["WAVE", "POOL", "STATE", "HOSTS", "DONE", "ON THEIR WAY"])];
    for wave in waves {
        let done = wave.hosts.iter().filter(|host| host.is_done).count();
        let on_way = wave.hosts.iter().filter(|host| host.is_on_way()).count();
        lines.push(vec![
            wave.name.to_string(),
            wave.pool.to_string(),
            wave.state.to_string(),
            wave.hosts.len().to_string(),
            done.to_string(),
            on_way.to_string(),
        ]);
    }
    print::table(&lines);
    Ok(())
}

fn show(waves: &[Wave], json: bool) -> Result<(), CommandError> {
    if json {
        return print::json(&waves);
    }
    let mut lines = vec![print::head(&["HOST", "POOL", "STAGE", "HELD BY"])];
    for wave in waves {
        for host in &wave.hosts {
            lines.push(vec![
                host.host.to_string(),
                wave.pool.to_string(),
                host.stage(),
                host.hold.clone().unwrap_or_default(),
            ]);
        }
    }
    print::table(&lines);
    Ok(())
}
