//! Latency of one group's requests, alone and while another group floods the same service.

use std::{io, thread, time::Duration};

use reachhead_harness::cluster::{Cluster, ClusterConfig};
use serde_json::{Value, json};

use tokio::runtime::Builder;

use crate::load::{self, Workload};

/// Processing time of a request at a minion, in milliseconds.
const WORK_MS: u64 = 4;

/// Maximum processing time in milliseconds where it varies by request; the minimum is 2.
const MAX_WORK_MS: u64 = 6;

/// Minions of the service; with 8 slots each they serve about 8,000 requests per second.
const MINIONS: usize = 2;

/// Requests per second of the quiet group, well below its half of the capacity.
const QUIET_RATE: f64 = 300.0;

/// Requests per second of the flooding group: ten times its half of about 3,200 requests per second.
const FLOOD_RATE: f64 = 16_000.0;

/// Initial period of the flood, in which its connections are still being opened.
const ONSET: Duration = Duration::from_secs(1);

/// Duration of a run.
const LENGTH: Duration = Duration::from_secs(5);

/// Measures the quiet group's latency alone, at the onset of the flood and during it, with fair
/// queueing and with FIFO.
pub async fn run() -> Value {
    let cluster = ClusterConfig::new(1, MINIONS).with_work(WORK_MS).start().await;
    json!({
        "fair": measure(&cluster, "/blue/alpha", MAX_WORK_MS).await,
        // The naive version has one queue for all: both workloads are sent as the same group.
        "fifo": measure(&cluster, "/red/alpha", MAX_WORK_MS).await,
        // With equal processing times, the flood's requests end together and free their slots in bursts.
        "fair_same_work": measure(&cluster, "/blue/alpha", 0).await,
    })
}

async fn measure(cluster: &Cluster, path: &'static str, max_work: u64) -> Value {
    let workload = |path| Workload { max_work_ms: max_work, ..workload(cluster, path) };
    let quiet = workload(path);
    let alone = load::open_loop(&quiet, QUIET_RATE, LENGTH).await;
    let flood = workload("/red/alpha");
    // The flood has its own threads, so that it does not delay the quiet group's callers.
    let flooding = thread::spawn(move || {
        let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        Ok::<_, io::Error>(runtime.block_on(load::open_loop(&flood, FLOOD_RATE, ONSET + LENGTH)))
    });
    let onset = load::open_loop(&quiet, QUIET_RATE, ONSET).await;
    let flooded = load::open_loop(&quiet, QUIET_RATE, LENGTH).await;
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

fn workload(cluster: &Cluster, path: &'static str) -> Workload {
    Workload {
        targets: vec![cluster.hosts[0].callers],
        method: "GET",
        path,
        is_keyed: false,
        max_work_ms: 0,
        max_sends: 1,
    }
}
