//! Memory and processor time of control and entry over the number of configuration rows.

use std::time::{Duration, Instant};

use reachhead_harness::{
    Call,
    cluster::{Cluster, ClusterConfig},
    eventually,
    process::{Process, Usage},
};
use serde_json::{Value, json};

use crate::capacity::fit::{self, Point};

/// Minions in the configuration; each ten are a service with a group and a route.
const MINIONS: [usize; 5] = [50, 200, 800, 2000, 4500];

/// Changes of which the cost is measured.
const CHANGES: u32 = 10;

/// How long a process settles before it is measured.
const SETTLE: Duration = Duration::from_secs(2);

/// How long processes at rest are measured.
const REST: Duration = Duration::from_secs(10);

struct Measured {
    rows: usize,
    control: Usage,
    entry: Usage,
    control_rest: f64,
    entry_rest: f64,
    control_ms: f64,
    entry_ms: f64,
    spread_ms: f64,
}

/// Measures one host with configurations of growing size.
pub async fn run() -> Value {
    let mut all = Vec::new();
    for minions in MINIONS {
        eprintln!("measuring {minions} minions");
        all.push(measure(minions).await);
    }
    let points = |value: fn(&Measured) -> f64| -> Vec<Point> {
        let point = |one: &Measured| Point { size: one.rows as f64, value: value(one) };
        all.iter().map(point).collect()
    };
    let figure = |value: fn(&Measured) -> f64| {
        let points = points(value);
        let values: Vec<f64> = points.iter().map(|point| fit::short(point.value)).collect();
        json!({ "values": values, "line": fit::line(&points) })
    };
    json!({
        "rows": all.iter().map(|one| one.rows).collect::<Vec<_>>(),
        "control_mb": figure(|one| megabytes(&one.control)),
        "entry_mb": figure(|one| megabytes(&one.entry)),
        "control_rest_cpu_percent": figure(|one| one.control_rest),
        "entry_rest_cpu_percent": figure(|one| one.entry_rest),
        "control_cpu_ms_per_change": figure(|one| one.control_ms),
        "entry_cpu_ms_per_change": figure(|one| one.entry_ms),
        "change_in_force_ms": figure(|one| one.spread_ms),
        "control_threads": all[0].control.threads,
        "entry_threads": all[0].entry.threads,
    })
}

async fn measure(minions: usize) -> Measured {
    let entry = json!({ "link": { "period": 250 } });
    let plan = ClusterConfig::new(0, 0).with_control(production()).with_entry(entry);
    let mut cluster = plan.start_bare().await;
    cluster.configure().await;
    let rows = rows(minions);
    let count = rows.len() + cluster_rows();
    let version = cluster.change(rows).await;
    cluster.add_host();
    cluster.wait_in_force(version).await;
    tokio::time::sleep(SETTLE).await;
    let host = &cluster.hosts[0];
    let (control_rest, entry_rest) = rest(&host.control, &host.entry).await;
    let (control, entry) = (host.control.usage(), host.entry.usage());
    let spread_ms = change_repeatedly(&cluster).await;
    let per_change = |process: &Process, before: &Usage| {
        (process.usage().cpu - before.cpu).as_secs_f64() * 1000.0 / f64::from(CHANGES)
    };
    let control_ms = per_change(&host.control, &control);
    let entry_ms = per_change(&host.entry, &entry);
    Measured {
        rows: count,
        control: host.control.usage(),
        entry: host.entry.usage(),
        control_rest,
        entry_rest,
        control_ms,
        entry_ms,
        spread_ms,
    }
}

/// Returns the share of a core, in percent, that each process uses while nothing happens.
async fn rest(control: &Process, entry: &Process) -> (f64, f64) {
    let before = (control.usage().cpu, entry.usage().cpu);
    tokio::time::sleep(REST).await;
    let after = (control.usage().cpu, entry.usage().cpu);
    let percent = |used: Duration| used.as_secs_f64() / REST.as_secs_f64() * 100.0;
    (percent(after.0 - before.0), percent(after.1 - before.1))
}

/// Makes changes one after the other and returns the mean time until each is in force.
async fn change_repeatedly(cluster: &Cluster) -> f64 {
    let started = Instant::now();
    for number in 1..=CHANGES {
        let row = json!({ "parent": "top", "settings": { "weight": number } });
        let version = cluster.change(vec![("group/red".to_owned(), row)]).await;
        entry_has(cluster, version).await;
    }
    started.elapsed().as_secs_f64() * 1000.0 / f64::from(CHANGES)
}

/// Waits until the entry process has told its control that it has `version`; a look at its state
/// would cost more than the change.
async fn entry_has(cluster: &Cluster, version: u64) {
    eventually("the change is in force", async || {
        let reply = cluster.admin_call(Call::get("/v1/status")).await;
        let status: Value = serde_json::from_str(&reply.body).ok()?;
        (status["in_force"] == 1 && status["version"].as_u64()? >= version).then_some(())
    })
    .await;
}

/// The periods that the programs have by default.
pub fn production() -> Value {
    json!({
        "follow": { "version": 250, "members": 250 },
        "link": { "gossip": 1000 },
        "pools": { "round": 1000, "hand_over": 10_000, "confirm": 5000 },
    })
}

fn cluster_rows() -> usize {
    // Three groups, a pool, two services and four routes of the harness.
    10
}

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
