//! `reachhead wave`: starts, steers and shows maintenance waves.

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

/// Pause between two polls of a wave.
const POLL_PERIOD: Duration = Duration::from_millis(500);

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
    /// Returns the host's stage in the wave as one word.
    fn stage(&self) -> String {
        match (self.phase, self.is_done) {
            (HostPhase::Serving, true) => "done".to_owned(),
            (HostPhase::Serving, false) => "waiting".to_owned(),
            (phase, _) => phase.to_string(),
        }
    }

    /// Returns whether the host is being drained, rebooted or brought back.
    fn is_in_progress(&self) -> bool {
        self.phase != HostPhase::Serving
    }
}

/// Runs a subcommand of `reachhead wave`.
pub async fn run(args: &WaveArgs) -> Result<(), CommandError> {
    let client = Client::for_admin(args.admin)?;
    match &args.command {
        WaveCommand::Start(start) => {
            let request = json!({ "name": start.name, "pools": start.pool });
            let waves: Vec<Wave> = client.post("/v1/waves", &request).await?;
            wait_and_show(&client, &start.name, waves, start.wait, args.json).await
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
            print_waves(&waves, args.json)
        }
        WaveCommand::Show(show) => {
            let waves = fetch_wave(&client, &show.name).await?;
            wait_and_show(&client, &show.name, waves, show.wait, args.json).await
        }
    }
}

async fn fetch_wave(client: &Client, name: &WaveName) -> Result<Vec<Wave>, CommandError> {
    let waves: Vec<Wave> = client.get(&format!("/v1/waves/{name}")).await?;
    match waves.is_empty() {
        true => Err(CommandError::InvalidInput(format!("there is no wave {name}"))),
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
    print_waves(&waves, json)
}

/// Prints the hosts of waves; first prints their progress for up to `wait` seconds, until all are
/// done.
async fn wait_and_show(
    client: &Client,
    name: &WaveName,
    mut waves: Vec<Wave>,
    wait: u64,
    json: bool,
) -> Result<(), CommandError> {
    let deadline = Instant::now() + Duration::from_secs(wait);
    let mut last_line = String::new();
    while wait > 0 && !is_done(&waves) {
        let line = format_progress(&waves);
        if line != last_line {
            print::line(&line);
            last_line = line;
        }
        if Instant::now() >= deadline {
            return Err(CommandError::TimedOut);
        }
        time::sleep(POLL_PERIOD).await;
        waves = fetch_wave(client, name).await?;
    }
    print_hosts(&waves, json)
}

fn is_done(waves: &[Wave]) -> bool {
    let mut hosts = waves.iter().flat_map(|wave| &wave.hosts);
    hosts.all(|host| host.is_done && !host.is_in_progress())
}

fn format_progress(waves: &[Wave]) -> String {
    let hosts: Vec<&Host> = waves.iter().flat_map(|wave| &wave.hosts).collect();
    let done = hosts.iter().filter(|host| host.is_done).count();
    let in_progress = hosts.iter().filter(|host| host.is_in_progress()).count();
    let held = hosts.iter().filter(|host| host.hold.is_some()).count();
    format!("{done} of {} hosts done, {in_progress} on their way, {held} held", hosts.len())
}

fn print_waves(waves: &[Wave], json: bool) -> Result<(), CommandError> {
    if json {
        return print::json(&waves);
    }
    let mut lines =
        vec![print::header(&["WAVE", "POOL", "STATE", "HOSTS", "DONE", "ON THEIR WAY"])];
    for wave in waves {
        let done = wave.hosts.iter().filter(|host| host.is_done).count();
        let in_progress = wave.hosts.iter().filter(|host| host.is_in_progress()).count();
        lines.push(vec![
            wave.name.to_string(),
            wave.pool.to_string(),
            wave.state.to_string(),
            wave.hosts.len().to_string(),
            done.to_string(),
            in_progress.to_string(),
        ]);
    }
    print::table(&lines);
    Ok(())
}

fn print_hosts(waves: &[Wave], json: bool) -> Result<(), CommandError> {
    if json {
        return print::json(&waves);
    }
    let mut lines = vec![print::header(&["HOST", "POOL", "STAGE", "HELD BY"])];
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
