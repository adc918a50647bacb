//! One group's check-ins alone, and while another group floods the same service.

use std::time::Duration;

use reachhead_harness::cluster::{Cluster, Plan};
use serde_json::{Value, json};

use crate::load::{self, Outcome, Stream};

/// Milliseconds that a request takes at a minion.
const WORK: u64 = 4;

/// Minions of the service; with 8 slots each they serve about 8,000 requests a second.
const MINIONS: usize = 2;

/// Check-ins a second of the quiet group: well below its half of the capacity.
const QUIET_RATE: f64 = 300.0;

/// What the flooding group sends: ten times its half of about 3,200 requests a second.
const FLOOD_RATE: f64 = 16_000.0;

/// Length of a run.
const LENGTH: Duration = Duration::from_secs(5);

/// Measures the quiet group's latency alone and beside the flood, by fair queue and by FIFO.
pub async fn run() -> Value {
    let fair = Plan::new(1, MINIONS).with_work(WORK).start().await;
    let alone = quiet(&fair, "/blue/alpha").await;
    let flooded = both(&fair, "/blue/alpha").await;
    // The naive version is one queue for all: both streams come as the same group.
    let fifo_alone = quiet(&fair, "/red/alpha").await;
    let fifo_flooded = both(&fair, "/red/alpha").await;
    let ratio = |with: &Outcome, without: &Outcome| {
        (with.quantile(0.99) / without.quantile(0.99) * 100.0).round() / 100.0
    };
    json!({
        "fair": { "alone": alone.json(), "flooded": flooded.json() },
        "fifo": { "alone": fifo_alone.json(), "flooded": fifo_flooded.json() },
        "fair_p99_ratio": ratio(&flooded, &alone),
        "fifo_p99_ratio": ratio(&fifo_flooded, &fifo_alone),
    })
}

fn stream(cluster: &Cluster, path: &'static str) -> Stream {
    Stream { to: vec![cluster.hosts[0].callers], method: "GET", path, is_keyed: false, sends: 1 }
}

async fn quiet(cluster: &Cluster, path: &'static str) -> Outcome {
    load::open_loop(&stream(cluster, path), QUIET_RATE, LENGTH).await
}

async fn both(cluster: &Cluster, path: &'static str) -> Outcome {
    let flood = stream(cluster, "/red/alpha");
    let flooding = load::open_loop(&flood, FLOOD_RATE, LENGTH);
    let (_, outcome) = futures::future::join(flooding, quiet(cluster, path)).await;
    outcome
}
