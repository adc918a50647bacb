//! Sends per request while a third of the minions drop the connection on every request.

use std::{net::SocketAddr, time::Duration};

use reachhead_harness::cluster::{Cluster, ClusterConfig};
use serde_json::{Value, json};

use crate::load::{self, Workload};

/// Minions of the service.
const MINIONS: usize = 6;

/// Minions that drop connections.
const FAULTY: usize = 2;

/// Requests per second.
const RATE: f64 = 400.0;

/// Maximum sends per request of the naive caller.
const NAIVE_SENDS: u64 = 3;

/// Duration of a run.
const LENGTH: Duration = Duration::from_secs(8);

/// Compares the entry with its retry budget and ejection to callers that send up to three times.
pub async fn run() -> Value {
    let cluster = ClusterConfig::new(1, MINIONS).start().await;
    let mut minions = Vec::new();
    for (index, minion) in cluster.minions.iter().enumerate() {
        if minion.service == "alpha" {
            minions.push(minion.address);
        }
        if minion.service == "alpha" && minions.len() <= FAULTY {
            cluster.set_minion_fault(index, json!({ "drop": true })).await;
        }
    }
    let entry = measure(&cluster, vec![cluster.hosts[0].callers], 1).await;
    let naive = measure(&cluster, minions, NAIVE_SENDS).await;
    json!({ "with_budget": entry, "three_sends": naive })
}

async fn measure(cluster: &Cluster, targets: Vec<SocketAddr>, max_sends: u64) -> Value {
    let before = total_runs(cluster).await;
    let workload = Workload {
        targets,
        method: "GET",
        path: "/red/alpha",
        is_keyed: false,
        max_work_ms: 0,
        max_sends,
    };
    let outcome = load::open_loop(&workload, RATE, LENGTH).await;
    let sent = total_runs(cluster).await - before;
    let requests: u64 = outcome.statuses.values().sum();
    let amplification = sent / requests as f64;
    json!({
        "sends_per_request": (amplification * 1000.0).round() / 1000.0,
        "load": outcome.json(),
    })
}

/// Returns the number of requests that ran on all minions.
async fn total_runs(cluster: &Cluster) -> f64 {
    let mut total = 0.0;
    for index in 0..cluster.minions.len() {
        total += cluster.minion_counts(index).await["ran"].as_f64().unwrap_or_default();
    }
    total
}
