//! A process does not go on claiming a pool whose owner or takeover has panicked.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::atomic::Ordering,
    thread,
    time::Duration,
};

use reachhead_ops::{http, runtime};

use super::*;
use crate::{claim, peer::PeerHandler, tests::broken_node};

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
    runtime::current_thread().unwrap().block_on(async {
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
    runtime::current_thread().unwrap().block_on(async {
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
    runtime::current_thread().unwrap().block_on(async {
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
