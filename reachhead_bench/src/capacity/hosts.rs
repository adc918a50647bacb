//! Cost of control processes, store calls and network traffic as a function of the number of entry hosts.

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

/// Numbers of entry hosts.
const HOSTS: [usize; 4] = [3, 10, 30, 100];

/// Duration of the measurement of an idle fleet.
const IDLE_TIME: Duration = Duration::from_secs(20);

/// Number of changes that are measured, one per second: a far higher rate than 13,000 a day.
const CHANGES: u32 = 10;

/// Resource usage; totals, or rates per second and host (of the whole fleet for store calls).
#[derive(Default)]
struct ResourceUsage {
    cpu_ms: f64,
    bytes: f64,
    reads: f64,
    commits: f64,
}

struct Measured {
    hosts: usize,
    memory_mb: f64,
    idle: ResourceUsage,
    changing: ResourceUsage,
    propagation_ms: Vec<f64>,
}

/// Measures fleets of control processes, idle and under configuration changes.
pub async fn run() -> Value {
    let mut all = Vec::new();
    for hosts in HOSTS {
        eprintln!("measuring {hosts} hosts");
        all.push(measure(hosts).await);
    }
    let figure = |value: fn(&Measured) -> f64| {
        let points: Vec<Point> = all
            .iter()
            .map(|result| Point { size: result.hosts as f64, value: value(result) })
            .collect();
        let values: Vec<f64> =
            points.iter().map(|point| fit::round_significant(point.value)).collect();
        json!({ "values": values, "line": fit::fit_line(&points) })
    };
    json!({
        "hosts": HOSTS,
        "control_mb": figure(|result| result.memory_mb),
        "rest_cpu_percent": figure(|result| result.idle.cpu_ms / 10.0),
        "busy_cpu_percent": figure(|result| result.changing.cpu_ms / 10.0),
        "rest_bytes_per_s": figure(|result| result.idle.bytes),
        "busy_bytes_per_s": figure(|result| result.changing.bytes),
        "store_reads_per_s": figure(|result| result.idle.reads),
        "store_writes_per_s": figure(|result| result.idle.commits),
        "spread_mean_ms": figure(|result| mean(&result.propagation_ms)),
        "spread_most_ms": figure(|result| result.propagation_ms.iter().copied().fold(0.0, f64::max)),
    })
}

async fn measure(hosts: usize) -> Measured {
    let mut cluster =
        ClusterConfig::new(0, 0).with_control(rows::default_periods()).start_bare().await;
    cluster.configure().await;
    let controls: Vec<Process> = (0..hosts).map(|_| cluster.add_control_process()).collect();
    wait_for_version(&cluster, hosts, 1).await;
    // Gives the periods time to grow with the size of the fleet.
    time::sleep(Duration::from_secs(3)).await;
    let idle = measure_usage(&cluster, &controls, async { time::sleep(IDLE_TIME).await }).await;
    let mut propagation_ms = Vec::new();
    let changing = measure_usage(&cluster, &controls, async {
        for number in 1..=CHANGES {
            let second = time::sleep(Duration::from_secs(1));
            propagation_ms.push(change(&cluster, hosts, number).await);
            second.await;
        }
    })
    .await;
    let memory: u64 = controls.iter().map(|control| control.usage().memory).sum();
    let memory_mb = memory as f64 / f64::from(1 << 20) / hosts as f64;
    Measured { hosts, memory_mb, idle, changing, propagation_ms }
}

/// Makes a change and returns the milliseconds until every control process has it.
async fn change(cluster: &Cluster, hosts: usize, number: u32) -> f64 {
    let row = json!({ "parent": "top", "settings": { "weight": number } });
    let started = BootInstant::now();
    let version = cluster.change(vec![("group/red".to_owned(), row)]).await;
    wait_for_version(cluster, hosts, version).await;
    started.elapsed().as_secs_f64() * 1000.0
}

/// Waits until all control processes have `version`.
async fn wait_for_version(cluster: &Cluster, hosts: usize, version: u64) {
    eventually("every control has the version", async || {
        let reply = cluster.admin_call(Call::get("/v1/status")).await;
        let status: Value = serde_json::from_str(&reply.body).ok()?;
        let has =
            |host: &Value| host["control"].as_u64().is_some_and(|reported| reported >= version);
        let known = status["hosts"].as_array()?;
        (known.len() == hosts && known.iter().all(has)).then_some(())
    })
    .await;
}

/// Measures usage per second and host while `work` runs.
async fn measure_usage(
    cluster: &Cluster,
    controls: &[Process],
    work: impl Future<Output = ()>,
) -> ResourceUsage {
    let before = read_usage(cluster, controls).await;
    let started = BootInstant::now();
    work.await;
    let seconds = started.elapsed().as_secs_f64();
    let after = read_usage(cluster, controls).await;
    let hosts = controls.len() as f64;
    ResourceUsage {
        cpu_ms: (after.cpu_ms - before.cpu_ms) / seconds / hosts,
        bytes: (after.bytes - before.bytes) / seconds / hosts,
        // Store calls are counted for the whole fleet.
        reads: (after.reads - before.reads) / seconds,
        commits: (after.commits - before.commits) / seconds,
    }
}

/// Returns the usage so far.
async fn read_usage(cluster: &Cluster, controls: &[Process]) -> ResourceUsage {
    let counts = cluster.store_counts().await;
    let number = |name: &str| counts[name].as_f64().unwrap_or_default();
    let cpu: Duration = controls.iter().map(|control| control.usage().cpu).sum();
    ResourceUsage {
        cpu_ms: cpu.as_secs_f64() * 1000.0,
        bytes: loopback_bytes(),
        reads: number("reads") + number("scans"),
        commits: number("commits"),
    }
}

/// Returns the bytes sent over loopback so far, headers included.
///
/// The difference of two readings is right only if no other process uses loopback meanwhile.
pub fn loopback_bytes() -> f64 {
    let text = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    let sent = line.and_then(|line| line.split_whitespace().nth(8));
    sent.and_then(|sent| sent.parse().ok()).unwrap_or_default()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
