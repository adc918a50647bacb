//! A successor renews what runs on its workers while it still reads the stored jobs.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        atomic::{AtomicU32, Ordering},
    },
};

use futures::future::{BoxFuture, FutureExt};
use reachhead_jobs::{
    clock::{WorkerTime, with_drift},
    pool::StateReply,
    ports::{
        HoldOrder, RunningEntry, StartOrder, WorkerAgent, WorkerError, WorkerReport, WorkerTarget,
    },
    record::{LeaseRecord, RosterEntry, job_prefix, lease_key, roster_key, roster_prefix, value},
    shard::Shard,
    task::{StepId, TaskId},
};
use reachhead_ops::runtime;
use reachhead_store::{
    Store, StoreError,
    memory::MemoryStore,
    row::{Commit, Key, Page, Row, Scan, Txn},
};
use reachhead_types::{
    id::{JobId, WorkerId},
    size::RunNumber,
};
use tokio::time::Instant;

use super::*;
use crate::{
    claim::{self, Takeover},
    lease,
    lock::locked,
    owner,
    owner_call::call_pool_owner,
    peer::{PeerReply, PoolRequest},
    tests::{broken_node, paused_runtime, recorded_node},
};

/// How long a page of jobs takes.
const READ_TIME: Duration = Duration::from_millis(1500);

/// Time after the takeover began by which a worker's lease has to be renewed.
const RENEWAL_LIMIT: Duration = Duration::from_millis(1000);

/// A store that answers reads of jobs late.
#[derive(Default)]
struct SlowStore {
    rows: MemoryStore,
    /// Number of reads of the roster that fail.
    roster_failures: AtomicU32,
    /// Number of pages of jobs that were read.
    pages: AtomicU32,
}

impl Store for SlowStore {
    fn read(&self, keys: Vec<Key>) -> BoxFuture<'_, Result<Vec<Option<Row>>, StoreError>> {
        self.rows.read(keys)
    }

    fn scan(&self, scan: Scan) -> BoxFuture<'_, Result<Page, StoreError>> {
        let of_jobs = Shard::all().any(|shard| scan.prefix == job_prefix(&pool(), shard));
        let of_roster = scan.prefix == roster_prefix(&pool());
        async move {
            let left = &self.roster_failures;
            let fail = |left: u32| left.checked_sub(1).filter(|_| of_roster);
            if left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fail).is_ok() {
                return Err(StoreError::Lost("lost by the test".to_owned()));
            }
            if of_jobs {
                time::sleep(READ_TIME).await;
                self.pages.fetch_add(1, Ordering::Relaxed);
            }
            self.rows.scan(scan).await
        }
        .boxed()
    }

    fn commit(&self, txn: Txn) -> BoxFuture<'_, Result<Commit, StoreError>> {
        self.rows.commit(txn)
    }
}

/// Workers that report a run each, and the orders that they got.
#[derive(Default)]
struct Workers {
    running: BTreeMap<WorkerId, TaskId>,
    /// A call of a worker panics.
    panics: bool,
    orders: Mutex<Orders>,
}

#[derive(Default)]
struct Orders {
    /// When each worker was first told a deadline.
    renewed: BTreeMap<WorkerId, Instant>,
    /// Number of polls.
    polls: u32,
    started: Vec<TaskId>,
    stopped: Vec<TaskId>,
    /// The highest number of an end that was acknowledged.
    acknowledged: u64,
}

impl Workers {
    fn clock() -> WorkerTime {
        WorkerTime(500_000)
    }

    fn renewed(&self, worker: &WorkerId) -> Option<Instant> {
        locked(&self.orders).renewed.get(worker).copied()
    }
}

impl WorkerAgent for Workers {
    fn start(
        &self,
        _: WorkerTarget,
        order: StartOrder,
    ) -> BoxFuture<'_, Result<WorkerTime, WorkerError>> {
        locked(&self.orders).started.push(order.task);
        async { Ok(Self::clock()) }.boxed()
    }

    fn stop(
        &self,
        _: WorkerTarget,
        task: TaskId,
        _: RunNumber,
    ) -> BoxFuture<'_, Result<WorkerTime, WorkerError>> {
        locked(&self.orders).stopped.push(task);
        async { Ok(Self::clock()) }.boxed()
    }

    fn hold(
        &self,
        target: WorkerTarget,
        order: HoldOrder,
    ) -> BoxFuture<'_, Result<WorkerReport, WorkerError>> {
        if self.panics {
            return async { panic!("this call panics") }.boxed();
        }
        let mut orders = locked(&self.orders);
        orders.polls += 1;
        orders.acknowledged = orders.acknowledged.max(order.acknowledged);
        if order.deadline.is_some() {
            orders.renewed.entry(target.id.clone()).or_insert_with(Instant::now);
        }
        let running = self.running.get(&target.id).map(|task| RunningEntry {
            task: *task,
            run: RunNumber(1),
            checkpoint: None,
            percent: 50,
            metric: 0,
        });
        let report = WorkerReport {
            started_at: None,
            clock: Self::clock(),
            running: running.into_iter().collect(),
            ended: Vec::new(),
        };
        async move {
            time::sleep(Duration::from_millis(20)).await;
            Ok(report)
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
        async { Ok(Self::clock()) }.boxed()
    }
}

fn pool() -> PoolName {
    "a".parse().unwrap()
}

fn worker() -> WorkerId {
    "w".parse().unwrap()
}

fn task() -> TaskId {
    StepId { job: JobId(1), occurrence: 0, step: 0 }.task(0)
}

/// Returns a process that may take over a pool with a worker in the roster, its store and its workers.
async fn successor(panics: bool) -> (Arc<Node>, Arc<SlowStore>, Arc<Workers>) {
    let store = Arc::new(SlowStore::default());
    let running = BTreeMap::from([(worker(), task())]);
    let workers = Arc::new(Workers { running, panics, ..Workers::default() });
    let node = broken_node::node_with(
        Arc::<SlowStore>::clone(&store),
        Arc::<Workers>::clone(&workers) as Arc<dyn WorkerAgent>,
    );
    let address = "127.0.0.1:1".parse().unwrap();
    let entry = RosterEntry { worker: worker(), address, closed: None, started_at: None };
    let txn = Txn::new().with_write(roster_key(&pool(), &worker()), value(&entry));
    assert!(matches!(store.commit(txn).await, Ok(Commit::Done(_))));
    (node, store, workers)
}

fn policy() -> PoolPolicy {
    PoolPolicy { name: pool(), rejects_overload: false, spare: false }
}

/// Waits until a condition holds, and returns whether it did in time.
async fn holds_within(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let begun = Instant::now();
    while begun.elapsed() < limit {
        if condition() {
            return true;
        }
        time::sleep(Duration::from_millis(10)).await;
    }
    false
}

/// Guards against runs of healthy workers that lapse at each change of the owner while the successor
/// reads its rows.
#[test]
fn a_worker_is_renewed_while_the_stored_jobs_are_read() {
    paused_runtime().block_on(async {
        let (node, store, workers) = successor(false).await;
        tokio::spawn(run_takeover(Arc::clone(&node), pool(), Some(policy()), None));
        let renewed = holds_within(RENEWAL_LIMIT, || workers.renewed(&worker()).is_some()).await;
        assert_eq!(store.pages.load(Ordering::Relaxed), 0, "the jobs are still being read");
        assert!(renewed, "the lease would end before the jobs are read");
        assert!(node.loading().contains_key(&pool()), "the process claims the pool");
        assert!(node.owned().is_empty(), "callers would not find their jobs");
        assert_eq!(locked(&workers.orders).stopped, [], "the run's job may be stored");
        assert!(
            holds_within(3 * READ_TIME, || node.owned().contains_key(&pool())).await,
            "the owner serves once its jobs are read"
        );
        assert!(node.loading().is_empty());
        let stopped = || locked(&workers.orders).stopped.contains(&task());
        assert!(holds_within(RENEWAL_LIMIT, stopped).await, "the run's job is not stored");
    });
}

/// Guards against a roster that is read again only after the jobs: its first read may fail on a narrow
/// link, and reading the jobs there takes longer than a lease.
#[test]
fn a_worker_is_renewed_while_the_jobs_are_read_although_a_read_of_the_roster_failed() {
    paused_runtime().block_on(async {
        let (node, store, workers) = successor(false).await;
        store.roster_failures.store(2, Ordering::Relaxed);
        tokio::spawn(run_takeover(Arc::clone(&node), pool(), Some(policy()), None));
        let renewed = holds_within(RENEWAL_LIMIT, || workers.renewed(&worker()).is_some()).await;
        assert_eq!(store.pages.load(Ordering::Relaxed), 0, "the jobs are still being read");
        assert!(renewed, "the lease would end before the jobs are read");
    });
}

/// Guards against jobs that are stored during a takeover and found only by the reads after it, which
/// take several times as long as those of the takeover.
#[test]
fn an_owner_knows_the_jobs_of_which_it_was_notified_during_its_takeover() {
    paused_runtime().block_on(async {
        let (node, _, _) = successor(false).await;
        tokio::spawn(run_takeover(Arc::clone(&node), pool(), Some(policy()), None));
        time::sleep(Duration::from_millis(300)).await;
        assert!(node.loading().contains_key(&pool()));
        let request = PoolRequest::Submit(vec![owner::tests::job(2)]);
        let notified = call_pool_owner(&node, &pool(), request).await;
        assert!(notified.is_ok(), "{notified:?}");
        assert!(holds_within(3 * READ_TIME, || node.owned().contains_key(&pool())).await);
        let state = call_pool_owner(&node, &pool(), PoolRequest::State(JobId(2), None)).await;
        assert!(matches!(state, Ok(PeerReply::State(StateReply::Known(_)))), "{state:?}");
    });
}

/// Guards against a process that claims a pool which nobody renews and reads on.
#[test]
fn a_takeover_whose_call_to_a_worker_panicked_ends_with_its_claim() {
    paused_runtime().block_on(async {
        let (node, store, _) = successor(true).await;
        for failure in 0..2 {
            assert!(!node.leaves_to_others(&pool(), node.now()), "after {failure} failures");
            let known = node.view().leases.get(&pool()).cloned();
            let takeover = run_takeover(Arc::clone(&node), pool(), Some(policy()), known);
            assert_eq!(time::timeout(RENEWAL_LIMIT, takeover).await, Ok(()));
            assert!(node.loading().is_empty() && node.owned().is_empty());
        }
        assert_eq!(store.pages.load(Ordering::Relaxed), 0);
        assert!(node.leaves_to_others(&pool(), node.now()), "it would fail again and again");
    });
}

/// Guards against renewals beside those of a successor.
#[test]
fn a_takeover_ends_when_another_process_has_taken_the_lease() {
    paused_runtime().block_on(async {
        let (node, store, workers) = successor(false).await;
        let takeover = tokio::spawn(run_takeover(Arc::clone(&node), pool(), Some(policy()), None));
        assert!(holds_within(RENEWAL_LIMIT, || workers.renewed(&worker()).is_some()).await);
        let lease = node.view().leases[&pool()].clone();
        let now = node.now();
        node.view().update_lease(pool(), lease.record, Revision(lease.revision.0 + 1), now);
        assert!(time::timeout(RENEWAL_LIMIT, takeover).await.is_ok());
        assert_eq!(store.pages.load(Ordering::Relaxed), 0, "it waits for no page");
        assert!(node.loading().is_empty() && node.owned().is_empty());
        let polls = || locked(&workers.orders).polls;
        let before = polls();
        time::sleep(Duration::from_millis(200)).await;
        assert_eq!(polls(), before);
    });
}

/// Guards against a successor that does not wait for the runs that an abandoned takeover has renewed.
#[test]
fn the_release_of_an_abandoned_takeover_tells_the_leases_that_it_may_have_renewed() {
    paused_runtime().block_on(async {
        for (roster, expected) in [(None, Millis(0)), (Some(1), with_drift(MAX_WORKER_LEASE))] {
            let (node, store, _) = successor(false).await;
            let lease = lease::take(&node, &pool(), None, None).await.unwrap().unwrap();
            let mut takeover = Takeover::new(&lease, node.now());
            takeover.roster = roster;
            node.loading().insert(pool(), takeover);
            let ended = recovery::end_takeover(
                &node,
                &pool(),
                &lease,
                OrderEffect::new(&timeouts(&node)),
                recovery::Reads::<()>::Stuck,
            )
            .await;
            assert_eq!(ended, None);
            let rows = store.read(vec![lease_key(&pool())]).await.unwrap();
            let record: LeaseRecord = rows[0].as_ref().unwrap().parse().unwrap();
            assert_eq!(record.unsettled_for, Some(expected));
        }
    });
}

/// Guards against a process that denies a pool which it has taken and goes on to serve: a peer that is
/// answered so takes the pool, and counts on no order of this process.
#[test]
fn a_process_does_not_deny_a_pool_during_a_takeover() {
    let mut denied = 0;
    for _ in 0..100 {
        let (node, _) = recorded_node::node(&pool());
        let sampled = Arc::clone(&node);
        let sampler = std::thread::spawn(move || {
            let (mut began, mut denials) = (false, 0);
            while !sampled.owned().contains_key(&pool()) {
                let claims = claim::claims(&sampled);
                let claims_pool = claims.claimed.contains_key(&pool());
                let is_denied = !claims_pool && !claims.stalled.contains(&pool());
                denials += u32::from(began && is_denied);
                began |= !is_denied;
            }
            denials
        });
        runtime::current_thread().unwrap().block_on(async {
            run_takeover(Arc::clone(&node), pool(), Some(policy()), None).await;
            assert!(node.owned().contains_key(&pool()));
        });
        denied += u32::from(sampler.join().unwrap() > 0);
    }
    assert_eq!(denied, 0, "takeovers of 100 in which the process denied the pool");
}
