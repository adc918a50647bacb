//! Memory and CPU time of control and entry processes as a function of the number of configuration rows.

use std::time::{Duration, Instant};

use reachhead_harness::{
    Call,
    cluster::{Cluster, ClusterConfig},
    eventually,
    process::{Process, Usage},
};
use serde_json::{Value, json};

use crate::capacity::fit::{self, Point};

/// Numbers of minions in the configuration; every ten are a service with a group and a route.
const MINIONS: [usize; 5] = [50, 200, 800, 2000, 4500];

/// Number of changes whose cost is measured.
const CHANGES: u32 = 10;

/// Warm-up time of a process before it is measured.
const WARM_UP: Duration = Duration::from_secs(2);

/// Duration of the measurement of idle processes.
const IDLE_TIME: Duration = Duration::from_secs(10);

struct Measured {
    rows: usize,
    control: Usage,
    entry: Usage,
    control_idle_percent: f64,
    entry_idle_percent: f64,
    control_ms: f64,
    entry_ms: f64,
    in_force_ms: f64,
}

/// Measures one host with configurations of growing size.
pub async fn run() -> Value {
    let mut all = Vec::new();
    for minions in MINIONS {
        eprintln!("measuring {minions} minions");
        all.push(measure(minions).await);
    }
    let points = |value: fn(&Measured) -> f64| -> Vec<Point> {
        let point = |result: &Measured| Point { size: result.rows as f64, value: value(result) };
        all.iter().map(point).collect()
    };
    let figure = |value: fn(&Measured) -> f64| {
        let points = points(value);
        let values: Vec<f64> =
            points.iter().map(|point| fit::round_significant(point.value)).collect();
        json!({ "values": values, "line": fit::fit_line(&points) })
    };
    json!({
        "rows": all.iter().map(|result| result.rows).collect::<Vec<_>>(),
        "control_mb": figure(|result| megabytes(&result.control)),
        "entry_mb": figure(|result| megabytes(&result.entry)),
        "control_rest_cpu_percent": figure(|result| result.control_idle_percent),
        "entry_rest_cpu_percent": figure(|result| result.entry_idle_percent),
        "control_cpu_ms_per_change": figure(|result| result.control_ms),
        "entry_cpu_ms_per_change": figure(|result| result.entry_ms),
        "change_in_force_ms": figure(|result| result.in_force_ms),
        "control_threads": all[0].control.threads,
        "entry_threads": all[0].entry.threads,
    })
}

async fn measure(minions: usize) -> Measured {
    let entry = json!({ "link": { "period": 250 } });
    let plan = ClusterConfig::new(0, 0).with_control(default_periods()).with_entry(entry);
    let mut cluster = plan.start_bare().await;
    cluster.configure().await;
    let rows = rows(minions);
    let count = rows.len() + harness_row_count();
    let version = cluster.change(rows).await;
    cluster.add_host();
    cluster.wait_in_force(version).await;
    tokio::time::sleep(WARM_UP).await;
    let host = &cluster.hosts[0];
    let (control_idle_percent, entry_idle_percent) =
        idle_cpu_percent(&host.control, &host.entry).await;
    let (control, entry) = (host.control.usage(), host.entry.usage());
    let in_force_ms = change_repeatedly(&cluster).await;
    let per_change = |process: &Process, before: &Usage| {
        (process.usage().cpu - before.cpu).as_secs_f64() * 1000.0 / f64::from(CHANGES)
    };
    let control_ms = per_change(&host.control, &control);
    let entry_ms = per_change(&host.entry, &entry);
    Measured {
        rows: count,
        control: host.control.usage(),
        entry: host.entry.usage(),
        control_idle_percent,
        entry_idle_percent,
        control_ms,
        entry_ms,
        in_force_ms,
    }
}

/// Returns the CPU usage of each idle process, in percent of a core.
async fn idle_cpu_percent(control: &Process, entry: &Process) -> (f64, f64) {
    let before = (control.usage().cpu, entry.usage().cpu);
    tokio::time::sleep(IDLE_TIME).await;
    let after = (control.usage().cpu, entry.usage().cpu);
    let percent = |used: Duration| used.as_secs_f64() / IDLE_TIME.as_secs_f64() * 100.0;
    (percent(after.0 - before.0), percent(after.1 - before.1))
}

/// Makes changes one after the other and returns the mean time until one is in force, in milliseconds.
async fn change_repeatedly(cluster: &Cluster) -> f64 {
    let started = Instant::now();
    for number in 1..=CHANGES {
        let row = json!({ "parent": "top", "settings": { "weight": number } });
        let version = cluster.change(vec![("group/red".to_owned(), row)]).await;
        wait_in_force(cluster, version).await;
    }
    started.elapsed().as_secs_f64() * 1000.0 / f64::from(CHANGES)
}

/// Waits until the entry process has reported `version` to its control process.
///
/// Reading the state of the entry process instead would cost more than the change.
async fn wait_in_force(cluster: &Cluster, version: u64) {
    eventually("the change is in force", async || {
        let reply = cluster.admin_call(Call::get("/v1/status")).await;
        let status: Value = serde_json::from_str(&reply.body).ok()?;
        (status["in_force"] == 1 && status["version"].as_u64()? >= version).then_some(())
    })
    .await;
}

/// Returns settings with the programs' default periods.
pub fn default_periods() -> Value {
    json!({
        "follow": { "version": 250, "members": 250 },
        "link": { "gossip": 1000 },
        "pools": { "round": 1000, "hand_over": 10_000, "confirm": 5000 },
    })
}

/// Returns the number of rows of the harness itself.
fn harness_row_count() -> usize {
    // Three groups, a pool, two services and four routes.
    10
}

/// Returns a configuration with `minions` minions.
fn rows(minions: usize) -> Vec<(String, Value)> {
    let mut rows = Vec::new();
    for service in 0..minions / 10 {
        let group = format!("g{service}");
        rows.push((format!("group/{group}"), json!({ "parent": "top" })));
        // Five services share a pool: 90 pools at 4,500 minions.
        let pool = format!("p{}", service / 5);
        if service % 5 == 0 {
            rows.push((format!("pool/{pool}"), json!({ "group": group })));
        }
        rows.push((format!("service/s{service}"), json!({ "group": group, "pool": pool })));
        let route = json!({
            "path": format!("/g{service}"), "group": group, "service": format!("s{service}"),
        });
        rows.push((format!("route/r{service}"), route));
        for minion in 0..10 {
            let address = format!("127.0.0.1:{}", 1024 + minion);
            let row = json!({ "address": address, "zone": "z1" });
            rows.push((format!("minion/s{service}/m{minion}"), row));
        }
    }
    rows
}

fn megabytes(usage: &Usage) -> f64 {
    usage.memory as f64 / f64::from(1 << 20)
}
