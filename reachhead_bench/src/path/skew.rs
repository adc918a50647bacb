//! Goodput while the balancer sends most requests to one of three entry hosts.

use std::time::Duration;

use reachhead_harness::cluster::{Cluster, ClusterConfig};
use serde_json::{Value, json};

use crate::load::{self, Outcome, Workload};

/// Processing time of a request at a minion, in milliseconds.
const WORK_MS: u64 = 10;

/// Minions of the service: 32 slots, of which each entry host has about a third.
const MINIONS: usize = 4;

/// Requests per second: about two thirds of the capacity of all slots.
const RATE: f64 = 1800.0;

/// Requests out of ten that go to the first host.
const SKEW: usize = 8;

/// Duration of a run.
const LENGTH: Duration = Duration::from_secs(6);

/// Compares slot loans between hosts with fixed shares.
pub async fn run() -> Value {
    let shares = json!({ "minions": { "loans": false } });
    let with_loans = measure(plan().start().await).await;
    let shares_alone = measure(plan().with_entry(shares).start().await).await;
    json!({
        "rate_per_s": RATE,
        "to_the_first_of_three": SKEW as f64 / 10.0,
        "with_loans": with_loans.json(),
        "shares_alone": shares_alone.json(),
    })
}

fn plan() -> ClusterConfig {
    ClusterConfig::new(3, MINIONS).with_work(WORK_MS).with_deadline(1000)
}

async fn measure(cluster: Cluster) -> Outcome {
    // Hosts become ready with their first slots and have all of them after the longest hold.
    tokio::time::sleep(Duration::from_secs(8)).await;
    let addresses: Vec<_> = cluster.hosts.iter().map(|host| host.callers).collect();
    let mut targets = vec![addresses[0]; SKEW];
    targets.extend(&addresses[1..]);
    let workload = Workload {
        targets,
        method: "GET",
        path: "/red/alpha",
        is_keyed: false,
        max_work_ms: 0,
        max_sends: 1,
    };
    load::open_loop(&workload, RATE, LENGTH).await
}
