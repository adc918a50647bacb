//! Consistent reads of the hosts of several pools.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::sync::atomic::{AtomicBool, Ordering};

use futures::{
    executor::block_on,
    future::{BoxFuture, FutureExt},
};
use reachhead_store::{
    Store, StoreError, hosts, keys,
    memory::MemoryStore,
    row::{Commit, Key, Page, Row, Scan, Txn},
};
use reachhead_types::{
    id::{HostId, PoolName},
    pool::{HostPhase, HostRow},
};
use serde_json::json;

/// A store in which the host of one pool returns to service and the host of the other pool starts
/// to drain between the first read of rows and the next; at no revision are both out of service.
struct SwappingStore {
    inner: MemoryStore,
    swapped: AtomicBool,
}

fn host(pool: &str, phase: HostPhase) -> HostRow {
    let row = json!({ "pool": pool, "phase": "serving", "zone": "z1", "rack": "r1", "resources": { "cores": 1, "memory": 1 } });
    let mut row: HostRow = serde_json::from_value(row).unwrap();
    row.phase = phase;
    row
}

fn put(txn: Txn, id: &str, row: &HostRow) -> Txn {
    let id: HostId = id.parse().unwrap();
    txn.with_write(keys::host(&id), serde_json::to_value(row).unwrap())
        .with_write(keys::pool_host(&row.pool, &id), json!({}))
}

impl Store for SwappingStore {
    fn read(&self, keys: Vec<Key>) -> BoxFuture<'_, Result<Vec<Option<Row>>, StoreError>> {
        async move {
            let rows = self.inner.read(keys).await;
            if !self.swapped.swap(true, Ordering::Relaxed) {
                let txn = put(Txn::new(), "w1", &host("main", HostPhase::Serving));
                let txn = put(txn, "w2", &host("spare", HostPhase::Draining));
                self.inner.commit(txn).await?;
            }
            rows
        }
        .boxed()
    }

    fn scan(&self, scan: Scan) -> BoxFuture<'_, Result<Page, StoreError>> {
        self.inner.scan(scan)
    }

    fn commit(&self, txn: Txn) -> BoxFuture<'_, Result<Commit, StoreError>> {
        self.inner.commit(txn)
    }
}

/// Guards against reads of several pools at different revisions.
///
/// A wave over two pools was shown with two hosts out of service where one is allowed: the host of
/// the first pool was read before it returned, that of the second pool after it had started to
/// drain.
#[test]
fn hosts_of_several_pools_are_read_at_one_revision() {
    let inner = MemoryStore::new();
    let txn = put(Txn::new(), "w1", &host("main", HostPhase::Arriving));
    let txn = put(txn, "w2", &host("spare", HostPhase::Serving));
    block_on(inner.commit(txn)).unwrap();
    let store = SwappingStore { inner, swapped: AtomicBool::new(false) };
    let pools: Vec<PoolName> = vec!["main".parse().unwrap(), "spare".parse().unwrap()];
    let found = block_on(hosts::in_pools(&store, &pools)).unwrap();
    let out_of_service =
        found.values().flatten().filter(|host| host.row.phase != HostPhase::Serving);
    assert_eq!(out_of_service.count(), 1, "{found:?}");
}
