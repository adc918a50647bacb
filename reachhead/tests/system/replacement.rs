//! Planned stops cut nothing off: every entry host and every minion is replaced under load.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use serde_json::json;
use tokio::{task::JoinHandle, time};

use reachhead_harness::{
    Call, Cluster, Reply, call,
    cluster::{Plan, ready, state},
    eventually,
};

/// How often the balancer looks which hosts are ready; entry hosts wait out more than this.
const BALANCER_LAG: Duration = Duration::from_millis(100);

/// Callers behind the balancer.
const CALLERS: usize = 8;

/// The platform's balancer, and callers that send steadily through it.
struct Load {
    hosts: Arc<Mutex<BTreeMap<SocketAddr, SocketAddr>>>,
    stop: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    failed: Arc<Mutex<Vec<Reply>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Load {
    fn start(cluster: &Cluster) -> Self {
        let known = cluster.hosts.iter().map(|host| (host.entry_ops, host.callers)).collect();
        let mut load = Self {
            hosts: Arc::new(Mutex::new(known)),
            stop: Arc::default(),
            served: Arc::default(),
            failed: Arc::default(),
            tasks: Vec::new(),
        };
        let ready =
            Arc::new(Mutex::new(cluster.hosts.iter().map(|host| host.callers).collect::<Vec<_>>()));
        load.tasks.push(tokio::spawn(balance(
            Arc::clone(&load.hosts),
            Arc::clone(&ready),
            Arc::clone(&load.stop),
        )));
        for caller in 0..CALLERS {
            let (ready, stop) = (Arc::clone(&ready), Arc::clone(&load.stop));
            let (served, failed) = (Arc::clone(&load.served), Arc::clone(&load.failed));
            load.tasks.push(tokio::spawn(async move {
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let host = {
                        let ready = ready.lock().unwrap();
                        ready[(caller + number) % ready.len()]
                    };
                    let request = match number % 3 {
                        0 => Call::post("/red/pay", "1").with_key(&format!("{caller}-{number}")),
                        1 => Call::post("/red/alpha", "once"),
                        _ => Call::get("/blue/alpha"),
                    };
                    let reply = call(host, &request).await;
                    if reply.status == 200 && reply.is_whole {
                        served.fetch_add(1, Ordering::Relaxed);
                    } else {
                        failed.lock().unwrap().push(reply);
                    }
                }
            }));
        }
        load
    }

    fn add(&self, cluster: &Cluster) {
        let host = cluster.hosts.last().unwrap();
        self.hosts.lock().unwrap().insert(host.entry_ops, host.callers);
    }

    async fn stop(self) -> usize {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.unwrap();
        }
        let failed = self.failed.lock().unwrap();
        let served = self.served.load(Ordering::Relaxed);
        assert!(failed.is_empty(), "{} of {served} failed: {:?}", failed.len(), failed.first());
        served
    }
}

async fn balance(
    hosts: Arc<Mutex<BTreeMap<SocketAddr, SocketAddr>>>,
    ready: Arc<Mutex<Vec<SocketAddr>>>,
    stop: Arc<AtomicBool>,
) {
    while !stop.load(Ordering::Relaxed) {
        let known = hosts.lock().unwrap().clone();
        let mut next = Vec::new();
        for (ops, callers) in known {
            if call(ops, &Call::get("/ready")).await.status == 200 {
                next.push(callers);
            }
        }
        if !next.is_empty() {
            *ready.lock().unwrap() = next;
        }
        time::sleep(BALANCER_LAG).await;
    }
}

#[tokio::test]
async fn every_entry_host_is_replaced_under_load_without_a_failed_request() {
    let mut cluster = Plan::new(3, 2).with_work(5).start().await;
    let load = Load::start(&cluster);
    for old in 0..3 {
        cluster.add_host();
        ready(cluster.hosts[3 + old].entry_ops).await;
        load.add(&cluster);
        time::sleep(BALANCER_LAG * 4).await;
        assert!(cluster.hosts[old].entry.stop().await.success());
        assert!(cluster.hosts[old].control.stop().await.success());
    }
    time::sleep(Duration::from_millis(500)).await;
    let served = load.stop().await;
    assert!(served > 300, "only {served} requests were served meanwhile");
}

#[tokio::test]
async fn every_minion_is_replaced_under_load_without_a_failed_request() {
    let mut cluster = Plan::new(3, 2).with_work(5).start().await;
    let load = Load::start(&cluster);
    let old = cluster.minions.len();
    for index in 0..old {
        let service = cluster.minions[index].service.clone();
        cluster.add_minion(&service, &format!("m{}", 10 + index)).await;
        let new = cluster.minion_row(cluster.minions.last().unwrap(), "serving");
        let leaving = cluster.minion_row(&cluster.minions[index], "leaving");
        let version = cluster.change(vec![new, leaving.clone()]).await;
        cluster.in_force(version).await;
        let id = cluster.minions[index].id.clone();
        eventually("nothing runs there any more", async || {
            let mut running = 0;
            for host in &cluster.hosts {
                running += running_at(&state(host.entry_ops).await, &service, &id);
            }
            (running == 0).then_some(())
        })
        .await;
        let ran = cluster.minion_counts(index).await["ran"].clone();
        time::sleep(Duration::from_millis(300)).await;
        assert_eq!(cluster.minion_counts(index).await["ran"], ran, "it still gets new work");
        assert!(cluster.minions[index].process.stop().await.success());
        let reply = cluster.delete(&leaving.0).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    let served = load.stop().await;
    assert!(served > 300, "only {served} requests were served meanwhile");
}

/// Posts a host list with two hosts, the first of which is live or leaving.
async fn set_hosts(cluster: &Cluster, revision: u64, first: &str) {
    let hosts = json!([
        { "host": "w0", "state": first },
        { "host": "w1", "state": "live" },
    ]);
    let list = json!({ "revision": revision, "hosts": hosts }).to_string();
    let reply = call(cluster.store, &Call::post("/hosts", &list)).await;
    assert_eq!(reply.status, 200, "{reply:?}");
}

/// Puts the minions on the hosts w0 and w1 in turn.
async fn place_minions(cluster: &Cluster) {
    let mut rows = Vec::new();
    for (index, minion) in cluster.minions.iter().enumerate() {
        let (key, mut row) = cluster.minion_row(minion, "serving");
        row["host"] = json!(format!("w{}", index % 2));
        rows.push((key, row));
    }
    let version = cluster.change(rows).await;
    cluster.in_force(version).await;
}

#[tokio::test]
async fn a_host_changes_its_pool_under_load_without_a_failed_request() {
    let cluster = Plan::new(2, 2).with_work(5).start().await;
    place_minions(&cluster).await;
    cluster.change(vec![("pool/spare".to_owned(), json!({ "group": "top" }))]).await;
    cluster.add_worker("w0", "main").await;
    cluster.set_host(json!({ "host": "w0", "running": 1 })).await;
    let load = Load::start(&cluster);
    cluster.move_worker("w0", "spare").await;
    let ran = async || cluster.minion_counts(0).await["ran"].as_u64().unwrap();
    eventually("the drained host gets no new work", async || {
        let before = ran().await;
        time::sleep(Duration::from_millis(300)).await;
        (before > 0 && ran().await == before).then_some(())
    })
    .await;
    let drained = ran().await;
    cluster.set_host(json!({ "host": "w0", "running": 0 })).await;
    eventually("the host is in the other pool", async || {
        (cluster.read("/v1/hosts/w0").await["row"]["pool"] == "spare").then_some(())
    })
    .await;
    assert_eq!(ran().await, drained, "it was handed over while it had work");
    eventually("the host has work again", async || (ran().await > drained).then_some(())).await;
    load.stop().await;
}

#[tokio::test]
async fn a_leaving_host_on_a_stale_list_gets_no_new_work() {
    let cluster = Plan::new(2, 2).start().await;
    place_minions(&cluster).await;
    set_hosts(&cluster, 1, "live").await;
    let load = Load::start(&cluster);
    eventually("the first host has work", async || {
        (cluster.minion_counts(0).await["ran"].as_u64()? > 10).then_some(())
    })
    .await;
    // From here on every other read of the list is an old one that says "live".
    cluster.store_fault(json!({ "stale": true })).await;
    set_hosts(&cluster, 2, "leaving").await;
    time::sleep(Duration::from_secs(3)).await;
    let ran = [0, 2].map(|index| cluster.minion_counts(index));
    let ran = futures::future::join_all(ran).await;
    time::sleep(Duration::from_secs(2)).await;
    for (index, before) in [0, 2].into_iter().zip(ran) {
        let now = cluster.minion_counts(index).await;
        assert_eq!(now["ran"], before["ran"], "minion {index} still gets new work");
    }
    load.stop().await;
}

fn running_at(state: &serde_json::Value, service: &str, minion: &str) -> u64 {
    let services = state["services"].as_array().unwrap();
    let service = services.iter().find(|one| one["name"] == json!(service)).unwrap();
    let minions = service["minions"].as_array().unwrap();
    let found = minions.iter().find(|one| one["id"] == json!(minion));
    found.map_or(0, |minion| minion["running"].as_u64().unwrap())
}

#[tokio::test]
async fn a_shutdown_finishes_long_and_streaming_answers() {
    let mut cluster = Plan::new(1, 1).with_deadline(5000).start().await;
    let address = cluster.hosts[0].callers;
    let long = Call::get("/red/alpha").with_field("standin-work", 1500);
    let large = Call::get("/red/alpha").with_field("standin-work", 500);
    let large = large.with_field("standin-size", 3_000_000);
    let calls =
        [long, large].map(|request| tokio::spawn(async move { call(address, &request).await }));
    eventually("both run", async || (cluster.minion_counts(0).await["running"] == 2).then_some(()))
        .await;
    assert!(cluster.hosts[0].entry.stop().await.success());
    for finished in calls {
        let reply = finished.await.unwrap();
        assert_eq!((reply.status, reply.is_whole), (200, true));
        assert_eq!(reply.field("connection"), "close");
    }
}
