//! Cost of one control process as a function of the number of pools that it owns, idle and in a wave.

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

/// Numbers of pools of one control process; 90 pools on 72 hosts are one or two each.
const POOLS: [usize; 4] = [1, 4, 16, 48];

/// Hosts per pool: 4,500 in 90 pools.
const HOSTS: usize = 50;

/// Warm-up time of a control process before it is measured.
const WARM_UP: Duration = Duration::from_secs(3);

/// Duration of the measurement of an idle control process.
const IDLE_TIME: Duration = Duration::from_secs(10);

struct Measured {
    pools: usize,
    memory_mb: f64,
    idle: ResourceUsage,
    wave: ResourceUsage,
    wave_s: f64,
}

/// Resource usage; totals, or rates per second or per host of a wave.
#[derive(Clone, Copy)]
struct ResourceUsage {
    cpu_ms: f64,
    bytes: f64,
    reads: f64,
    commits: f64,
}

/// Measures one control process with increasing numbers of pools.
pub async fn run() -> Value {
    let mut all = Vec::new();
    for pools in POOLS {
        eprintln!("measuring {pools} pools");
        all.push(measure(pools).await);
    }
    let figure = |value: fn(&Measured) -> f64| {
        let points: Vec<Point> = all
            .iter()
            .map(|result| Point { size: result.pools as f64, value: value(result) })
            .collect();
        let values: Vec<f64> =
            points.iter().map(|point| fit::round_significant(point.value)).collect();
        json!({ "values": values, "line": fit::fit_line(&points) })
    };
    json!({
        "pools": POOLS,
        "hosts_each": HOSTS,
        "control_mb": figure(|result| result.memory_mb),
        "rest_cpu_percent": figure(|result| result.idle.cpu_ms / 10.0),
        "rest_bytes_per_s": figure(|result| result.idle.bytes),
        "rest_reads_per_s": figure(|result| result.idle.reads),
        "rest_writes_per_s": figure(|result| result.idle.commits),
        "wave_cpu_ms_per_host": figure(|result| result.wave.cpu_ms),
        "wave_reads_per_host": figure(|result| result.wave.reads),
        "wave_writes_per_host": figure(|result| result.wave.commits),
        "wave_s": figure(|result| result.wave_s),
    })
}

async fn measure(pools: usize) -> Measured {
    let mut control = rows::default_periods();
    // The wave is one batch, so that its cost is measured and not its length.
    control["pools"]["batch"] = json!(HOSTS);
    let mut cluster = ClusterConfig::new(0, 0).with_control(control).start_bare().await;
    cluster.configure().await;
    let pool = |number: usize| (format!("pool/p{number}"), json!({ "group": "top" }));
    cluster.change((0..pools).map(pool).collect()).await;
    for number in 0..pools * HOSTS {
        cluster.add_worker(&format!("w{number}"), &format!("p{}", number / HOSTS)).await;
    }
    let control = cluster.add_control_process();
    eventually("the control process owns all pools", async || {
        let pools = cluster.admin_get("/v1/pools").await;
        pools.as_array()?.iter().all(|pool| pool["owner"].is_string()).then_some(())
    })
    .await;
    time::sleep(WARM_UP).await;
    let before = read_usage(&cluster, &control).await;
    time::sleep(IDLE_TIME).await;
    let idle =
        read_usage(&cluster, &control).await.since(&before).divided_by(IDLE_TIME.as_secs_f64());
    let memory_mb = control.usage().memory as f64 / f64::from(1 << 20);
    let (wave, wave_s) = run_wave(&cluster, &control).await;
    Measured { pools, memory_mb, idle, wave, wave_s }
}

/// Runs a wave over the first pool, and returns its usage per host and its duration in seconds.
async fn run_wave(cluster: &Cluster, control: &Process) -> (ResourceUsage, f64) {
    let before = read_usage(cluster, control).await;
    let started = Instant::now();
    let wave = json!({ "name": "wave-1", "pools": ["p0"] }).to_string();
    let reply = cluster.admin_call(Call::post("/v1/waves", &wave)).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    let mut checks = 0.0;
    eventually("the wave is over", async || {
        // The checks load the store too, so they are rare and subtracted below.
        time::sleep(Duration::from_secs(1)).await;
        checks += 1.0;
        let hosts = cluster.admin_get("/v1/hosts?pool=p0").await;
        let is_done =
            |host: &Value| host["row"]["done"] == "wave-1" && host["row"]["phase"] == "serving";
        hosts.as_array()?.iter().all(is_done).then_some(())
    })
    .await;
    let mut used = read_usage(cluster, control).await.since(&before);
    // Each check reads the head of the configuration, a page of the pool's hosts and their rows.
    used.reads -= 3.0 * checks;
    (used.divided_by(HOSTS as f64), started.elapsed().as_secs_f64())
}

/// Returns the usage so far.
async fn read_usage(cluster: &Cluster, control: &Process) -> ResourceUsage {
    let counts = cluster.store_counts().await;
    let number = |name: &str| counts[name].as_f64().unwrap_or_default();
    ResourceUsage {
        cpu_ms: control.usage().cpu.as_secs_f64() * 1000.0,
        bytes: loopback_bytes(),
        reads: number("reads") + number("scans"),
        commits: number("commits"),
    }
}

impl ResourceUsage {
    fn since(self, before: &Self) -> Self {
        Self {
            cpu_ms: self.cpu_ms - before.cpu_ms,
            bytes: self.bytes - before.bytes,
            reads: self.reads - before.reads,
            commits: self.commits - before.commits,
        }
    }

    fn divided_by(self, divisor: f64) -> Self {
        Self {
            cpu_ms: self.cpu_ms / divisor,
            bytes: self.bytes / divisor,
            reads: self.reads / divisor,
            commits: self.commits / divisor,
        }
    }
}
