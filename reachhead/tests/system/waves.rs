//! Maintenance waves within availability budgets, while hosts, owners and the store fail.

use std::{collections::BTreeMap, time::Duration};

use serde_json::{Value, json};
use tokio::time;

use reachhead_harness::{
    Call, Cluster, call,
    cluster::{ClusterConfig, random_id},
    eventually,
};

use crate::load::Load;

/// Starts a cluster with a minion of each service on each of `workers` hosts, the last of which is
/// in a pool of its own; at most `limit` minions of a service may be unavailable.
async fn start_with_workers(hosts: usize, workers: usize, limit: u64) -> Cluster {
    let cluster = ClusterConfig::new(hosts, workers).with_work(5).start().await;
    let service = |group: &str| json!({ "group": group, "pool": "main", "max_unavailable": limit });
    cluster
        .change(vec![
            ("pool/spare".to_owned(), json!({ "group": "top" })),
            ("service/alpha".to_owned(), service("red")),
            ("service/beta".to_owned(), service("blue")),
        ])
        .await;
    cluster.place_minions(workers).await;
    for number in 0..workers {
        let pool = if number + 1 == workers { "spare" } else { "main" };
        cluster.add_worker(&format!("w{number}"), pool).await;
    }
    cluster
}

async fn start_wave(cluster: &Cluster, pools: &[&str]) {
    let new = json!({ "name": "wave-1", "pools": pools }).to_string();
    let reply = cluster.admin_call(Call::post("/v1/waves", &new)).await;
    assert_eq!(reply.status, 200, "{reply:?}");
}

async fn set_state(cluster: &Cluster, state: &str) {
    let state = json!({ "state": state }).to_string();
    let reply = cluster.admin_call(Call::post("/v1/waves/wave-1/state", &state)).await;
    assert_eq!(reply.status, 200, "{reply:?}");
}

/// Returns the hosts of the wave by name.
async fn fetch_hosts(cluster: &Cluster) -> BTreeMap<String, Value> {
    let waves = cluster.admin_get("/v1/waves/wave-1").await;
    let waves = waves.as_array().unwrap();
    let hosts = waves.iter().flat_map(|wave| wave["hosts"].as_array().unwrap());
    hosts.map(|host| (host["host"].as_str().unwrap().to_owned(), host.clone())).collect()
}

/// Returns the number of hosts that the wave has made unavailable.
fn count_unavailable(hosts: &BTreeMap<String, Value>) -> usize {
    hosts.values().filter(|host| host["phase"] != "serving").count()
}

fn count_done(hosts: &BTreeMap<String, Value>) -> usize {
    let is_done = |host: &&Value| host["is_done"] == true && host["phase"] == "serving";
    hosts.values().filter(is_done).count()
}

/// Waits until every host is done, and asserts that the wave never made more than `limit`
/// unavailable.
async fn wait_all_done(cluster: &Cluster, limit: usize) {
    eventually("every host is done", async || {
        let hosts = fetch_hosts(cluster).await;
        assert!(count_unavailable(&hosts) <= limit, "{hosts:?}");
        (count_done(&hosts) == hosts.len()).then_some(())
    })
    .await;
}

/// Returns the number of boots of each host.
async fn fetch_boots(cluster: &Cluster, workers: usize) -> Vec<u64> {
    let names: Vec<String> = (0..workers).map(|number| format!("w{number}")).collect();
    let query = json!(names).to_string();
    let reply = call(cluster.store, &Call::post("/v1/hosts/status", &query)).await;
    let statuses: Vec<Value> = serde_json::from_str(&reply.body).unwrap();
    statuses.iter().map(|status| status["boots"].as_u64().unwrap()).collect()
}

#[tokio::test]
async fn wave_over_two_pools_keeps_the_budget_and_fails_no_request() {
    let cluster = start_with_workers(2, 3, 1).await;
    let load = Load::start(&cluster);
    start_wave(&cluster, &["main", "spare"]).await;
    wait_all_done(&cluster, 1).await;
    assert_eq!(fetch_boots(&cluster, 3).await, [1, 1, 1]);
    let served = load.stop().await;
    assert!(served > 300, "only {served} requests were served");
}

#[tokio::test]
async fn wave_cancels_drains_when_a_rack_fails() {
    let cluster = start_with_workers(2, 4, 2).await;
    // Keeps the two hosts that the wave takes first from becoming empty.
    for host in ["w0", "w1"] {
        cluster.set_host_state(json!({ "host": host, "running": 1 })).await;
    }
    // With a single pool, it is known which host goes first.
    start_wave(&cluster, &["main"]).await;
    eventually("two hosts are being drained", async || {
        (count_unavailable(&fetch_hosts(&cluster).await) == 2).then_some(())
    })
    .await;
    for host in ["w2", "w3"] {
        cluster.set_host_state(json!({ "host": host, "is_up": false })).await;
    }
    eventually("the drains are cancelled", async || {
        (count_unavailable(&fetch_hosts(&cluster).await) == 0).then_some(())
    })
    .await;
    // No drain may start while the failures use up the budget.
    for _ in 0..10 {
        assert_eq!(count_unavailable(&fetch_hosts(&cluster).await), 0);
        time::sleep(Duration::from_millis(100)).await;
    }
    let held = fetch_hosts(&cluster).await["w0"]["hold"].as_str().unwrap_or_default().to_owned();
    assert!(held.contains("budget of service"), "{held}");
    for host in ["w0", "w1", "w2", "w3"] {
        cluster.set_host_state(json!({ "host": host, "is_up": true, "running": 0 })).await;
    }
    wait_all_done(&cluster, 2).await;
    assert_eq!(fetch_boots(&cluster, 4).await, [1, 1, 1, 0]);
}

#[tokio::test]
async fn wave_completes_despite_killed_owner_and_store_outage() {
    let mut cluster = start_with_workers(4, 3, 1).await;
    cluster.set_host_state(json!({ "host": "w0", "running": 1 })).await;
    start_wave(&cluster, &["main", "spare"]).await;
    eventually("a host is drained", async || {
        (fetch_hosts(&cluster).await["w0"]["phase"] == "draining").then_some(())
    })
    .await;
    let pools = cluster.admin_get("/v1/pools").await;
    let main = pools.as_array().unwrap().iter().find(|pool| pool["pool"] == "main").unwrap();
    let owner = main["owner"].as_str().unwrap();
    let owner = cluster.hosts.iter().position(|host| host.name == owner).unwrap();
    cluster.hosts[owner].control.kill();
    // The draining host uses up the budget, so no other host can start before the outage.
    let before = fetch_boots(&cluster, 3).await;
    cluster.set_store_fault(json!({ "hang_rows": true })).await;
    cluster.set_host_state(json!({ "host": "w0", "running": 0 })).await;
    time::sleep(Duration::from_secs(3)).await;
    assert_eq!(fetch_boots(&cluster, 3).await, before, "the wave went on without the store");
    cluster.set_store_fault(json!({ "lose": 3, "lose_prefix": "host/" })).await;
    wait_all_done(&cluster, 1).await;
    assert_eq!(fetch_boots(&cluster, 3).await, [1, 1, 1]);
}

#[tokio::test]
async fn wave_can_be_paused_resumed_and_cancelled_and_reports_holds() {
    let cluster = start_with_workers(2, 3, 1).await;
    cluster.set_host_state(json!({ "host": "w0", "running": 2 })).await;
    // With a single pool, it is known which host goes first.
    start_wave(&cluster, &["main"]).await;
    eventually("the wave reports what holds it back", async || {
        let hosts = fetch_hosts(&cluster).await;
        let hold = |host: &str| hosts[host]["hold"].as_str().unwrap_or_default().to_owned();
        let is_reported = hold("w0").contains("2 tasks or requests still run")
            && hold("w1").contains("budget of service alpha: 2 minions would be away, 1 may be");
        is_reported.then_some(())
    })
    .await;
    set_state(&cluster, "paused").await;
    cluster.set_host_state(json!({ "host": "w0", "running": 0 })).await;
    eventually("the host in progress is finished", async || {
        (count_done(&fetch_hosts(&cluster).await) == 1).then_some(())
    })
    .await;
    time::sleep(Duration::from_secs(1)).await;
    assert_eq!(
        count_unavailable(&fetch_hosts(&cluster).await),
        0,
        "a paused wave must not start another host"
    );
    for host in ["w1", "w2"] {
        cluster.set_host_state(json!({ "host": host, "running": 1 })).await;
    }
    set_state(&cluster, "running").await;
    eventually("the next host is drained", async || {
        (count_unavailable(&fetch_hosts(&cluster).await) == 1).then_some(())
    })
    .await;
    set_state(&cluster, "cancelled").await;
    eventually("the drain is cancelled", async || {
        (count_unavailable(&fetch_hosts(&cluster).await) == 0).then_some(())
    })
    .await;
    assert_eq!(fetch_boots(&cluster, 3).await, [1, 0, 0]);
    // A cancelled wave can't be started again; the next wave needs another name.
    let again = json!({ "name": "wave-1", "pools": ["main"] }).to_string();
    assert_eq!(cluster.admin_call(Call::post("/v1/waves", &again)).await.status, 409);
    let next = json!({ "name": "wave-2", "pools": ["main"] }).to_string();
    assert_eq!(cluster.admin_call(Call::post("/v1/waves", &next)).await.status, 200);
    let unknown = json!({ "name": random_id(), "pools": ["nowhere"] }).to_string();
    assert_eq!(cluster.admin_call(Call::post("/v1/waves", &unknown)).await.status, 404);
}
