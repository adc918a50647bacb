//! A process whose orders and transactions are recorded, with workers that answer and a store that may
//! leave transactions undecided.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, Ordering},
};

use futures::future::{self, BoxFuture, FutureExt};
use reachhead_jobs::{
    clock::WorkerTime,
    ports::{
        HoldOrder, RunningEntry, StartOrder, WorkerAgent, WorkerError, WorkerReport, WorkerTarget,
    },
    record::lease_key,
    task::TaskId,
};
use reachhead_store::{
    Store, StoreError,
    memory::MemoryStore,
    row::{Commit, Key, Page, Row, Scan, Txn},
};
use reachhead_types::{
    id::{PoolName, WorkerId},
    size::RunNumber,
};
use tokio::time::{self, Instant};

use super::broken_node;
use crate::{lock::locked, node::Node};

/// A call that the process made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// A poll of a worker that renews its lease.
    Renewal,
    /// A poll of a worker that does not.
    Poll,
    /// A start order.
    Start,
    /// A stop order.
    Stop,
    /// A transaction on the lease.
    Lease,
    /// Another transaction.
    Record,
}

/// The platform of the process.
pub struct Platform {
    rows: MemoryStore,
    lease: Key,
    started: Instant,
    calls: Mutex<Vec<(Call, Instant)>>,
    /// What was started and not stopped, by worker.
    running: Mutex<Vec<(WorkerId, RunningEntry)>>,
    /// No transaction on other rows than the lease is decided.
    pub holds_records: AtomicBool,
    /// No transaction on the lease is decided.
    pub holds_leases: AtomicBool,
}

impl Platform {
    fn record(&self, call: Call) {
        locked(&self.calls).push((call, Instant::now()));
    }

    /// Returns the calls so far.
    pub fn calls(&self) -> Vec<(Call, Instant)> {
        locked(&self.calls).clone()
    }

    fn clock(&self) -> WorkerTime {
        WorkerTime(1_000_000 + self.started.elapsed().as_millis() as u64)
    }
}

impl Store for Platform {
    fn read(&self, keys: Vec<Key>) -> BoxFuture<'_, Result<Vec<Option<Row>>, StoreError>> {
        self.rows.read(keys)
    }

    fn scan(&self, scan: Scan) -> BoxFuture<'_, Result<Page, StoreError>> {
        self.rows.scan(scan)
    }

    fn commit(&self, txn: Txn) -> BoxFuture<'_, Result<Commit, StoreError>> {
        let is_lease = txn.writes.iter().any(|write| write.key == self.lease);
        self.record(if is_lease { Call::Lease } else { Call::Record });
        let is_held = if is_lease { &self.holds_leases } else { &self.holds_records };
        if is_held.load(Ordering::Relaxed) {
            return future::pending().boxed();
        }
        self.rows.commit(txn)
    }
}

impl WorkerAgent for Platform {
    fn start(
        &self,
        target: WorkerTarget,
        order: StartOrder,
    ) -> BoxFuture<'_, Result<WorkerTime, WorkerError>> {
        self.record(Call::Start);
        let StartOrder { task, run, .. } = order;
        let entry = RunningEntry { task, run, checkpoint: None, percent: 0, metric: 0 };
        locked(&self.running).push((target.id, entry));
        async { Ok(self.clock()) }.boxed()
    }

    fn stop(
        &self,
        _: WorkerTarget,
        task: TaskId,
        _: RunNumber,
    ) -> BoxFuture<'_, Result<WorkerTime, WorkerError>> {
        self.record(Call::Stop);
        locked(&self.running).retain(|(_, entry)| entry.task != task);
        async { Ok(self.clock()) }.boxed()
    }

    fn hold(
        &self,
        target: WorkerTarget,
        order: HoldOrder,
    ) -> BoxFuture<'_, Result<WorkerReport, WorkerError>> {
        self.record(if order.deadline.is_some() { Call::Renewal } else { Call::Poll });
        async move {
            time::sleep(order.wait.duration()).await;
            let running = locked(&self.running).clone().into_iter();
            let own = running.filter(|(worker, _)| *worker == target.id);
            let running = own.map(|(_, entry)| entry).collect();
            let (clock, ended) = (self.clock(), Vec::new());
            Ok(WorkerReport { started_at: None, clock, running, ended })
        }
        .boxed()
    }

    fn pace(
        &self,
        _: WorkerTarget,
        _: TaskId,
        _: RunNumber,
        _: u32,
    ) -> BoxFuture<'_, Result<WorkerTime, WorkerError>> {
        async { Ok(self.clock()) }.boxed()
    }
}

/// Returns a process that may own `pool`, and its platform.
pub fn node(pool: &PoolName) -> (Arc<Node>, Arc<Platform>) {
    let platform = Arc::new(Platform {
        rows: MemoryStore::new(),
        lease: lease_key(pool),
        started: Instant::now(),
        calls: Mutex::default(),
        running: Mutex::default(),
        holds_records: AtomicBool::new(false),
        holds_leases: AtomicBool::new(false),
    });
    let (store, workers) = (Arc::clone(&platform) as _, Arc::clone(&platform) as _);
    (broken_node::node_with(store, workers), platform)
}
