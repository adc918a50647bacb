//! Moves of hosts between pools while pool owners are killed, frozen or cut off from the store.

use std::{collections::BTreeMap, time::Duration};

use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tokio::time;

use reachhead_harness::{Call, Cluster, cluster::ClusterConfig, eventually};

const HOSTS: [&str; 3] = ["h1", "h2", "h3"];

/// Starts `hosts` entry hosts with the pools main and spare, and three workers in main.
async fn start_with_workers(hosts: usize) -> Cluster {
    let cluster = ClusterConfig::new(hosts, 0).start().await;
    cluster.change(vec![("pool/spare".to_owned(), json!({ "group": "top" }))]).await;
    for host in HOSTS {
        cluster.add_worker(host, "main").await;
    }
    cluster
}

async fn fetch_worker(cluster: &Cluster, host: &str) -> Value {
    cluster.admin_get(&format!("/v1/hosts/{host}")).await["row"].take()
}

/// Waits until a host is in `phase` in `pool`.
async fn wait_in_phase(cluster: &Cluster, host: &str, pool: &str, phase: &str) {
    eventually(&format!("{host} is {phase} in {pool}"), async || {
        let row = fetch_worker(cluster, host).await;
        (row["pool"] == pool && row["phase"] == phase).then_some(())
    })
    .await;
}

/// Waits until an entry host owns `pool` and returns its index.
async fn wait_owner(cluster: &Cluster, pool: &str) -> usize {
    eventually(&format!("{pool} has an owner"), async || {
        let pools = cluster.admin_get("/v1/pools").await;
        let pool = pools.as_array()?.iter().find(|row| row["pool"] == pool)?.clone();
        let owner = pool["owner"].as_str()?;
        cluster.hosts.iter().position(|host| host.name == owner)
    })
    .await
}

/// Asserts that each worker is in the host list of exactly one pool.
async fn assert_in_one_pool(cluster: &Cluster) {
    let mut pools_by_host: BTreeMap<String, Vec<&str>> = BTreeMap::new();
    for pool in ["main", "spare"] {
        let hosts = cluster.admin_get(&format!("/v1/hosts?pool={pool}")).await;
        for host in hosts.as_array().unwrap() {
            pools_by_host.entry(host["id"].as_str().unwrap().to_owned()).or_default().push(pool);
        }
    }
    assert_eq!(pools_by_host.len(), HOSTS.len(), "{pools_by_host:?}");
    assert!(pools_by_host.values().all(|pools| pools.len() == 1), "{pools_by_host:?}");
}

#[tokio::test]
async fn host_is_handed_over_only_when_it_is_empty() {
    let cluster = start_with_workers(2).await;
    cluster.set_host_state(json!({ "host": "h1", "running": 1 })).await;
    cluster.move_worker("h1", "spare").await;
    wait_in_phase(&cluster, "h1", "main", "draining").await;
    // Longer than the period for which a host must be observed as drained.
    time::sleep(Duration::from_secs(2)).await;
    wait_in_phase(&cluster, "h1", "main", "draining").await;
    cluster.set_host_state(json!({ "host": "h1", "running": 0 })).await;
    wait_in_phase(&cluster, "h1", "spare", "serving").await;
    assert_eq!(fetch_worker(&cluster, "h1").await["epoch"], 1);
    assert_in_one_pool(&cluster).await;
    // A cancelled move leaves the host serving in its pool.
    cluster.set_host_state(json!({ "host": "h2", "running": 1 })).await;
    cluster.move_worker("h2", "spare").await;
    wait_in_phase(&cluster, "h2", "main", "draining").await;
    cluster.move_worker("h2", "main").await;
    wait_in_phase(&cluster, "h2", "main", "serving").await;
    // A pool with hosts can't be deleted, and no host can be added to a pool that does not exist.
    let reply = cluster.delete("pool/spare").await;
    assert_eq!(reply.status, 422, "{reply:?}");
    let new = json!({ "host": "h9", "pool": "gone", "zone": "z1", "rack": "r1" }).to_string();
    assert_eq!(cluster.admin_call(Call::post("/v1/hosts", &new)).await.status, 404);
}

#[tokio::test]
async fn owner_frozen_past_its_lease_repeats_no_move() {
    let cluster = start_with_workers(3).await;
    cluster.set_host_state(json!({ "host": "h1", "running": 1 })).await;
    cluster.move_worker("h1", "spare").await;
    wait_in_phase(&cluster, "h1", "main", "draining").await;
    let frozen = wait_owner(&cluster, "main").await;
    cluster.hosts[frozen].control.signal(Signal::SIGSTOP);
    eventually("another host owns the pool", async || {
        (wait_owner(&cluster, "main").await != frozen).then_some(())
    })
    .await;
    cluster.set_host_state(json!({ "host": "h1", "running": 0 })).await;
    wait_in_phase(&cluster, "h1", "spare", "serving").await;
    // The stale state of the thawed owner must undo neither this move nor the next one.
    cluster.move_worker("h2", "spare").await;
    cluster.hosts[frozen].control.signal(Signal::SIGCONT);
    wait_in_phase(&cluster, "h2", "spare", "serving").await;
    time::sleep(Duration::from_secs(2)).await;
    wait_in_phase(&cluster, "h1", "spare", "serving").await;
    assert_eq!(fetch_worker(&cluster, "h1").await["epoch"], 1);
    assert_eq!(fetch_worker(&cluster, "h2").await["epoch"], 1);
    assert_in_one_pool(&cluster).await;
}

#[tokio::test]
async fn move_completes_when_owners_are_killed_between_steps() {
    let mut cluster = start_with_workers(4).await;
    // Before the drain: the row says draining, but the platform refuses the order.
    cluster.set_store_fault(json!({ "refuse_hosts": true })).await;
    cluster.move_worker("h1", "spare").await;
    wait_in_phase(&cluster, "h1", "main", "draining").await;
    let owner = wait_owner(&cluster, "main").await;
    cluster.hosts[owner].control.kill();
    cluster.set_host_state(json!({ "host": "h1", "running": 1 })).await;
    cluster.set_store_fault(json!({})).await;
    // Between the drain and the handover.
    eventually("another host owns the pool", async || {
        (wait_owner(&cluster, "main").await != owner).then_some(())
    })
    .await;
    eventually("the host is drained", async || {
        let reply = reachhead_harness::call(
            cluster.store,
            &Call::post("/v1/hosts/status", &json!(["h1"]).to_string()),
        )
        .await;
        reply.body.contains("reachhead/").then_some(())
    })
    .await;
    let owner = wait_owner(&cluster, "main").await;
    cluster.hosts[owner].control.kill();
    // Between the handover and the end of the drain.
    cluster.set_store_fault(json!({ "refuse_hosts": true })).await;
    cluster.set_host_state(json!({ "host": "h1", "running": 0 })).await;
    wait_in_phase(&cluster, "h1", "spare", "arriving").await;
    let owner = wait_owner(&cluster, "spare").await;
    cluster.hosts[owner].control.kill();
    cluster.set_store_fault(json!({})).await;
    wait_in_phase(&cluster, "h1", "spare", "serving").await;
    assert_eq!(fetch_worker(&cluster, "h1").await["epoch"], 1);
    assert_in_one_pool(&cluster).await;
}

#[tokio::test]
async fn moves_complete_despite_store_outage_and_lost_responses() {
    let cluster = start_with_workers(2).await;
    for host in HOSTS {
        cluster.move_worker(host, "spare").await;
    }
    wait_in_phase(&cluster, "h1", "main", "draining").await;
    cluster.set_store_fault(json!({ "hang": true })).await;
    time::sleep(Duration::from_secs(3)).await;
    cluster.set_store_fault(json!({ "lose": 4, "lose_prefix": "host/" })).await;
    for host in HOSTS {
        wait_in_phase(&cluster, host, "spare", "serving").await;
        assert_eq!(fetch_worker(&cluster, host).await["epoch"], 1);
    }
    assert_in_one_pool(&cluster).await;
}
