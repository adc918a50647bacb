//! Sends per request while a third of the minions break every request off.

use std::{net::SocketAddr, time::Duration};

use reachhead_harness::cluster::{Cluster, ClusterConfig};
use serde_json::{Value, json};

use crate::load::{self, Stream};

/// Minions of the service.
const MINIONS: usize = 6;

/// Minions that break off.
const BROKEN: usize = 2;

/// Requests a second.
const RATE: f64 = 400.0;

/// Sends of the naive caller at most.
const NAIVE_SENDS: u64 = 3;

/// Length of a run.
const LENGTH: Duration = Duration::from_secs(8);

/// Measures with the retry budget and ejection, and with callers that simply send three times.
pub async fn run() -> Value {
    let cluster = ClusterConfig::new(1, MINIONS).start().await;
    let mut minions = Vec::new();
    for (index, minion) in cluster.minions.iter().enumerate() {
        if minion.service == "alpha" {
            minions.push(minion.address);
        }
        if minion.service == "alpha" && minions.len() <= BROKEN {
            cluster.set_minion_fault(index, json!({ "drop": true })).await;
        }
    }
    let entry = measure(&cluster, vec![cluster.hosts[0].callers], 1).await;
    let naive = measure(&cluster, minions, NAIVE_SENDS).await;
    json!({ "with_budget": entry, "three_sends": naive })
}

async fn measure(cluster: &Cluster, to: Vec<SocketAddr>, sends: u64) -> Value {
    let before = ran(cluster).await;
    let stream =
        Stream { to, method: "GET", path: "/red/alpha", is_keyed: false, most_work: 0, sends };
    let outcome = load::open_loop(&stream, RATE, LENGTH).await;
    let sent = ran(cluster).await - before;
    let requests: u64 = outcome.statuses.values().sum();
    let amplification = sent / requests as f64;
    json!({
        "sends_per_request": (amplification * 1000.0).round() / 1000.0,
        "load": outcome.json(),
    })
}

async fn ran(cluster: &Cluster) -> f64 {
    let mut total = 0.0;
    for index in 0..cluster.minions.len() {
        total += cluster.minion_counts(index).await["ran"].as_f64().unwrap_or_default();
    }
    total
}
