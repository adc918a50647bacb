//! Overhead of the entry process, compared with a bare forwarder and with direct requests.

use std::{env, net::SocketAddr, time::Duration};

use reachhead_harness::{
    cluster::{Cluster, ClusterConfig, free_address, wait_listening},
    process::Process,
};
use serde_json::{Value, json};

use crate::load::{self, Workload};

/// Callers of the throughput runs; as many as the minions have slots.
const CALLERS: usize = 32;

/// Minions of the service.
const MINIONS: usize = 4;

/// Duration of a run.
const LENGTH: Duration = Duration::from_secs(4);

/// Number of throughput runs of each, alternating.
const ROUNDS: usize = 5;

/// Maximum arrivals per second that the load generator sustains next to the processes under test.
const MAX_RATE: f64 = 8_000.0;

/// Requests per second and per core-second.
struct Throughput {
    per_second: f64,
    per_core: f64,
}

/// Measures throughput per core-second, then latency at half of the entry's maximum throughput.
pub async fn run() -> Value {
    let cluster = ClusterConfig::new(1, MINIONS).start().await;
    let minions: Vec<SocketAddr> =
        cluster.minions.iter().filter(|m| m.service == "alpha").map(|m| m.address).collect();
    let (forwarder, forwarder_address) = start_forwarder(&cluster, &minions).await;
    let entry = &cluster.hosts[0];
    let mut entry_runs = Vec::new();
    let mut forwarder_runs = Vec::new();
    for _ in 0..ROUNDS {
        forwarder_runs.push(measure_throughput(forwarder_address, &forwarder).await);
        entry_runs.push(measure_throughput(entry.callers, &entry.entry).await);
    }
    let direct = load::closed_loop(&workload(minions.clone()), CALLERS, LENGTH).await;
    let entry_max = median(&entry_runs, |run| run.per_second);
    let half_rate = (entry_max / 2.0).min(MAX_RATE);
    let at_half = |targets: Vec<SocketAddr>| async move {
        load::open_loop(&workload(targets), half_rate, LENGTH).await
    };
    let direct_half = at_half(minions).await;
    let forwarder_half = at_half(vec![forwarder_address]).await;
    let entry_half = at_half(vec![entry.callers]).await;
    let entry_per_core = median(&entry_runs, |run| run.per_core);
    let forwarder_per_core = median(&forwarder_runs, |run| run.per_core);
    json!({
        "entry_per_core_s": entry_per_core.round(),
        "forwarder_per_core_s": forwarder_per_core.round(),
        "entry_to_forwarder": round(entry_per_core / forwarder_per_core),
        "entry_per_s": entry_max.round(),
        "forwarder_per_s": median(&forwarder_runs, |run| run.per_second).round(),
        "direct_per_s": direct.goodput().round(),
        "half_load_per_s": half_rate.round(),
        "half_load": {
            "direct": direct_half.json(),
            "forwarder": forwarder_half.json(),
            "entry": entry_half.json(),
        },
        "p99_added_ms": round(entry_half.quantile(0.99) - direct_half.quantile(0.99)),
    })
}

async fn start_forwarder(cluster: &Cluster, minions: &[SocketAddr]) -> (Process, SocketAddr) {
    let address = free_address(cluster.store.ip());
    let mut args = vec!["forwarder".to_owned(), "--address".to_owned(), address.to_string()];
    for minion in minions {
        args.extend(["--to".to_owned(), minion.to_string()]);
    }
    let process = Process::start(&env::temp_dir(), "forwarder", "reachhead-bench", &args);
    wait_listening(address).await;
    (process, address)
}

fn workload(targets: Vec<SocketAddr>) -> Workload {
    Workload {
        targets,
        method: "GET",
        path: "/red/alpha/x",
        is_keyed: false,
        max_work_ms: 0,
        max_sends: 1,
    }
}

async fn measure_throughput(to: SocketAddr, process: &Process) -> Throughput {
    let before = process.usage().cpu;
    let outcome = load::closed_loop(&workload(vec![to]), CALLERS, LENGTH).await;
    let used = process.usage().cpu - before;
    Throughput {
        per_second: outcome.goodput(),
        per_core: outcome.good() as f64 / used.as_secs_f64(),
    }
}

fn median<T>(runs: &[T], value: impl Fn(&T) -> f64) -> f64 {
    let mut values: Vec<f64> = runs.iter().map(value).collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}
