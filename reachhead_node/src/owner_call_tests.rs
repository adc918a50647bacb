//! Calls to an owner that has moved while the process did not hear of it, or that does not answer.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base64::{Engine, prelude::BASE64_STANDARD};
use reachhead_jobs::{
    ports::{Change, FeedPage},
    record::lease_key,
};
use reachhead_store::row::Row;
use reachhead_types::{
    id::PoolName,
    size::{Millis, Revision},
};
use serde_json::{Value, json};
use tokio::time;

use super::{OwnerError, call_pool_owner};
use crate::{
    follow::{Follower, Leases},
    node::Node,
    owner::OwnerHandle,
    peer::{PeerReply, PoolRequest},
    tests::idle_node::{self, serve},
};

const DELAY: Duration = Duration::from_millis(1);

fn pool() -> PoolName {
    "a".parse().unwrap()
}

fn lease(owner: &str, address: SocketAddr) -> Value {
    json!({ "owner": owner, "address": address, "term": 1 })
}

/// Returns a process that knows an owner which has gone, confirmed `age` ago. In the store the lease
/// names an owner that answers.
fn node_with_old_lease(age: Millis) -> Arc<Node> {
    let record = lease("node-3", serve(Some((DELAY, "\"done\""))));
    let row = json!({ "table": "lease", "part": "a", "key": "owner", "versionNumber": 40,
        "value": BASE64_STANDARD.encode(record.to_string()) });
    let stored = json!({ "rows": [row], "versionNumber": 50 }).to_string();
    let node = idle_node::new(&serve(Some((DELAY, stored.leak()))).to_string());
    let gone = "127.0.0.1:1".parse().unwrap();
    let row = Row { key: lease_key(&pool()), value: lease("node-2", gone), revision: Revision(7) };
    let leases = Leases(Arc::clone(&node));
    let changes = vec![Change { row, deleted: false }];
    leases.reset(&FeedPage { changes, revision: Revision(9) });
    leases.confirm_current(node.now() - age, Revision(9));
    node
}

#[tokio::test]
async fn owner_that_moved_unheard_is_found_in_the_store() {
    let node = node_with_old_lease(Millis(4000));
    let first = call_pool_owner(&node, &pool(), PoolRequest::Load).await;
    assert!(matches!(first, Err(OwnerError::NoAnswer(..))), "{first:?}");
    let second = call_pool_owner(&node, &pool(), PoolRequest::Load).await;
    assert!(matches!(second, Ok(PeerReply::Done)), "{second:?}");
    assert_eq!(node.view().leases[&pool()].revision, Revision(40));
}

#[tokio::test]
async fn lease_that_was_confirmed_lately_is_not_read_again() {
    let node = node_with_old_lease(Millis(200));
    for _ in 0..2 {
        assert!(call_pool_owner(&node, &pool(), PoolRequest::Load).await.is_err());
    }
    assert_eq!(node.view().leases[&pool()].revision, Revision(7));
}

#[tokio::test(start_paused = true)]
async fn a_call_to_an_owner_in_this_process_that_does_not_answer_ends() {
    let node = idle_node::new("127.0.0.1:1");
    let (handle, _inputs) = OwnerHandle::new(Revision(7));
    node.owned().insert(pool(), handle);
    let pool = pool();
    let call = call_pool_owner(&node, &pool, PoolRequest::Load);
    let ended = time::timeout(Duration::from_secs(3), call).await;
    assert!(matches!(ended, Ok(Err(OwnerError::TooSlow))), "{ended:?}");
}
