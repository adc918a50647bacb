//! One group's check-ins alone, and while another group floods the same service.

use std::{io, thread, time::Duration};

use reachhead_harness::cluster::{Cluster, ClusterConfig};
use serde_json::{Value, json};

use tokio::runtime::Builder;

use crate::load::{self, Stream};

/// Milliseconds that a request takes at a minion.
const WORK: u64 = 4;

/// Milliseconds that a request takes at most where each takes its own time, 2 at least.
const MOST_WORK: u64 = 6;

/// Minions of the service; with 8 slots each they serve about 8,000 requests a second.
const MINIONS: usize = 2;

/// Check-ins a second of the quiet group: well below its half of the capacity.
const QUIET_RATE: f64 = 300.0;

/// What the flooding group sends: ten times its half of about 3,200 requests a second.
const FLOOD_RATE: f64 = 16_000.0;

/// How long the flood's connections are still being opened.
const ONSET: Duration = Duration::from_secs(1);

/// Length of a run.
const LENGTH: Duration = Duration::from_secs(5);

/// Measures the quiet group's latency alone, during the onset of the flood and beside it, by fair
/// queue and by FIFO.
pub async fn run() -> Value {
    let fair = ClusterConfig::new(1, MINIONS).with_work(WORK).start().await;
    json!({
        "fair": measure(&fair, "/blue/alpha", MOST_WORK).await,
        // The naive version is one queue for all: both streams come as the same group.
        "fifo": measure(&fair, "/red/alpha", MOST_WORK).await,
        // With the same work for all, the flood's requests end together and free slots in clumps.
        "fair_same_work": measure(&fair, "/blue/alpha", 0).await,
    })
}

async fn measure(cluster: &Cluster, path: &'static str, work: u64) -> Value {
    let stream = |path| Stream { most_work: work, ..stream(cluster, path) };
    let calm = stream(path);
    let alone = load::open_loop(&calm, QUIET_RATE, LENGTH).await;
    let flood = stream("/red/alpha");
    // The flood gets threads of its own, so that its work does not delay the quiet group's callers.
    let flooding = thread::spawn(move || {
        let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        Ok::<_, io::Error>(runtime.block_on(load::open_loop(&flood, FLOOD_RATE, ONSET + LENGTH)))
    });
    let onset = load::open_loop(&calm, QUIET_RATE, ONSET).await;
    let flooded = load::open_loop(&calm, QUIET_RATE, LENGTH).await;
    let flood = match flooding.join() {
        Ok(Ok(flood)) => flood.json(),
        _ => json!("broken off"),
    };
    let ratio = flooded.quantile(0.99) / alone.quantile(0.99);
    json!({
        "alone": alone.json(),
        "onset": onset.json(),
        "flooded": flooded.json(),
        "flood": flood,
        "p99_ratio": (ratio * 100.0).round() / 100.0,
    })
}

fn stream(cluster: &Cluster, path: &'static str) -> Stream {
    Stream {
        to: vec![cluster.hosts[0].callers],
        method: "GET",
        path,
        is_keyed: false,
        most_work: 0,
        sends: 1,
    }
}
