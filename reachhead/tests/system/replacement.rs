//! Planned replacement of entry hosts and minions under load, without failed requests.

use std::time::Duration;

use serde_json::json;
use tokio::time;

use reachhead_harness::{
    Call, Cluster, call,
    cluster::{ClusterConfig, fetch_state, wait_ready},
    eventually,
};

use crate::load::{BALANCER_PERIOD, Load};

#[tokio::test]
async fn rolling_replacement_of_entry_hosts_fails_no_request() {
    let mut cluster = ClusterConfig::new(3, 2).with_work(5).start().await;
    let load = Load::start(&cluster);
    for old in 0..3 {
        cluster.add_host();
        wait_ready(cluster.hosts[3 + old].entry_ops).await;
        load.add_newest_host(&cluster);
        time::sleep(BALANCER_PERIOD * 4).await;
        assert!(cluster.hosts[old].entry.stop().await.success());
        assert!(cluster.hosts[old].control.stop().await.success());
    }
    time::sleep(Duration::from_millis(500)).await;
    let served = load.stop().await;
    assert!(served > 300, "only {served} requests were served");
}

#[tokio::test]
async fn rolling_replacement_of_minions_fails_no_request() {
    let mut cluster = ClusterConfig::new(3, 2).with_work(5).start().await;
    let load = Load::start(&cluster);
    let old = cluster.minions.len();
    for index in 0..old {
        let service = cluster.minions[index].service.clone();
        cluster.add_minion(&service, &format!("m{}", 10 + index)).await;
        let new = cluster.minion_row(cluster.minions.last().unwrap(), "serving");
        let leaving = cluster.minion_row(&cluster.minions[index], "leaving");
        let version = cluster.change(vec![new, leaving.clone()]).await;
        cluster.wait_in_force(version).await;
        let id = cluster.minions[index].id.clone();
        eventually("no request runs on the leaving minion", async || {
            let mut running = 0;
            for host in &cluster.hosts {
                running += running_requests(&fetch_state(host.entry_ops).await, &service, &id);
            }
            (running == 0).then_some(())
        })
        .await;
        let ran = cluster.minion_counts(index).await["ran"].clone();
        time::sleep(Duration::from_millis(300)).await;
        assert_eq!(
            cluster.minion_counts(index).await["ran"],
            ran,
            "the leaving minion still gets new work"
        );
        assert!(cluster.minions[index].process.stop().await.success());
        let reply = cluster.delete(&leaving.0).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    let served = load.stop().await;
    assert!(served > 300, "only {served} requests were served");
}

/// Publishes a host list with w0 in state `w0_state` and w1 live.
async fn publish_hosts(cluster: &Cluster, revision: u64, w0_state: &str) {
    let hosts = json!([
        { "host": "w0", "state": w0_state },
        { "host": "w1", "state": "live" },
    ]);
    let list = json!({ "revision": revision, "hosts": hosts }).to_string();
    let reply = call(cluster.store, &Call::post("/hosts", &list)).await;
    assert_eq!(reply.status, 200, "{reply:?}");
}

#[tokio::test]
async fn host_moves_between_pools_under_load_without_failed_requests() {
    let cluster = ClusterConfig::new(2, 2).with_work(5).start().await;
    cluster.place_minions(2).await;
    cluster.change(vec![("pool/spare".to_owned(), json!({ "group": "top" }))]).await;
    cluster.add_worker("w0", "main").await;
    cluster.set_host_state(json!({ "host": "w0", "running": 1 })).await;
    let load = Load::start(&cluster);
    cluster.move_worker("w0", "spare").await;
    let count_ran = async || cluster.minion_counts(0).await["ran"].as_u64().unwrap();
    eventually("the drained host gets no new work", async || {
        let before = count_ran().await;
        time::sleep(Duration::from_millis(300)).await;
        (before > 0 && count_ran().await == before).then_some(())
    })
    .await;
    let ran_when_drained = count_ran().await;
    cluster.set_host_state(json!({ "host": "w0", "running": 0 })).await;
    eventually("the host is in the other pool", async || {
        (cluster.admin_get("/v1/hosts/w0").await["row"]["pool"] == "spare").then_some(())
    })
    .await;
    assert_eq!(count_ran().await, ran_when_drained, "the host was handed over while it ran work");
    eventually("the host has work again", async || {
        (count_ran().await > ran_when_drained).then_some(())
    })
    .await;
    load.stop().await;
}

#[tokio::test]
async fn leaving_host_gets_no_new_work_despite_stale_host_lists() {
    let cluster = ClusterConfig::new(2, 2).start().await;
    cluster.place_minions(2).await;
    publish_hosts(&cluster, 1, "live").await;
    let load = Load::start(&cluster);
    eventually("the first host has work", async || {
        (cluster.minion_counts(0).await["ran"].as_u64()? > 10).then_some(())
    })
    .await;
    // From here on every other read of the host list returns an older list, in which w0 is live.
    cluster.set_store_fault(json!({ "stale": true })).await;
    publish_hosts(&cluster, 2, "leaving").await;
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

fn running_requests(state: &serde_json::Value, service: &str, minion: &str) -> u64 {
    let services = state["services"].as_array().unwrap();
    let service = services.iter().find(|one| one["name"] == json!(service)).unwrap();
    let minions = service["minions"].as_array().unwrap();
    let found = minions.iter().find(|one| one["id"] == json!(minion));
    found.map_or(0, |minion| minion["running"].as_u64().unwrap())
}

#[tokio::test]
async fn shutdown_finishes_long_and_streaming_responses() {
    let mut cluster = ClusterConfig::new(1, 1).with_deadline(5000).start().await;
    let address = cluster.hosts[0].callers;
    let long = Call::get("/red/alpha").with_header("standin-work", 1500);
    let large = Call::get("/red/alpha").with_header("standin-work", 500);
    let large = large.with_header("standin-size", 3_000_000);
    let calls =
        [long, large].map(|request| tokio::spawn(async move { call(address, &request).await }));
    eventually("both requests run", async || {
        (cluster.minion_counts(0).await["running"] == 2).then_some(())
    })
    .await;
    assert!(cluster.hosts[0].entry.stop().await.success());
    for finished in calls {
        let reply = finished.await.unwrap();
        assert_eq!((reply.status, reply.is_complete), (200, true));
        assert_eq!(reply.header("connection"), "close");
    }
}
