//! A process does not go on claiming a pool whose owner or takeover has panicked.

use std::{sync::atomic::Ordering, time::Duration};

use reachhead_ops::runtime;

use super::*;
use crate::fixture;

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
        let (node, _) = fixture::node();
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
        let (node, store) = fixture::node();
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
