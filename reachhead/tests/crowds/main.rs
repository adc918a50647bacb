//! Crowds of clients that send incomplete or oversized requests to the product's own programs.
//!
//! Each test checks that the process lives, that its peak memory and its descriptors stay below a
//! bound, and that an ordinary request is answered then and afterwards. Crowds run one at a time.
//! docs/design/client-limits.md describes the limits.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::{net::SocketAddr, time::Duration};

use reachhead_harness::{
    Call, Cluster, call,
    cluster::ClusterConfig,
    crowd::{Crowd, Message},
    eventually,
    process::Process,
};
use serde_json::json;
use tokio::{sync::Mutex, time};

/// Most memory of a process with a crowd, in bytes.
const MAX_MEMORY: u64 = 128 << 20;

/// Maximum number of connections of callers in the settings of the entry process.
const MAX_CONNECTIONS: usize = 300;

/// Time of a request head in the settings of the entry process, longer than a test waits.
const HEAD_TIME_MS: u64 = 120_000;

/// Most descriptors of a process beside the connections of callers.
const OTHER_DESCRIPTORS: usize = 200;

/// Default limit of a body of the entry process, in bytes.
const ENTRY_BODY: usize = 1 << 20;

/// Default limit of a body of the admin process, in bytes.
const ADMIN_BODY: usize = 8 << 20;

/// How long a crowd stays, so that the process has read what was sent.
const STAY_TIME: Duration = Duration::from_secs(5);

/// Path of a route.
const PATH: &str = "/red/alpha";

/// Crowds run one at a time.
static TURN: Mutex<()> = Mutex::const_new(());

/// Waits until a GET is answered completely, with whatever status.
async fn expect_answer(address: SocketAddr, path: &str) {
    eventually(&format!("{path} is answered"), async || {
        let reply = time::timeout(Duration::from_secs(5), call(address, &Call::get(path))).await;
        reply.is_ok_and(|reply| reply.is_complete).then_some(())
    })
    .await;
}

/// Lets a crowd stay on a process, and checks that an ordinary request is answered then and afterwards.
async fn withstand(crowd: Crowd, process: &Process, address: SocketAddr, path: &str) {
    let mut descriptors = 0;
    let sample = async {
        loop {
            descriptors = descriptors.max(process.open_descriptors());
            time::sleep(Duration::from_millis(50)).await;
        }
    };
    let stay = async {
        crowd.settle().await;
        time::sleep(STAY_TIME).await;
        expect_answer(address, path).await;
    };
    tokio::select! { () = sample => {}, () = stay => {} }
    drop(crowd);
    expect_answer(address, path).await;
    let peak = process.peak_memory().expect("the process lives");
    println!("peak memory {peak}, at most {descriptors} descriptors");
    assert!(peak <= MAX_MEMORY, "the process used {peak} bytes");
    assert!(descriptors <= MAX_CONNECTIONS + OTHER_DESCRIPTORS, "{descriptors} descriptors");
}

async fn start() -> Cluster {
    let callers =
        json!({ "callers": { "connections": MAX_CONNECTIONS, "head_time": HEAD_TIME_MS } });
    ClusterConfig::new(1, 1).with_entry(callers).start().await
}

/// Checks that the entry process withstands a crowd of callers.
async fn entry_withstands(count: usize, message: Message) {
    let _turn = TURN.lock().await;
    let cluster = start().await;
    let host = &cluster.hosts[0];
    let crowd = Crowd::open(host.callers, count, &message);
    withstand(crowd, &host.entry, host.callers, PATH).await;
}

#[tokio::test]
async fn entry_withstands_bodies_without_their_last_byte() {
    entry_withstands(250, Message::incomplete_body(PATH, ENTRY_BODY)).await;
}

#[tokio::test]
async fn entry_withstands_chunks_of_one_byte_without_end() {
    entry_withstands(250, Message::small_chunks(PATH, 200_000)).await;
}

#[tokio::test]
async fn entry_withstands_heads_without_end() {
    entry_withstands(600, Message::endless_head(PATH, 16_000)).await;
}

#[tokio::test]
async fn entry_withstands_more_idle_connections_than_it_accepts() {
    entry_withstands(600, Message::new(Vec::new())).await;
}

#[tokio::test]
async fn entry_withstands_more_incomplete_bodies_than_connections() {
    entry_withstands(600, Message::incomplete_body(PATH, 2)).await;
}

#[tokio::test]
async fn entry_withstands_heads_and_bodies_on_its_listener_for_operators() {
    let _turn = TURN.lock().await;
    let cluster = start().await;
    let host = &cluster.hosts[0];
    let mut crowd = Crowd::new();
    crowd.add(host.entry_ops, 300, &Message::endless_head("/ready", 400_000));
    crowd.add(host.entry_ops, 300, &Message::incomplete_body("/ready", 2));
    withstand(crowd, &host.entry, host.entry_ops, "/ready").await;
}

#[tokio::test]
async fn admin_withstands_bodies_without_their_last_byte() {
    let _turn = TURN.lock().await;
    let cluster = start().await;
    let admin = &cluster.admins[0];
    let crowd = Crowd::open(admin.address, 40, &Message::incomplete_body("/changes", ADMIN_BODY));
    withstand(crowd, &admin.process, admin.address, "/").await;
}

#[tokio::test]
async fn admin_withstands_heads_and_idle_connections() {
    let _turn = TURN.lock().await;
    let cluster = start().await;
    let admin = &cluster.admins[0];
    let mut crowd = Crowd::new();
    crowd.add(admin.address, 300, &Message::endless_head("/changes", 400_000));
    crowd.add(admin.address, 600, &Message::incomplete_body("/changes", 2));
    withstand(crowd, &admin.process, admin.address, "/").await;
}
