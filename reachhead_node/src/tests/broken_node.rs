//! A process on a platform that answers nothing, whose store panics where a test says so.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use futures::future::{BoxFuture, FutureExt};
use reachhead_jobs::{
    clock::WorkerTime,
    ports::{
        FeedError, FeedPage, HoldOrder, StartOrder, TableFeed, WorkerAgent, WorkerError,
        WorkerReport, WorkerTarget,
    },
    task::TaskId,
};
use reachhead_ops::client::HttpClient;
use reachhead_platform::{row_format::PlatformRowFormat, settings::Settings};
use reachhead_store::{
    Store, StoreError,
    memory::MemoryStore,
    row::{Commit, Key, Page, Row, Scan, Txn},
};
use reachhead_types::size::{Millis, Revision, RunNumber};
use tokio::{sync::watch, time};

use crate::{
    metrics::Metrics,
    node::{Node, Services},
    peer::PeerClient,
};

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

/// A store whose next calls of a kind panic.
pub struct BrokenStore {
    rows: MemoryStore,
    /// Number of scans that panic.
    pub scans: AtomicU32,
    /// How long a scan takes, in milliseconds.
    pub scan_time: AtomicU64,
    /// Number of commits that panic.
    pub commits: AtomicU32,
    /// Number of commits that are lost.
    pub lost: AtomicU32,
}

/// Panics if any panic is left.
fn panic_once(left: &AtomicU32) {
    let take = left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1));
    assert!(take.is_err(), "this call panics");
}

impl Store for BrokenStore {
    fn read(&self, keys: Vec<Key>) -> BoxFuture<'_, Result<Vec<Option<Row>>, StoreError>> {
        self.rows.read(keys)
    }

    fn scan(&self, scan: Scan) -> BoxFuture<'_, Result<Page, StoreError>> {
        async move {
            panic_once(&self.scans);
            time::sleep(Duration::from_millis(self.scan_time.load(Ordering::Relaxed))).await;
            self.rows.scan(scan).await
        }
        .boxed()
    }

    fn commit(&self, txn: Txn) -> BoxFuture<'_, Result<Commit, StoreError>> {
        async move {
            panic_once(&self.commits);
            let take = |left: u32| left.checked_sub(1);
            if self.lost.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok() {
                return Err(StoreError::Lost("lost by the test".to_owned()));
            }
            self.rows.commit(txn).await
        }
        .boxed()
    }
}

/// A platform that answers nothing, and whose workers' reports make the call panic.
pub struct Silent;

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
        async { panic!("this call panics") }.boxed()
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

/// Returns a process and its store.
pub fn node() -> (Arc<Node>, Arc<BrokenStore>) {
    let (node, store, _) = stoppable_node();
    (node, store)
}

/// Returns a process, its store, and the sender that requests its shutdown.
pub fn stoppable_node() -> (Arc<Node>, Arc<BrokenStore>, watch::Sender<bool>) {
    let store = Arc::new(BrokenStore {
        rows: MemoryStore::new(),
        scans: AtomicU32::new(0),
        scan_time: AtomicU64::new(0),
        commits: AtomicU32::new(0),
        lost: AtomicU32::new(0),
    });
    let (stop, stopping) = watch::channel(false);
    let node = new_node(Arc::<BrokenStore>::clone(&store), Arc::new(Silent), stopping);
    (node, store, stop)
}

/// Returns a process with this store and these workers, on a platform that answers nothing else.
pub fn node_with(store: Arc<dyn Store>, workers: Arc<dyn WorkerAgent>) -> Arc<Node> {
    new_node(store, workers, watch::channel(false).1)
}

fn new_node(
    store: Arc<dyn Store>,
    workers: Arc<dyn WorkerAgent>,
    stopping: watch::Receiver<bool>,
) -> Arc<Node> {
    let services = Services {
        store,
        feed: Arc::new(Silent),
        workers,
        hosts: None,
        advisor: None,
        row_format: Arc::new(PlatformRowFormat::new()),
    };
    let metrics = Metrics::new(&mut prometheus_client::registry::Registry::default());
    let peers = PeerClient::new(Arc::new(HttpClient::new()));
    let settings = Settings::parse(SETTINGS).unwrap();
    let mut node = Node::new(settings, services, peers, metrics, stopping);
    node.clock = super::tokio_clock();
    Arc::new(node)
}
