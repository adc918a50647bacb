//! What one control process spends on the pools that it is in charge of, at rest and in a wave.

use std::time::{Duration, Instant};

use reachhead_harness::{
    Call,
    cluster::{Cluster, ClusterConfig},
    eventually,
    process::Process,
};
use serde_json::{Value, json};
use tokio::time;

use crate::capacity::{
    fit::{self, Point},
    hosts::loopback_bytes,
    rows,
};

/// Pools of one control; 90 pools on 72 hosts are one or two each.
const POOLS: [usize; 4] = [1, 4, 16, 48];

/// Hosts of a pool: 4,500 in 90.
const HOSTS: usize = 50;

/// How long a control settles before it is measured.
const SETTLE: Duration = Duration::from_secs(3);

/// How long a control at rest is measured.
const REST: Duration = Duration::from_secs(10);

struct Measured {
    pools: usize,
    memory_mb: f64,
    rest: Sample,
    wave: Sample,
    wave_s: f64,
}

/// What was used a second, or for each host of a wave.
#[derive(Clone, Copy)]
struct Sample {
    cpu_ms: f64,
    bytes: f64,
    reads: f64,
    commits: f64,
}

/// Measures one control with more and more pools.
pub async fn run() -> Value {
    let mut all = Vec::new();
    for pools in POOLS {
        eprintln!("measuring {pools} pools");
        all.push(measure(pools).await);
    }
    let figure = |value: fn(&Measured) -> f64| {
        let points: Vec<Point> =
            all.iter().map(|one| Point { size: one.pools as f64, value: value(one) }).collect();
        let values: Vec<f64> = points.iter().map(|point| fit::short(point.value)).collect();
        json!({ "values": values, "line": fit::line(&points) })
    };
    json!({
        "pools": POOLS,
        "hosts_each": HOSTS,
        "control_mb": figure(|one| one.memory_mb),
        "rest_cpu_percent": figure(|one| one.rest.cpu_ms / 10.0),
        "rest_bytes_per_s": figure(|one| one.rest.bytes),
        "rest_reads_per_s": figure(|one| one.rest.reads),
        "rest_writes_per_s": figure(|one| one.rest.commits),
        "wave_cpu_ms_per_host": figure(|one| one.wave.cpu_ms),
        "wave_reads_per_host": figure(|one| one.wave.reads),
        "wave_writes_per_host": figure(|one| one.wave.commits),
        "wave_s": figure(|one| one.wave_s),
    })
}

async fn measure(pools: usize) -> Measured {
    let mut control = rows::production();
    // A wave of one batch, so that its cost and not its length is measured.
    control["pools"]["batch"] = json!(HOSTS);
    let mut cluster = ClusterConfig::new(0, 0).with_control(control).start_bare().await;
    cluster.configure().await;
    let pool = |number: usize| (format!("pool/p{number}"), json!({ "group": "top" }));
    cluster.change((0..pools).map(pool).collect()).await;
    for number in 0..pools * HOSTS {
        cluster.add_worker(&format!("w{number}"), &format!("p{}", number / HOSTS)).await;
    }
    let control = cluster.add_control_process();
    eventually("the control is in charge of all pools", async || {
        let found = cluster.admin_get("/v1/pools").await;
        found.as_array()?.iter().all(|pool| pool["owner"].is_string()).then_some(())
    })
    .await;
    time::sleep(SETTLE).await;
    let before = count(&cluster, &control).await;
    time::sleep(REST).await;
    let rest = count(&cluster, &control).await.since(&before).over(REST.as_secs_f64());
    let memory_mb = control.usage().memory as f64 / f64::from(1 << 20);
    let (wave, wave_s) = run_wave(&cluster, &control).await;
    Measured { pools, memory_mb, rest, wave, wave_s }
}

/// Runs a wave over the first pool, and returns what it took for each host and in seconds.
async fn run_wave(cluster: &Cluster, control: &Process) -> (Sample, f64) {
    let before = count(cluster, control).await;
    let started = Instant::now();
    let wave = json!({ "name": "wave-1", "pools": ["p0"] }).to_string();
    let reply = cluster.admin_call(Call::post("/v1/waves", &wave)).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    let mut looks = 0.0;
    eventually("the wave is over", async || {
        // The looks are a load too, so they are few and taken off below.
        time::sleep(Duration::from_secs(1)).await;
        looks += 1.0;
        let hosts = cluster.admin_get("/v1/hosts?pool=p0").await;
        let is_done =
            |host: &Value| host["row"]["done"] == "wave-1" && host["row"]["phase"] == "serving";
        hosts.as_array()?.iter().all(is_done).then_some(())
    })
    .await;
    let mut used = count(cluster, control).await.since(&before);
    // The head of the configuration, a page of the pool's hosts and their rows.
    used.reads -= 3.0 * looks;
    (used.over(HOSTS as f64), started.elapsed().as_secs_f64())
}

async fn count(cluster: &Cluster, control: &Process) -> Sample {
    let counts = cluster.store_counts().await;
    let number = |name: &str| counts[name].as_f64().unwrap_or_default();
    Sample {
        cpu_ms: control.usage().cpu.as_secs_f64() * 1000.0,
        bytes: loopback_bytes(),
        reads: number("reads") + number("scans"),
        commits: number("commits"),
    }
}

impl Sample {
    fn since(self, before: &Self) -> Self {
        Self {
            cpu_ms: self.cpu_ms - before.cpu_ms,
            bytes: self.bytes - before.bytes,
            reads: self.reads - before.reads,
            commits: self.commits - before.commits,
        }
    }

    fn over(self, number: f64) -> Self {
        Self {
            cpu_ms: self.cpu_ms / number,
            bytes: self.bytes / number,
            reads: self.reads / number,
            commits: self.commits / number,
        }
    }
}
