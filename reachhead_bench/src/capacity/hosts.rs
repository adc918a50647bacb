//! Control processes, the store's calls and the wire over the number of entry hosts.

use std::{fs, time::Duration};

use reachhead_harness::{
    Call,
    cluster::{Cluster, ClusterConfig},
    eventually,
    process::Process,
};
use reachhead_types::boot_instant::BootInstant;
use serde_json::{Value, json};
use tokio::time;

use crate::capacity::{
    fit::{self, Point},
    rows,
};

/// Entry hosts.
const HOSTS: [usize; 4] = [3, 10, 30, 100];

/// How long a quiet fleet is measured.
const REST: Duration = Duration::from_secs(20);

/// Changes that are measured, one a second: far more than 13,000 a day.
const CHANGES: u32 = 10;

#[derive(Default)]
struct Sample {
    cpu_ms: f64,
    bytes: f64,
    reads: f64,
    commits: f64,
}

struct Measured {
    hosts: usize,
    memory_mb: f64,
    rest: Sample,
    busy: Sample,
    spread_ms: Vec<f64>,
}

/// Measures fleets of control processes at rest and under change.
pub async fn run() -> Value {
    let mut all = Vec::new();
    for hosts in HOSTS {
        eprintln!("measuring {hosts} hosts");
        all.push(measure(hosts).await);
    }
    let figure = |value: fn(&Measured) -> f64| {
        let points: Vec<Point> =
            all.iter().map(|one| Point { size: one.hosts as f64, value: value(one) }).collect();
        let values: Vec<f64> = points.iter().map(|point| fit::short(point.value)).collect();
        json!({ "values": values, "line": fit::line(&points) })
    };
    json!({
        "hosts": HOSTS,
        "control_mb": figure(|one| one.memory_mb),
        "rest_cpu_percent": figure(|one| one.rest.cpu_ms / 10.0),
        "busy_cpu_percent": figure(|one| one.busy.cpu_ms / 10.0),
        "rest_bytes_per_s": figure(|one| one.rest.bytes),
        "busy_bytes_per_s": figure(|one| one.busy.bytes),
        "store_reads_per_s": figure(|one| one.rest.reads),
        "store_writes_per_s": figure(|one| one.rest.commits),
        "spread_mean_ms": figure(|one| mean(&one.spread_ms)),
        "spread_most_ms": figure(|one| one.spread_ms.iter().copied().fold(0.0, f64::max)),
    })
}

async fn measure(hosts: usize) -> Measured {
    let mut cluster = ClusterConfig::new(0, 0).with_control(rows::production()).start_bare().await;
    cluster.configure().await;
    let controls: Vec<Process> = (0..hosts).map(|_| cluster.add_control_process()).collect();
    all_have(&cluster, hosts, 1).await;
    // Long enough for the periods to have grown to the fleet.
    time::sleep(Duration::from_secs(3)).await;
    let rest = sample(&cluster, &controls, async { time::sleep(REST).await }).await;
    let mut spread_ms = Vec::new();
    let busy = sample(&cluster, &controls, async {
        for number in 1..=CHANGES {
            let second = time::sleep(Duration::from_secs(1));
            spread_ms.push(change(&cluster, hosts, number).await);
            second.await;
        }
    })
    .await;
    let memory: u64 = controls.iter().map(|control| control.usage().memory).sum();
    let memory_mb = memory as f64 / f64::from(1 << 20) / hosts as f64;
    Measured { hosts, memory_mb, rest, busy, spread_ms }
}

/// Makes a change and returns the milliseconds until every control has it.
async fn change(cluster: &Cluster, hosts: usize, number: u32) -> f64 {
    let row = json!({ "parent": "top", "settings": { "weight": number } });
    let started = BootInstant::now();
    let version = cluster.change(vec![("group/red".to_owned(), row)]).await;
    all_have(cluster, hosts, version).await;
    started.elapsed().as_secs_f64() * 1000.0
}

async fn all_have(cluster: &Cluster, hosts: usize, version: u64) {
    eventually("every control has the version", async || {
        let reply = cluster.admin_call(Call::get("/v1/status")).await;
        let status: Value = serde_json::from_str(&reply.body).ok()?;
        let has = |host: &Value| host["control"].as_u64().is_some_and(|have| have >= version);
        let known = status["hosts"].as_array()?;
        (known.len() == hosts && known.iter().all(has)).then_some(())
    })
    .await;
}

/// Measures what happens for each host and second while `work` goes on.
async fn sample(cluster: &Cluster, controls: &[Process], work: impl Future<Output = ()>) -> Sample {
    let before = count(cluster, controls).await;
    let started = BootInstant::now();
    work.await;
    let seconds = started.elapsed().as_secs_f64();
    let after = count(cluster, controls).await;
    let hosts = controls.len() as f64;
    Sample {
        cpu_ms: (after.cpu_ms - before.cpu_ms) / seconds / hosts,
        bytes: (after.bytes - before.bytes) / seconds / hosts,
        // The store's calls are of the whole fleet.
        reads: (after.reads - before.reads) / seconds,
        commits: (after.commits - before.commits) / seconds,
    }
}

async fn count(cluster: &Cluster, controls: &[Process]) -> Sample {
    let counts = cluster.store_counts().await;
    let number = |name: &str| counts[name].as_f64().unwrap_or_default();
    let cpu: Duration = controls.iter().map(|control| control.usage().cpu).sum();
    Sample {
        cpu_ms: cpu.as_secs_f64() * 1000.0,
        bytes: loopback_bytes(),
        reads: number("reads") + number("scans"),
        commits: number("commits"),
    }
}

/// Returns the bytes that went over loopback, headers included; nothing else should use it now.
pub fn loopback_bytes() -> f64 {
    let text = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    let sent = line.and_then(|line| line.split_whitespace().nth(8));
    sent.and_then(|sent| sent.parse().ok()).unwrap_or_default()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
