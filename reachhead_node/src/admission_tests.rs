//! Calls that arrive while the newest configuration is unknown or slow to come.

use std::{
    net::SocketAddr,
    sync::{Arc, mpsc},
    thread,
    time::Duration,
};

use reachhead_jobs::{clock::Tick, ports::Admission};
use reachhead_types::{error::ErrorKind, id::NodeName, size::Millis};
use tokio::time::{self, Instant};

use crate::{
    node::Node,
    peer::Pong,
    tests::idle_node::{self, apply_config, serve, serve_with},
    view::PeerStatus,
};

/// Time that a server takes to answer.
const DELAY: Duration = Duration::from_millis(10);

/// Returns a process with a route under `/a/` that was confirmed `age` ago.
fn node_with_config(store: SocketAddr, age: Millis) -> Arc<Node> {
    let node = idle_node::new(&store.to_string());
    apply_config(&node, 3, &["a"], age);
    node
}

/// Adds a peer whose last contact with the store was `store_age` before now.
fn add_peer(node: &Node, address: SocketAddr, store_age: u64) {
    let name: NodeName = "node-2".parse().unwrap();
    let pong = Pong { store_age, ..Pong::default() };
    let status = PeerStatus { asked: node.now(), at: node.now(), address, pong };
    node.view().peers.insert(name, status);
}

async fn admit(node: &Arc<Node>) -> Result<Admission, ErrorKind> {
    node.admission.admit(node, "site.example", "/a/0000000000000001", None).await
}

#[tokio::test(start_paused = true)]
async fn call_is_refused_under_an_outdated_configuration_if_a_newer_one_may_be_in_force() {
    let silent = serve(None);
    let node = node_with_config(silent, Millis(3500));
    add_peer(&node, silent, 20);
    assert_eq!(admit(&node).await.unwrap_err(), ErrorKind::NotReady);
    let refused = admit(&node).await;
    assert_eq!(refused.unwrap_err(), ErrorKind::NotReady, "the failed refresh is remembered");
}

#[tokio::test]
async fn call_is_admitted_if_no_process_can_read_the_table() {
    let silent = serve(None);
    let node = node_with_config(silent, Millis(3500));
    let peer = serve(Some((DELAY, "{\"operators\":null}")));
    add_peer(&node, peer, 20);
    assert!(admit(&node).await.is_ok(), "nobody can write it either");
}

#[tokio::test(start_paused = true)]
async fn call_is_admitted_by_a_configuration_that_may_still_be_used() {
    let silent = serve(None);
    let node = node_with_config(silent, Millis(1600));
    add_peer(&node, silent, 20);
    assert!(admit(&node).await.is_ok(), "a version takes effect within three seconds");
}

#[tokio::test(start_paused = true)]
async fn call_is_admitted_in_an_outage_of_the_store_for_all_processes() {
    let silent = serve(None);
    let node = node_with_config(silent, Millis(9000));
    add_peer(&node, silent, 9000);
    assert!(admit(&node).await.is_ok(), "states of jobs are answered without the store");
}

#[tokio::test]
async fn answer_that_arrived_while_the_process_was_paused_confirms_the_configuration() {
    let store = serve(Some((DELAY, "{\"rows\":[],\"versionNumber\":9}")));
    let node = node_with_config(store, Millis(3500));
    let before = node.now();
    let paused = async {
        time::sleep(Duration::from_millis(3)).await;
        thread::sleep(Duration::from_millis(500));
    };
    let (admitted, ()) = tokio::join!(admit(&node), paused);
    assert!(admitted.is_ok());
    let confirmed: Tick = node.view().config_current_at;
    assert!(confirmed >= before, "the store's answer was there in time");
}

#[tokio::test]
async fn one_silent_peer_does_not_keep_the_configuration_of_another_from_being_read() {
    let silent = serve(None);
    let node = node_with_config(silent, Millis(3500));
    add_peer(&node, silent, 20);
    let good = serve(Some((DELAY, "{\"operators\":{\"changes\":[],\"revision\":9}}")));
    let pong = Pong { store_age: 60, ..Pong::default() };
    let status = PeerStatus { asked: node.now(), at: node.now(), address: good, pong };
    node.view().peers.insert("node-3".parse().unwrap(), status);
    assert!(admit(&node).await.is_ok(), "a second peer has the newest configuration");
}

/// Guards against reads that end with the callers that wait for them: on a narrow link the configuration takes longer than any
/// caller waits, so that none of them ever ended and all calls were refused.
#[tokio::test(start_paused = true)]
async fn read_that_outlasts_its_callers_is_kept() {
    let (open, gate) = mpsc::channel();
    let answer = move || gate.recv().ok().map(|()| "{\"rows\":[],\"versionNumber\":9}");
    let store = serve_with(answer);
    let node = node_with_config(store, Millis(3500));
    add_peer(&node, serve(None), 20);
    let before = node.now();
    assert_eq!(admit(&node).await.unwrap_err(), ErrorKind::NotReady, "not read in time");
    // The answer arrives in real time.
    time::resume();
    open.send(()).unwrap();
    // No caller begins another read meanwhile.
    let end = Instant::now() + Duration::from_secs(5);
    while node.view().config_current_at < before {
        assert!(Instant::now() < end, "the first read has ended with its caller");
        time::sleep(Duration::from_millis(10)).await;
    }
    assert!(admit(&node).await.is_ok(), "the first read has ended");
}
