//! Good answers while the balancer sends nearly everything to one entry host of three.

use std::time::Duration;

use reachhead_harness::cluster::{Cluster, ClusterConfig};
use serde_json::{Value, json};

use crate::load::{self, Outcome, Stream};

/// Milliseconds that a request takes at a minion.
const WORK: u64 = 10;

/// Minions of the service: 32 slots, of which each host has about a third.
const MINIONS: usize = 4;

/// Requests a second: about two thirds of what all slots together can do.
const RATE: f64 = 1800.0;

/// Of ten requests, those that go to the first host.
const SKEW: usize = 8;

/// Length of a run.
const LENGTH: Duration = Duration::from_secs(6);

/// Measures with loans and with the shares alone.
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
    ClusterConfig::new(3, MINIONS).with_work(WORK).with_deadline(1000)
}

async fn measure(cluster: Cluster) -> Outcome {
    // Hosts are ready with their first slots; all have theirs after the longest hold.
    tokio::time::sleep(Duration::from_secs(8)).await;
    let callers: Vec<_> = cluster.hosts.iter().map(|host| host.callers).collect();
    let mut to = vec![callers[0]; SKEW];
    to.extend(&callers[1..]);
    let stream =
        Stream { to, method: "GET", path: "/red/alpha", is_keyed: false, most_work: 0, sends: 1 };
    load::open_loop(&stream, RATE, LENGTH).await
}
