//! A process does not go on claiming a pool whose owner or takeover has panicked, or that it took over
//! while it was asked to end, and counts on orders of earlier owners no longer than they can have
//! effect.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::atomic::Ordering,
    thread,
    time::Duration,
};

use reachhead_jobs::{
    clock,
    ports::Change,
    record::{LeaseRecord, lease_key},
};
use reachhead_ops::{http, runtime};
use reachhead_store::{
    Store,
    row::{Key, Row},
};
use serde_json::{Value, json};

use super::*;
use crate::{
    claim,
    follow::{Follower, Leases},
    peer::PeerHandler,
    process,
    tests::{broken_node, paused_runtime},
};

/// How long a process is paused: longer than the event loop of an owner may stand still.
const PAUSE: Duration = Duration::from_millis(3000);

fn pool() -> PoolName {
    "a".parse().unwrap()
}

/// Returns whether the process claims the pool after a while.
async fn claims_pool(node: &Node) -> bool {
    time::sleep(Duration::from_millis(50)).await;
    node.owned().contains_key(&pool()) || node.loading().contains_key(&pool())
}

#[test]
fn a_process_does_not_claim_a_pool_whose_owner_has_panicked() {
    paused_runtime().block_on(async {
        let (node, _) = broken_node::node();
        for failure in 0..2 {
            assert!(!node.leaves_to_others(&pool(), node.now()), "after {failure} failures");
            let (handle, inputs) = OwnerHandle::new(Revision(7));
            start_owner(&node, pool(), handle, async move {
                let _inputs = inputs;
                time::sleep(Duration::from_millis(10)).await;
                panic!("the owner can't go on");
            });
            assert!(node.owned().contains_key(&pool()));
            assert!(!claims_pool(&node).await, "peers would wait for the owner for ever");
        }
        assert!(node.leaves_to_others(&pool(), node.now()), "it would fail again and again");
    });
}

#[test]
fn a_process_does_not_claim_a_pool_whose_takeover_has_panicked() {
    paused_runtime().block_on(async {
        let (node, store) = broken_node::node();
        store.scans.store(u32::MAX, Ordering::Relaxed);
        let policy = PoolPolicy { name: pool(), rejects_overload: false, spare: false };
        for failure in 0..2 {
            assert!(!node.leaves_to_others(&pool(), node.now()), "after {failure} failures");
            let known = node.view().leases.get(&pool()).cloned();
            run_takeover(Arc::clone(&node), pool(), Some(policy.clone()), known).await;
            assert!(!claims_pool(&node).await, "peers would wait for the takeover for ever");
        }
        assert!(node.leaves_to_others(&pool(), node.now()), "it would fail again and again");
        assert_eq!(node.metrics.pools_taken.get(), 2, "both takeovers got the lease");
    });
}

/// Guards against a takeover under way at SIGTERM: its owner started after the others had been
/// released, and kept the pool until the process ended without giving it back.
#[test]
fn a_process_that_is_asked_to_end_gives_back_the_pool_that_it_is_taking_over() {
    paused_runtime().block_on(async {
        let (node, store, stop) = broken_node::stoppable_node();
        store.scan_time.store(500, Ordering::Relaxed);
        let policy = PoolPolicy { name: pool(), rejects_overload: false, spare: false };
        let takeover = run_takeover(Arc::clone(&node), pool(), Some(policy), None);
        let takeover = tokio::spawn(takeover);
        time::sleep(Duration::from_millis(100)).await;
        assert!(node.loading().contains_key(&pool()));
        stop.send(true).unwrap();
        let released = time::timeout(Duration::from_millis(300), process::release_all(&node)).await;
        assert!(released.is_ok(), "the next owner waits for the reads of this one");
        takeover.await.unwrap();
        let rows = store.read(vec![lease_key(&pool())]).await.unwrap();
        let lease: LeaseRecord = rows[0].as_ref().unwrap().parse().unwrap();
        assert_eq!(lease.owner, None, "the pool was not given back");
        assert_eq!(lease.abandoned, 0, "the pool's rows can be read");
        assert!(!claims_pool(&node).await, "an owner was started");
        assert!(!node.ability().is_unreadable(&pool()));
    });
}

/// Sends a ping to a process over an open connection and returns its answer.
fn ping(stream: &mut TcpStream) -> String {
    let request = "POST /peer HTTP/1.1\r\nhost: x\r\ncontent-length: 6\r\n\r\n\"ping\"";
    write!(stream, "{request}").unwrap();
    let mut answer = [0; 4096];
    let count = stream.read(&mut answer).unwrap();
    String::from_utf8_lossy(&answer[..count]).into_owned()
}

/// Pings a process now, and again while it is paused.
fn ping_before_and_during_pause(address: SocketAddr) -> (String, String) {
    let mut stream = TcpStream::connect(address).unwrap();
    let before = ping(&mut stream);
    thread::sleep(PAUSE);
    (before, ping(&mut stream))
}

#[test]
fn the_first_answer_after_a_pause_claims_the_pool() {
    runtime::current_thread().unwrap().block_on(async {
        let (node, _) = broken_node::node();
        let (handle, inputs) = OwnerHandle::new(Revision(7));
        let (pulse, clock) = (Arc::clone(&handle.pulse), Arc::clone(&node));
        tokio::spawn(claim::run(Arc::clone(&node)));
        start_owner(&node, pool(), handle, async move {
            let _inputs = inputs;
            loop {
                pulse.record_turn(clock.now());
                time::sleep(Duration::from_millis(50)).await;
            }
        });
        let listener = http::listen("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (_keep, stop) = tokio::sync::watch::channel(false);
        let handler = Arc::new(PeerHandler(Arc::clone(&node)));
        tokio::spawn(http::serve(listener, handler, 1 << 20, stop));
        let pings = tokio::task::spawn_blocking(move || ping_before_and_during_pause(address));
        time::sleep(Duration::from_millis(300)).await;
        thread::sleep(PAUSE);
        let (before, after) = pings.await.unwrap();
        assert!(before.contains("\"owned\":{\"a\""), "{before}");
        assert!(after.contains("\"owned\":{\"a\""), "{after}");
    });
}

#[test]
fn an_owner_that_stands_still_is_not_claimed_and_may_go_on() {
    paused_runtime().block_on(async {
        let (node, _) = broken_node::node();
        let (handle, inputs) = OwnerHandle::new(Revision(7));
        tokio::spawn(claim::run(Arc::clone(&node)));
        start_owner(&node, pool(), handle, async move {
            let _inputs = inputs;
            std::future::pending().await
        });
        time::sleep(PAUSE).await;
        let claims = claim::claims(&node);
        assert!(claims.claimed.is_empty() && claims.stalled.contains(&pool()), "{claims:?}");
    });
}

/// Returns how long a process that takes the pool now counts on orders of the owners before it.
fn effect(node: &Node) -> Millis {
    let known = node.view().leases.get(&pool()).cloned();
    let now = node.now();
    order_effect(node, &pool(), known.as_ref(), now).longest(now)
}

/// Returns how long the leases of an owner last that gives no more orders.
fn leases(node: &Node) -> Millis {
    clock::with_drift(timeouts(node).hold)
}

/// Lets a process learn of a row of the leases' table.
fn learn(node: &Arc<Node>, key: &str, value: Value, revision: u64) {
    let row = Row { key: Key(key.to_owned()), value, revision: Revision(revision) };
    Leases(Arc::clone(node)).apply(&[Change { row, deleted: false }]);
}

/// Lets a process learn that an earlier process at its address has the pool's lease, and found that
/// orders of the owners before it had effect for `effect`.
fn learn_own_lease(node: &Arc<Node>, revision: u64, effect: Millis) {
    let (owner, address) = (&node.settings.node, node.settings.peer);
    let lease = json!({ "owner": owner, "address": address, "term": 3, "open": effect });
    learn(node, "lease/a/owner", lease, revision);
}

/// Tasks without a run waited for 8.6 s after each restart of their owner, for orders of the process
/// that had just ended.
#[test]
fn a_restarted_process_waits_only_for_the_leases_of_its_own_settled_pool() {
    let (node, _) = broken_node::node();
    learn_own_lease(&node, 7, timeouts(&node).takeover_delay());
    learn(&node, "lease/a/settled", json!({ "token": 7 }), 8);
    assert_eq!(effect(&node), leases(&node));
    assert_eq!(node.view().leases[&pool()].revision, Revision(7), "it is no lease");
    learn_own_lease(&node, 9, leases(&node));
    assert_eq!(effect(&node), leases(&node), "the owners before had no effect by then");
}

/// A successor counted the time of a silent owner from its own fences, though the owner between them had
/// fenced all shards long before.
#[test]
fn the_time_of_a_silent_owner_goes_on_from_owner_to_owner() {
    let (node, _) = broken_node::node();
    learn_own_lease(&node, 7, timeouts(&node).takeover_delay());
    learn(&node, "lease/a/fenced", json!({ "token": 5, "left": 100 }), 8);
    assert_eq!(effect(&node), timeouts(&node).takeover_delay(), "the row of another owner");
    learn(&node, "lease/a/fenced", json!({ "token": 7, "left": 100 }), 9);
    assert_eq!(effect(&node), leases(&node));
}

/// Two restarts in a row let tasks wait twice: the process between them had not even read the rows.
#[test]
fn a_takeover_that_was_cut_off_does_not_lengthen_the_wait() {
    paused_runtime().block_on(async {
        let (node, store) = broken_node::node();
        store.scans.store(u32::MAX, Ordering::Relaxed);
        let policy = PoolPolicy { name: pool(), rejects_overload: false, spare: false };
        run_takeover(Arc::clone(&node), pool(), Some(policy), None).await;
        assert_eq!(effect(&node), leases(&node), "there was no owner before it");
    });
}
