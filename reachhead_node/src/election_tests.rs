//! A process does not go on claiming a pool whose owner or takeover has panicked.

use std::time::Duration;

use futures::future::{BoxFuture, FutureExt};
use reachhead_jobs::{
    clock::WorkerTime,
    ports::{
        FeedError, FeedPage, HoldOrder, StartOrder, TableFeed, WorkerAgent, WorkerError,
        WorkerReport, WorkerTarget,
    },
    task::TaskId,
};
use reachhead_ops::{client::HttpClient, runtime};
use reachhead_platform::{row_format::PlatformRowFormat, settings::Settings};
use reachhead_store::{
    Store, StoreError,
    memory::MemoryStore,
    row::{Commit, Key, Page, Row, Scan, Txn},
};
use reachhead_types::size::RunNumber;
use tokio::sync::watch;

use super::*;
use crate::{metrics::Metrics, node::Services, peer::PeerClient};

const SETTINGS: &str = r#"
nodeName = "front-a-1"
zone = "a"
ipAddress = "127.0.0.1"
internalPortRange = [7060, 7075]
[listenAddresses]
[limits]
cpuShare = 0.25
memoryMb = 260
[bounds]
maxHoldMs = 10000
gracePeriodS = 6
pacingMs = 100
[platform]
address = "127.0.0.1:1"
writesPerS = 600
"#;

/// A store whose scans panic.
struct BrokenStore(MemoryStore);

impl Store for BrokenStore {
    fn read(&self, keys: Vec<Key>) -> BoxFuture<'_, Result<Vec<Option<Row>>, StoreError>> {
        self.0.read(keys)
    }

    fn scan(&self, scan: Scan) -> BoxFuture<'_, Result<Page, StoreError>> {
        async move { panic!("can't scan {scan:?}") }.boxed()
    }

    fn commit(&self, txn: Txn) -> BoxFuture<'_, Result<Commit, StoreError>> {
        self.0.commit(txn)
    }
}

/// A platform that answers nothing.
struct Silent;

impl TableFeed for Silent {
    fn table(&self, _: &'static str) -> BoxFuture<'_, Result<FeedPage, StoreError>> {
        std::future::pending().boxed()
    }

    fn changes(
        &self,
        _: &'static str,
        _: Revision,
        _: Millis,
    ) -> BoxFuture<'_, Result<FeedPage, FeedError>> {
        std::future::pending().boxed()
    }
}

impl WorkerAgent for Silent {
    fn start(
        &self,
        _: WorkerTarget,
        _: StartOrder,
    ) -> BoxFuture<'_, Result<WorkerTime, WorkerError>> {
        std::future::pending().boxed()
    }

    fn stop(
        &self,
        _: WorkerTarget,
        _: TaskId,
        _: RunNumber,
    ) -> BoxFuture<'_, Result<WorkerTime, WorkerError>> {
        std::future::pending().boxed()
    }

    fn hold(
        &self,
        _: WorkerTarget,
        _: HoldOrder,
    ) -> BoxFuture<'_, Result<WorkerReport, WorkerError>> {
        std::future::pending().boxed()
    }

    fn pace(
        &self,
        _: WorkerTarget,
        _: TaskId,
        _: RunNumber,
        _: u32,
    ) -> BoxFuture<'_, Result<WorkerTime, WorkerError>> {
        std::future::pending().boxed()
    }
}

fn node() -> Arc<Node> {
    let services = Services {
        store: Arc::new(BrokenStore(MemoryStore::new())),
        feed: Arc::new(Silent),
        workers: Arc::new(Silent),
        hosts: None,
        advisor: None,
        row_format: Arc::new(PlatformRowFormat::new()),
    };
    let metrics = Metrics::new(&mut prometheus_client::registry::Registry::default());
    let peers = PeerClient::new(Arc::new(HttpClient::new()));
    let settings = Settings::parse(SETTINGS).unwrap();
    Arc::new(Node::new(settings, services, peers, metrics, watch::channel(false).1))
}

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
        let node = node();
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
        let node = node();
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
