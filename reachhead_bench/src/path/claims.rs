//! Store writes and added latency of at-most-once requests, which carry an idempotency key.

use std::time::Duration;

use reachhead_harness::cluster::{Cluster, ClusterConfig};
use serde_json::{Value, json};

use crate::load::{self, Outcome, Workload};

/// Requests per second.
const RATE: f64 = 500.0;

/// Requests per second of the naive version; writes one after the other sustain only a low rate.
const NAIVE_RATE: f64 = 50.0;

/// Duration of a run.
const LENGTH: Duration = Duration::from_secs(8);

/// Latency of a store call, in milliseconds.
const STORE_DELAY_MS: u64 = 5;

/// Compares default batching with one transaction per claim and record.
pub async fn run() -> Value {
    let unkeyed = measure(ClusterConfig::new(1, 4), false, RATE).await;
    let batched = measure(ClusterConfig::new(1, 4), true, RATE).await;
    let single = json!({ "claims": { "linger": 0, "batch": 1 }, "store": { "rate": 100_000 } });
    let naive = measure(ClusterConfig::new(1, 4).with_entry(single), true, NAIVE_RATE).await;
    let added = |measured: &Measured| {
        let store = STORE_DELAY_MS as f64;
        (measured.outcome.quantile(0.5) - unkeyed.outcome.quantile(0.5) - store).max(0.0)
    };
    json!({
        "rate_per_s": RATE,
        "one_by_one_rate_per_s": NAIVE_RATE,
        "store_delay_ms": STORE_DELAY_MS,
        "unkeyed": unkeyed.json(),
        "batched": batched.json(),
        "one_by_one": naive.json(),
        "batched_added_p50_ms": added(&batched),
        "one_by_one_added_p50_ms": added(&naive),
    })
}

struct Measured {
    outcome: Outcome,
    writes: f64,
}

impl Measured {
    fn json(&self) -> Value {
        let writes = (self.writes * 1000.0).round() / 1000.0;
        json!({ "load": self.outcome.json(), "writes_per_request": writes })
    }
}

async fn measure(plan: ClusterConfig, is_keyed: bool, rate: f64) -> Measured {
    let cluster = plan.start().await;
    cluster.set_store_fault(json!({ "delay": STORE_DELAY_MS })).await;
    let idle_start = commits(&cluster).await;
    tokio::time::sleep(LENGTH).await;
    // Writes of the membership rows are not part of the requests' cost.
    let background = commits(&cluster).await - idle_start;
    let before = commits(&cluster).await;
    let path = if is_keyed { "/red/pay" } else { "/red/alpha" };
    let workload = Workload {
        targets: vec![cluster.hosts[0].callers],
        method: "POST",
        path,
        is_keyed,
        max_work_ms: 0,
        max_sends: 1,
    };
    let outcome = load::open_loop(&workload, rate, LENGTH).await;
    let writes = commits(&cluster).await - before - background;
    let sent: u64 = outcome.statuses.values().sum();
    Measured { outcome, writes: writes / sent as f64 }
}

async fn commits(cluster: &Cluster) -> f64 {
    cluster.store_counts().await["commits"].as_f64().unwrap_or_default()
}
