//! The fleet owner relays the workers of all pools only while it follows them all itself.

use std::{sync::Arc, time::Duration};

use reachhead_jobs::ports::{Change, FeedPage, RowFormat};
use reachhead_platform::row_format::PlatformRowFormat;
use reachhead_store::row::{Key, Row};
use reachhead_types::size::{Millis, Revision};
use tokio::time::{self, Instant};

use super::{Position, WorkersPage, WorkersRequest, apply_page, serve};
use crate::{
    fleet,
    follow::{Follower, Workers, follow},
    lock::locked,
    node::Node,
    owner::OwnerHandle,
    tests::idle_node,
};

/// Nothing is read from the store.
const UNUSED_STORE: &str = "127.0.0.1:1";

/// A worker's row, as the platform stores it.
const WORKER_ROW: &str = include_str!("../../platform/tests/rows/worker.json");

fn worker_row(id: &str) -> Change {
    let value = serde_json::from_str(WORKER_ROW).unwrap();
    let table = PlatformRowFormat::new().worker_table();
    let row = Row { key: Key(format!("{table}//{id}")), value, revision: Revision(4) };
    Change { row, deleted: false }
}

/// Returns a process that owns the hosts and has just followed two workers.
fn fleet_owner() -> (Arc<Node>, Workers) {
    let node = idle_node::new(UNUSED_STORE);
    let (handle, _) = OwnerHandle::new(Revision(1));
    node.owned().insert(fleet::name(), handle);
    let workers = Workers(Arc::clone(&node));
    let changes = vec![worker_row("i-1"), worker_row("i-2")];
    workers.reset(&FeedPage { changes, revision: Revision(5) });
    workers.confirm_current(node.now(), Revision(5));
    (node, workers)
}

async fn served_workers(node: &Node) -> Option<usize> {
    let pools = vec!["a".parse().unwrap()];
    let page = serve(node, WorkersRequest { pools, after: None }).await;
    page.map(|page| page.changes.len())
}

/// Returns the page that another fleet owner sends to an owner of another pool.
fn page_of_another_pool() -> WorkersPage {
    let position = Position { epoch: 7, version: 3 };
    WorkersPage { position, whole: true, changes: Vec::new() }
}

#[tokio::test]
async fn workers_of_some_pools_are_not_relayed_as_those_of_all() {
    let (node, workers) = fleet_owner();
    assert_eq!(served_workers(&node).await, Some(2));
    workers.mark_stale();
    assert_eq!(served_workers(&node).await, None);
    apply_page(&node, page_of_another_pool());
    assert_eq!(served_workers(&node).await, None, "the workers of pool a are not known here");
    let changes: Vec<Change> = vec![worker_row("i-1")];
    workers.reset(&FeedPage { changes, revision: Revision(9) });
    workers.confirm_current(node.now(), Revision(9));
    assert_eq!(served_workers(&node).await, Some(1));
}

/// A process that no longer follows the table has to request its workers from the fleet owner.
#[tokio::test]
async fn process_that_fails_to_read_the_table_does_not_count_as_following_it_for_ever() {
    let node = idle_node::relaying(UNUSED_STORE);
    let (handle, _) = OwnerHandle::new(Revision(1));
    node.owned().insert("a".parse().unwrap(), handle);
    let workers = Workers(Arc::clone(&node));
    workers.reset(&FeedPage { changes: vec![worker_row("i-1")], revision: Revision(5) });
    *locked(&node.registry.direct_until) = node.now() + Millis(60_000);
    assert!(workers.is_needed());
    let following = tokio::spawn(follow(Arc::clone(&node), Arc::new(workers)));
    time::sleep(Duration::from_millis(30)).await;
    *locked(&node.registry.direct_until) = node.now();
    let end = Instant::now() + Duration::from_secs(5);
    while node.view().follows_workers {
        assert!(Instant::now() < end, "its state counts as current without being followed");
        time::sleep(Duration::from_millis(20)).await;
    }
    assert!(!node.view().workers_loaded);
    // What the fleet owner sends afterwards counts.
    apply_page(&node, page_of_another_pool());
    time::sleep(Duration::from_millis(300)).await;
    assert!(node.view().workers_loaded);
    following.abort();
}
