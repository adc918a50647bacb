//! Slot and connection limits of minions, summed over entry hosts that join, leave, freeze or are
//! partitioned.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tokio::{task::JoinHandle, time};

use reachhead_harness::{
    Call, Cluster, call,
    cluster::{ClusterConfig, fetch_state, wait_ready},
    eventually,
    proxy::Proxy,
};

/// Slots of a minion, over all entry hosts.
const SLOTS: u64 = 8;

/// Connections of a minion, over all entry hosts.
const CONNECTIONS: u64 = 64;

/// Callers that keep hosts busy until they are stopped.
struct Flood {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

impl Flood {
    fn start(cluster: &Cluster, hosts: &[usize], callers: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let callers = hosts.iter().flat_map(|&host| (0..callers).map(move |_| host)).map(|host| {
            let (stop, address) = (Arc::clone(&stop), cluster.hosts[host].callers);
            tokio::spawn(async move {
                while !stop.load(Ordering::Relaxed) {
                    let reply = call(address, &Call::get("/red/alpha")).await;
                    if reply.status != 200 {
                        time::sleep(Duration::from_millis(20)).await;
                    }
                }
            })
        });
        let callers = callers.collect();
        Self { stop, callers }
    }

    async fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for caller in self.callers {
            caller.await.unwrap();
        }
    }
}

/// Returns the slots of each minion, summed over `hosts`.
async fn sum_limits(cluster: &Cluster, hosts: &[usize]) -> Vec<u64> {
    let mut sums: Vec<u64> = Vec::new();
    for &host in hosts {
        let state = fetch_state(cluster.hosts[host].entry_ops).await;
        let limits = minion_limits(&state);
        sums.resize(limits.len(), 0);
        for (sum, limit) in sums.iter_mut().zip(limits) {
            *sum += limit;
        }
    }
    sums
}

/// Returns an entry host's share of slots at each minion.
fn minion_limits(state: &Value) -> Vec<u64> {
    let services = state["services"].as_array().unwrap();
    let minions = services.iter().flat_map(|service| service["minions"].as_array().unwrap());
    minions.map(|minion| minion["limit"].as_u64().unwrap()).collect()
}

async fn assert_limits_held(cluster: &Cluster) {
    for index in 0..cluster.minions.len() {
        let counts = cluster.minion_counts(index).await;
        assert!(counts["most_running"].as_u64().unwrap() <= SLOTS, "{counts}");
        assert!(counts["most_connections"].as_u64().unwrap() <= CONNECTIONS, "{counts}");
        assert_eq!(counts["refused"], 0, "a minion refused requests: {counts}");
    }
}

#[tokio::test]
async fn host_shares_sum_to_the_slots_of_each_minion() {
    let cluster = ClusterConfig::new(3, 3).start().await;
    eventually("all shares are in use", async || {
        let sums = sum_limits(&cluster, &[0, 1, 2]).await;
        (sums == [SLOTS; 6]).then_some(())
    })
    .await;
}

#[tokio::test]
async fn limits_hold_under_load_while_hosts_are_killed_added_and_stopped() {
    let mut cluster = ClusterConfig::new(3, 1).with_work(15).with_deadline(1000).start().await;
    let flood = Flood::start(&cluster, &[0, 1, 2], 12);
    time::sleep(Duration::from_secs(1)).await;
    cluster.hosts[0].entry.kill();
    cluster.hosts[0].control.kill();
    cluster.add_host();
    wait_ready(cluster.hosts[3].entry_ops).await;
    let second_flood = Flood::start(&cluster, &[3], 12);
    eventually("the killed host's slots are in use again", async || {
        let sums = sum_limits(&cluster, &[1, 2, 3]).await;
        (sums[0] == SLOTS).then_some(())
    })
    .await;
    assert!(cluster.hosts[1].entry.stop().await.success());
    assert!(cluster.hosts[1].control.stop().await.success());
    eventually("the stopped host's slots are in use again", async || {
        let sums = sum_limits(&cluster, &[2, 3]).await;
        (sums[0] == SLOTS).then_some(())
    })
    .await;
    time::sleep(Duration::from_secs(1)).await;
    flood.stop().await;
    second_flood.stop().await;
    assert_limits_held(&cluster).await;
}

#[tokio::test]
async fn thawed_host_does_not_use_its_former_slots() {
    let cluster = ClusterConfig::new(2, 1).with_work(15).with_deadline(800).start().await;
    let flood = Flood::start(&cluster, &[0, 1], 12);
    cluster.hosts[0].control.signal(Signal::SIGSTOP);
    cluster.hosts[0].entry.signal(Signal::SIGSTOP);
    eventually("the other host has all slots", async || {
        let sums = sum_limits(&cluster, &[1]).await;
        (sums[0] == SLOTS).then_some(())
    })
    .await;
    // The entry process thaws first, with stale state and requests in its listener's backlog.
    cluster.hosts[0].entry.signal(Signal::SIGCONT);
    time::sleep(Duration::from_millis(1500)).await;
    cluster.hosts[0].control.signal(Signal::SIGCONT);
    eventually("both hosts share again", async || {
        let sums = sum_limits(&cluster, &[0, 1]).await;
        let own = sum_limits(&cluster, &[0]).await;
        (sums[0] == SLOTS && own[0] > 0).then_some(())
    })
    .await;
    time::sleep(Duration::from_millis(500)).await;
    flood.stop().await;
    assert_limits_held(&cluster).await;
}

#[tokio::test]
async fn store_outage_changes_no_share_and_fails_no_request() {
    let cluster = ClusterConfig::new(3, 1).with_work(5).start().await;
    cluster.set_store_fault(json!({ "hang": true })).await;
    // Longer than any timeout after which a host is considered dead.
    for _ in 0..60 {
        for host in 0..3 {
            let reply = cluster.call(host, &Call::get("/red/alpha")).await;
            assert_eq!(reply.status, 200, "{reply:?}");
        }
        time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(sum_limits(&cluster, &[0, 1, 2]).await, [SLOTS; 2]);
    cluster.set_store_fault(json!({})).await;
    time::sleep(Duration::from_secs(2)).await;
    assert_eq!(sum_limits(&cluster, &[0, 1, 2]).await, [SLOTS; 2]);
    assert_limits_held(&cluster).await;
}

#[tokio::test]
async fn host_partitioned_from_store_stops_when_removed_from_membership() {
    let mut cluster = ClusterConfig::new(2, 1).with_work(10).with_deadline(800).start().await;
    let proxy = Proxy::new(cluster.store.ip(), cluster.store).await;
    cluster.add_host_with_store(proxy.address);
    wait_ready(cluster.hosts[2].entry_ops).await;
    let flood = Flood::start(&cluster, &[0, 1, 2], 6);
    proxy.set_partitioned(true);
    eventually("the others have all slots", async || {
        let sums = sum_limits(&cluster, &[0, 1]).await;
        let own = sum_limits(&cluster, &[2]).await;
        (sums[0] == SLOTS && own == [0, 0]).then_some(())
    })
    .await;
    let reply = cluster.call(2, &Call::get("/red/alpha")).await;
    assert_eq!((reply.status, reply.outcome()), (503, "not-run"), "{reply:?}");
    proxy.set_partitioned(false);
    eventually("all three share again", async || {
        let sums = sum_limits(&cluster, &[0, 1, 2]).await;
        let own = sum_limits(&cluster, &[2]).await;
        (sums[0] == SLOTS && own[0] > 0).then_some(())
    })
    .await;
    flood.stop().await;
    assert_limits_held(&cluster).await;
}

#[tokio::test]
async fn host_removed_from_membership_borrows_no_slots() {
    let mut cluster = ClusterConfig::new(2, 1).with_deadline(800).start().await;
    let proxy = Proxy::new(cluster.store.ip(), cluster.store).await;
    cluster.add_host_with_store(proxy.address);
    wait_ready(cluster.hosts[2].entry_ops).await;
    proxy.set_partitioned(true);
    eventually("the others have all slots", async || {
        let sums = sum_limits(&cluster, &[0, 1]).await;
        let own = sum_limits(&cluster, &[2]).await;
        (sums[0] == SLOTS && own == [0, 0]).then_some(())
    })
    .await;
    // The others are idle and would lend slots, but they can't query this host about its claims.
    for _ in 0..20 {
        let reply = cluster.call(2, &Call::get("/red/alpha")).await;
        assert_eq!((reply.status, reply.outcome()), (503, "not-run"), "{reply:?}");
        time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn host_unreachable_by_peers_keeps_serving_and_so_do_its_peers() {
    let mut cluster = ClusterConfig::new(2, 1).with_work(5).start().await;
    let proxies = cluster.add_host_behind_proxies().await;
    wait_ready(cluster.hosts[2].entry_ops).await;
    eventually("all shares are in use", async || {
        (sum_limits(&cluster, &[0, 1, 2]).await == [SLOTS; 2]).then_some(())
    })
    .await;
    // The host still reaches its peers and the store, but no process reaches it.
    let is_reached = async || {
        let status = cluster.admin_get("/v1/status").await;
        let mut hosts = status["hosts"].as_array().unwrap().iter();
        let host = hosts.find(|host| host["host"] == cluster.hosts[2].name.as_str()).unwrap();
        !host["control"].is_null()
    };
    assert!(is_reached().await);
    for proxy in &proxies {
        proxy.set_partitioned(true);
    }
    assert!(!is_reached().await, "the partition has no effect");
    let row = json!({ "parent": "top", "settings": { "queue": 99 } });
    let version = cluster.change(vec![("group/red".to_owned(), row)]).await;
    cluster.wait_in_force(version).await;
    // Longer than the silence after which a host is considered dead; the store hangs part of the
    // time.
    for round in 0..60 {
        let is_down = (20..40).contains(&round);
        cluster.set_store_fault(json!({ "hang": is_down })).await;
        for host in 0..3 {
            let reply = cluster.call(host, &Call::get("/red/alpha")).await;
            assert_eq!(reply.status, 200, "host {host}, round {round}: {reply:?}");
        }
        time::sleep(Duration::from_millis(150)).await;
    }
    assert_eq!(sum_limits(&cluster, &[0, 1, 2]).await, [SLOTS; 2]);
    assert_limits_held(&cluster).await;
}

#[tokio::test]
async fn entry_stops_serving_without_its_control_and_resumes_with_it() {
    let cluster = ClusterConfig::new(2, 1).start().await;
    cluster.hosts[0].control.signal(Signal::SIGSTOP);
    eventually("the host is not ready", async || {
        (call(cluster.hosts[0].entry_ops, &Call::get("/ready")).await.status == 503).then_some(())
    })
    .await;
    let reply = cluster.call(0, &Call::get("/red/alpha")).await;
    assert_eq!((reply.error(), reply.outcome()), ("not-ready", "not-run"));
    assert_eq!(cluster.call(1, &Call::get("/red/alpha")).await.status, 200);
    cluster.hosts[0].control.signal(Signal::SIGCONT);
    wait_ready(cluster.hosts[0].entry_ops).await;
}

#[tokio::test]
async fn loans_absorb_skewed_load_within_the_limits() {
    let cluster = ClusterConfig::new(3, 1).with_work(20).with_deadline(1000).start().await;
    eventually("all shares are in use", async || {
        let sums = sum_limits(&cluster, &[0, 1, 2]).await;
        (sums == [SLOTS; 2]).then_some(())
    })
    .await;
    let own = sum_limits(&cluster, &[0]).await[0];
    let flood = Flood::start(&cluster, &[0], 12);
    eventually("the busy host has borrowed", async || {
        (sum_limits(&cluster, &[0]).await[0] > own).then_some(())
    })
    .await;
    // Load at the lenders makes them reclaim their slots.
    let second_flood = Flood::start(&cluster, &[1, 2], 6);
    time::sleep(Duration::from_secs(3)).await;
    flood.stop().await;
    second_flood.stop().await;
    assert_limits_held(&cluster).await;
    eventually("all loans are returned", async || {
        let sums = sum_limits(&cluster, &[0, 1, 2]).await;
        (sums == [SLOTS; 2] && sum_limits(&cluster, &[0]).await[0] == own).then_some(())
    })
    .await;
}
