//! Hosts that move between pools while whoever is in charge is killed, frozen or cut off.

use std::{collections::BTreeMap, time::Duration};

use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tokio::time;

use reachhead_harness::{Call, Cluster, cluster::ClusterConfig, eventually};

const HOSTS: [&str; 3] = ["h1", "h2", "h3"];

/// Starts `hosts` entry hosts with the pools main and spare, and three workers in main.
async fn with_workers(hosts: usize) -> Cluster {
    let cluster = ClusterConfig::new(hosts, 0).start().await;
    cluster.change(vec![("pool/spare".to_owned(), json!({ "group": "top" }))]).await;
    for host in HOSTS {
        cluster.add_worker(host, "main").await;
    }
    cluster
}

async fn worker(cluster: &Cluster, host: &str) -> Value {
    cluster.admin_get(&format!("/v1/hosts/{host}")).await["row"].take()
}

/// Waits until a host is in `phase` in `pool`.
async fn is_in(cluster: &Cluster, host: &str, pool: &str, phase: &str) {
    eventually(&format!("{host} is {phase} in {pool}"), async || {
        let row = worker(cluster, host).await;
        (row["pool"] == pool && row["phase"] == phase).then_some(())
    })
    .await;
}

/// Returns the index of the entry host in charge of `pool`.
async fn in_charge(cluster: &Cluster, pool: &str) -> usize {
    eventually(&format!("someone is in charge of {pool}"), async || {
        let pools = cluster.admin_get("/v1/pools").await;
        let pool = pools.as_array()?.iter().find(|row| row["pool"] == pool)?.clone();
        let owner = pool["owner"].as_str()?;
        cluster.hosts.iter().position(|host| host.name == owner)
    })
    .await
}

/// Checks that each worker is in exactly one pool, by each pool's own list.
async fn assert_one_pool_each(cluster: &Cluster) {
    let mut found: BTreeMap<String, Vec<&str>> = BTreeMap::new();
    for pool in ["main", "spare"] {
        let hosts = cluster.admin_get(&format!("/v1/hosts?pool={pool}")).await;
        for host in hosts.as_array().unwrap() {
            found.entry(host["id"].as_str().unwrap().to_owned()).or_default().push(pool);
        }
    }
    assert_eq!(found.len(), HOSTS.len(), "{found:?}");
    assert!(found.values().all(|pools| pools.len() == 1), "{found:?}");
}

#[tokio::test]
async fn a_host_moves_when_it_is_empty_and_not_before() {
    let cluster = with_workers(2).await;
    cluster.set_host_state(json!({ "host": "h1", "running": 1 })).await;
    cluster.move_worker("h1", "spare").await;
    is_in(&cluster, "h1", "main", "draining").await;
    // Longer than the time for which it must be seen drained.
    time::sleep(Duration::from_secs(2)).await;
    is_in(&cluster, "h1", "main", "draining").await;
    cluster.set_host_state(json!({ "host": "h1", "running": 0 })).await;
    is_in(&cluster, "h1", "spare", "serving").await;
    assert_eq!(worker(&cluster, "h1").await["epoch"], 1);
    assert_one_pool_each(&cluster).await;
    // A move that is taken back leaves the host serving where it is.
    cluster.set_host_state(json!({ "host": "h2", "running": 1 })).await;
    cluster.move_worker("h2", "spare").await;
    is_in(&cluster, "h2", "main", "draining").await;
    cluster.move_worker("h2", "main").await;
    is_in(&cluster, "h2", "main", "serving").await;
    // A pool with hosts can't be deleted, and none can be added to one that is gone.
    let reply = cluster.delete("pool/spare").await;
    assert_eq!(reply.status, 422, "{reply:?}");
    let new = json!({ "host": "h9", "pool": "gone", "zone": "z1", "rack": "r1" }).to_string();
    assert_eq!(cluster.admin_call(Call::post("/v1/hosts", &new)).await.status, 404);
}

#[tokio::test]
async fn an_owner_that_is_frozen_past_its_lease_moves_nothing_twice() {
    let cluster = with_workers(3).await;
    cluster.set_host_state(json!({ "host": "h1", "running": 1 })).await;
    cluster.move_worker("h1", "spare").await;
    is_in(&cluster, "h1", "main", "draining").await;
    let frozen = in_charge(&cluster, "main").await;
    cluster.hosts[frozen].control.signal(Signal::SIGSTOP);
    eventually("another is in charge", async || {
        (in_charge(&cluster, "main").await != frozen).then_some(())
    })
    .await;
    cluster.set_host_state(json!({ "host": "h1", "running": 0 })).await;
    is_in(&cluster, "h1", "spare", "serving").await;
    // What the thawed one still believes must not undo the move, nor the next one.
    cluster.move_worker("h2", "spare").await;
    cluster.hosts[frozen].control.signal(Signal::SIGCONT);
    is_in(&cluster, "h2", "spare", "serving").await;
    time::sleep(Duration::from_secs(2)).await;
    is_in(&cluster, "h1", "spare", "serving").await;
    assert_eq!(worker(&cluster, "h1").await["epoch"], 1);
    assert_eq!(worker(&cluster, "h2").await["epoch"], 1);
    assert_one_pool_each(&cluster).await;
}

#[tokio::test]
async fn owners_killed_between_every_two_steps_of_a_move_lose_nothing() {
    let mut cluster = with_workers(4).await;
    // Before the drain: the row says so, and the platform does not know yet.
    cluster.set_store_fault(json!({ "refuse_hosts": true })).await;
    cluster.move_worker("h1", "spare").await;
    is_in(&cluster, "h1", "main", "draining").await;
    let owner = in_charge(&cluster, "main").await;
    cluster.hosts[owner].control.kill();
    cluster.set_host_state(json!({ "host": "h1", "running": 1 })).await;
    cluster.set_store_fault(json!({})).await;
    // Between the drain and the hand-over.
    eventually("another is in charge", async || {
        (in_charge(&cluster, "main").await != owner).then_some(())
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
    let owner = in_charge(&cluster, "main").await;
    cluster.hosts[owner].control.kill();
    // Between the hand-over and the end of the drain.
    cluster.set_store_fault(json!({ "refuse_hosts": true })).await;
    cluster.set_host_state(json!({ "host": "h1", "running": 0 })).await;
    is_in(&cluster, "h1", "spare", "arriving").await;
    let owner = in_charge(&cluster, "spare").await;
    cluster.hosts[owner].control.kill();
    cluster.set_store_fault(json!({})).await;
    is_in(&cluster, "h1", "spare", "serving").await;
    assert_eq!(worker(&cluster, "h1").await["epoch"], 1);
    assert_one_pool_each(&cluster).await;
}

#[tokio::test]
async fn a_store_outage_in_the_middle_of_a_move_and_lost_answers_are_lived_through() {
    let cluster = with_workers(2).await;
    for host in HOSTS {
        cluster.move_worker(host, "spare").await;
    }
    is_in(&cluster, "h1", "main", "draining").await;
    cluster.set_store_fault(json!({ "hang": true })).await;
    time::sleep(Duration::from_secs(3)).await;
    cluster.set_store_fault(json!({ "lose": 4, "lose_prefix": "host/" })).await;
    for host in HOSTS {
        is_in(&cluster, host, "spare", "serving").await;
        assert_eq!(worker(&cluster, host).await["epoch"], 1);
    }
    assert_one_pool_each(&cluster).await;
}
