//! Goodput at one, two and five times the capacity.

use std::time::Duration;

use reachhead_harness::cluster::{Cluster, ClusterConfig};
use serde_json::{Map, Value, json};

use crate::load::{self, Outcome, Workload};

/// Processing time of a request at a minion, in milliseconds.
const WORK_MS: u64 = 10;

/// Minions of the service.
const MINIONS: usize = 2;

/// Callers that determine the capacity; as many as there are slots.
const CALLERS: usize = 16;

/// Duration of a run.
const LENGTH: Duration = Duration::from_secs(5);

/// Deadline of requests, in milliseconds.
const DEADLINE_MS: u64 = 500;

/// Deadline of the naive version, in milliseconds; longer than callers wait, so that no request is
/// rejected because of it.
const NAIVE_DEADLINE_MS: u64 = 20_000;

/// Queue length of the naive version, enough for all requests that are sent.
const NAIVE_QUEUE: u32 = 1_000_000;

/// Measures goodput relative to the capacity, with load shedding and with a plain long queue.
///
/// Goodput counts responses within [`DEADLINE_MS`], in both versions.
pub async fn run() -> Value {
    let plan = || ClusterConfig::new(1, MINIONS).with_work(WORK_MS);
    let cluster = plan().with_deadline(DEADLINE_MS).start().await;
    let capacity = load::closed_loop(&workload(&cluster), CALLERS, LENGTH).await.goodput();
    let with_shedding = measure_loads(&workload(&cluster), capacity).await;
    drop(cluster);
    // A new host waits for its share of slots as long as the longest deadline, so the naive
    // deadline is set only after the start.
    let naive_cluster = plan().with_deadline(DEADLINE_MS).start().await;
    let group = json!({ "settings": { "deadline": NAIVE_DEADLINE_MS, "queue": NAIVE_QUEUE } });
    let version = naive_cluster.change(vec![("group/top".to_owned(), group)]).await;
    naive_cluster.wait_in_force(version).await;
    let naive = measure_loads(&workload(&naive_cluster), capacity).await;
    json!({ "capacity_per_s": capacity.round(), "with_shedding": with_shedding, "long_queue": naive })
}

fn workload(cluster: &Cluster) -> Workload {
    let targets = vec![cluster.hosts[0].callers];
    Workload {
        targets,
        method: "GET",
        path: "/red/alpha",
        is_keyed: false,
        max_work_ms: 0,
        max_sends: 1,
    }
}

async fn measure_loads(workload: &Workload, capacity: f64) -> Value {
    let mut figures = Map::new();
    for factor in [1.0, 2.0, 5.0] {
        let outcome = load::open_loop(workload, capacity * factor, LENGTH).await;
        figures.insert(format!("{factor}x"), relative_goodput(&outcome, capacity));
    }
    Value::Object(figures)
}

fn relative_goodput(outcome: &Outcome, capacity: f64) -> Value {
    let good = outcome.good_within(Duration::from_millis(DEADLINE_MS));
    let share = good as f64 / LENGTH.as_secs_f64() / capacity;
    json!({ "share_of_capacity": (share * 1000.0).round() / 1000.0, "load": outcome.json() })
}
