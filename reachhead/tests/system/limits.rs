//! Slots and connections of a minion, in sum over entry hosts that come, go, freeze and are cut.

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

/// Slots of a minion.
const SLOTS: u64 = 8;

/// Connections of a minion.
const CONNECTIONS: u64 = 64;

/// Callers that keep every host busy until they are told to stop.
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

async fn limits(cluster: &Cluster, hosts: &[usize]) -> Vec<u64> {
    let mut sums: Vec<u64> = Vec::new();
    for &host in hosts {
        let state = fetch_state(cluster.hosts[host].entry_ops).await;
        let limits = minions(&state);
        sums.resize(limits.len(), 0);
        for (sum, limit) in sums.iter_mut().zip(limits) {
            *sum += limit;
        }
    }
    sums
}

fn minions(state: &Value) -> Vec<u64> {
    let services = state["services"].as_array().unwrap();
    let minions = services.iter().flat_map(|service| service["minions"].as_array().unwrap());
    minions.map(|minion| minion["limit"].as_u64().unwrap()).collect()
}

async fn assert_limits_held(cluster: &Cluster) {
    for index in 0..cluster.minions.len() {
        let counts = cluster.minion_counts(index).await;
        assert!(counts["most_running"].as_u64().unwrap() <= SLOTS, "{counts}");
        assert!(counts["most_connections"].as_u64().unwrap() <= CONNECTIONS, "{counts}");
        assert_eq!(counts["refused"], 0, "a minion had to refuse: {counts}");
    }
}

#[tokio::test]
async fn the_shares_of_all_hosts_make_up_each_minions_slots() {
    let cluster = ClusterConfig::new(3, 3).start().await;
    eventually("all shares are in use", async || {
        let sums = limits(&cluster, &[0, 1, 2]).await;
        (sums == [SLOTS; 6]).then_some(())
    })
    .await;
}

#[tokio::test]
async fn limits_hold_while_hosts_are_killed_added_and_stopped_under_a_flood() {
    let mut cluster = ClusterConfig::new(3, 1).with_work(15).with_deadline(1000).start().await;
    let flood = Flood::start(&cluster, &[0, 1, 2], 12);
    time::sleep(Duration::from_secs(1)).await;
    cluster.hosts[0].entry.kill();
    cluster.hosts[0].control.kill();
    cluster.add_host();
    wait_ready(cluster.hosts[3].entry_ops).await;
    let more = Flood::start(&cluster, &[3], 12);
    eventually("the killed host's slots are in use again", async || {
        let sums = limits(&cluster, &[1, 2, 3]).await;
        (sums[0] == SLOTS).then_some(())
    })
    .await;
    assert!(cluster.hosts[1].entry.stop().await.success());
    assert!(cluster.hosts[1].control.stop().await.success());
    eventually("the stopped host's slots are in use again", async || {
        let sums = limits(&cluster, &[2, 3]).await;
        (sums[0] == SLOTS).then_some(())
    })
    .await;
    time::sleep(Duration::from_secs(1)).await;
    flood.stop().await;
    more.stop().await;
    assert_limits_held(&cluster).await;
}

#[tokio::test]
async fn a_frozen_host_that_thaws_finds_its_slots_gone() {
    let cluster = ClusterConfig::new(2, 1).with_work(15).with_deadline(800).start().await;
    let flood = Flood::start(&cluster, &[0, 1], 12);
    cluster.hosts[0].control.signal(Signal::SIGSTOP);
    cluster.hosts[0].entry.signal(Signal::SIGSTOP);
    eventually("the other host has all slots", async || {
        let sums = limits(&cluster, &[1]).await;
        (sums[0] == SLOTS).then_some(())
    })
    .await;
    // The entry process thaws first and knows nothing new; requests wait at its door.
    cluster.hosts[0].entry.signal(Signal::SIGCONT);
    time::sleep(Duration::from_millis(1500)).await;
    cluster.hosts[0].control.signal(Signal::SIGCONT);
    eventually("both hosts share again", async || {
        let sums = limits(&cluster, &[0, 1]).await;
        let own = limits(&cluster, &[0]).await;
        (sums[0] == SLOTS && own[0] > 0).then_some(())
    })
    .await;
    time::sleep(Duration::from_millis(500)).await;
    flood.stop().await;
    assert_limits_held(&cluster).await;
}

#[tokio::test]
async fn a_store_outage_changes_no_share_and_no_answer() {
    let cluster = ClusterConfig::new(3, 1).with_work(5).start().await;
    cluster.set_store_fault(json!({ "hang": true })).await;
    // Longer than any term after which a host would be taken for gone.
    for _ in 0..60 {
        for host in 0..3 {
            let reply = cluster.call(host, &Call::get("/red/alpha")).await;
            assert_eq!(reply.status, 200, "{reply:?}");
        }
        time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(limits(&cluster, &[0, 1, 2]).await, [SLOTS; 2]);
    cluster.set_store_fault(json!({})).await;
    time::sleep(Duration::from_secs(2)).await;
    assert_eq!(limits(&cluster, &[0, 1, 2]).await, [SLOTS; 2]);
    assert_limits_held(&cluster).await;
}

#[tokio::test]
async fn a_host_cut_from_the_store_alone_stops_when_the_others_take_it_off() {
    let mut cluster = ClusterConfig::new(2, 1).with_work(10).with_deadline(800).start().await;
    let wire = Proxy::new(cluster.store.ip(), cluster.store).await;
    cluster.add_host_with_store(wire.address);
    wait_ready(cluster.hosts[2].entry_ops).await;
    let flood = Flood::start(&cluster, &[0, 1, 2], 6);
    wire.set_partitioned(true);
    eventually("the others have all slots", async || {
        let sums = limits(&cluster, &[0, 1]).await;
        let own = limits(&cluster, &[2]).await;
        (sums[0] == SLOTS && own == [0, 0]).then_some(())
    })
    .await;
    let reply = cluster.call(2, &Call::get("/red/alpha")).await;
    assert_eq!((reply.status, reply.outcome()), (503, "not-run"), "{reply:?}");
    wire.set_partitioned(false);
    eventually("all three share again", async || {
        let sums = limits(&cluster, &[0, 1, 2]).await;
        let own = limits(&cluster, &[2]).await;
        (sums[0] == SLOTS && own[0] > 0).then_some(())
    })
    .await;
    flood.stop().await;
    assert_limits_held(&cluster).await;
}

#[tokio::test]
async fn a_host_off_the_list_borrows_nothing() {
    let mut cluster = ClusterConfig::new(2, 1).with_deadline(800).start().await;
    let wire = Proxy::new(cluster.store.ip(), cluster.store).await;
    cluster.add_host_with_store(wire.address);
    wait_ready(cluster.hosts[2].entry_ops).await;
    wire.set_partitioned(true);
    eventually("the others have all slots", async || {
        let sums = limits(&cluster, &[0, 1]).await;
        let own = limits(&cluster, &[2]).await;
        (sums[0] == SLOTS && own == [0, 0]).then_some(())
    })
    .await;
    // The others are idle and would lend; this host can be asked about claims by nobody.
    for _ in 0..20 {
        let reply = cluster.call(2, &Call::get("/red/alpha")).await;
        assert_eq!((reply.status, reply.outcome()), (503, "not-run"), "{reply:?}");
        time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn a_host_that_its_peers_cannot_reach_goes_on_and_so_do_they() {
    let mut cluster = ClusterConfig::new(2, 1).with_work(5).start().await;
    let wires = cluster.add_host_behind_proxies().await;
    wait_ready(cluster.hosts[2].entry_ops).await;
    eventually("all shares are in use", async || {
        (limits(&cluster, &[0, 1, 2]).await == [SLOTS; 2]).then_some(())
    })
    .await;
    // It still reaches its peers and the store; nobody reaches it.
    let is_reached = async || {
        let status = cluster.admin_get("/v1/status").await;
        let mut hosts = status["hosts"].as_array().unwrap().iter();
        let host = hosts.find(|host| host["host"] == cluster.hosts[2].name.as_str()).unwrap();
        !host["control"].is_null()
    };
    assert!(is_reached().await);
    for wire in &wires {
        wire.set_partitioned(true);
    }
    assert!(!is_reached().await, "the cut cuts nothing");
    let row = json!({ "parent": "top", "settings": { "queue": 99 } });
    let version = cluster.change(vec![("group/red".to_owned(), row)]).await;
    cluster.wait_in_force(version).await;
    // Longer than the silence after which a host would be taken for gone, the store at times away.
    for round in 0..60 {
        let is_down = (20..40).contains(&round);
        cluster.set_store_fault(json!({ "hang": is_down })).await;
        for host in 0..3 {
            let reply = cluster.call(host, &Call::get("/red/alpha")).await;
            assert_eq!(reply.status, 200, "host {host}, round {round}: {reply:?}");
        }
        time::sleep(Duration::from_millis(150)).await;
    }
    assert_eq!(limits(&cluster, &[0, 1, 2]).await, [SLOTS; 2]);
    assert_limits_held(&cluster).await;
}

#[tokio::test]
async fn an_entry_without_its_control_stops_and_goes_on_with_it() {
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
async fn a_skewed_balancer_is_served_by_loans_within_the_limits() {
    let cluster = ClusterConfig::new(3, 1).with_work(20).with_deadline(1000).start().await;
    eventually("all shares are in use", async || {
        let sums = limits(&cluster, &[0, 1, 2]).await;
        (sums == [SLOTS; 2]).then_some(())
    })
    .await;
    let own = limits(&cluster, &[0]).await[0];
    let flood = Flood::start(&cluster, &[0], 12);
    eventually("the busy host has borrowed", async || {
        (limits(&cluster, &[0]).await[0] > own).then_some(())
    })
    .await;
    // The lenders get callers too and want their slots back.
    let more = Flood::start(&cluster, &[1, 2], 6);
    time::sleep(Duration::from_secs(3)).await;
    flood.stop().await;
    more.stop().await;
    assert_limits_held(&cluster).await;
    eventually("everything is returned", async || {
        let sums = limits(&cluster, &[0, 1, 2]).await;
        (sums == [SLOTS; 2] && limits(&cluster, &[0]).await[0] == own).then_some(())
    })
    .await;
}
