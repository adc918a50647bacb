//! An owner that waits for a result that never comes, or learns of a successor, gives its pool up. One
//! whose reads have to wait reads on soon.

use std::sync::atomic::Ordering;

use reachhead_jobs::{
    model::{Plan, Queue, Step},
    order_effect::OrderEffect,
    pool::{PoolTimeouts, RecoveredState, StoredRoster},
    ports::{WorkerError, WorkerInfo},
    record::{JobRecord, lease_key},
};
use reachhead_types::size::Revision;

use super::*;
use crate::{
    dispatch::PollOutcome,
    lease,
    tests::{broken_node, paused_runtime},
};

/// Time after which the first read of stored jobs is due.
const FIRST_SCAN: Duration = Duration::from_millis(500);

pub(super) fn worker() -> WorkerInfo {
    worker_named("w")
}

pub(super) fn worker_named(id: &str) -> WorkerInfo {
    WorkerInfo {
        id: id.parse().unwrap(),
        started_at: None,
        pool: "a".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "z".parse().unwrap(),
        capacity: Default::default(),
        labels: Vec::new(),
        rack: None,
        draining: false,
    }
}

async fn owner() -> Owner {
    owner_in(broken_node::node().0).await
}

/// Returns a job of one task that needs nothing.
pub(crate) fn job(id: u64) -> AcceptedJob {
    let queue = Queue {
        name: "q".parse().unwrap(),
        host: "h".to_owned(),
        prefix: "/q/".to_owned(),
        pool: "a".parse().unwrap(),
        priority: 0,
        attempts: 3,
        stretch: 2.0,
        target: Millis(600),
        advice: None,
        allows_anonymous: true,
    };
    let step = Step { count: 1, estimate: Millis(1000), ..Step::default() };
    let plan = Plan { payload: "x".into(), steps: vec![step], schedule: None };
    let (queue, plan) = (Arc::new(queue), Arc::new(plan));
    let record = JobRecord { queue, plan, accepted: Millis(0), customer: None, stored_by: None };
    AcceptedJob { id: JobId(id), record, row: Revision(1000 + id) }
}

/// Returns the owner of pool "a" in this process.
pub(super) async fn owner_in(node: Arc<Node>) -> Owner {
    let name = "a".parse().unwrap();
    let token = lease::take(&node, &name, None, None).await.unwrap().unwrap().revision;
    let timeouts = PoolTimeouts {
        hold: Millis(4000),
        trust: Millis(4000),
        wait: Millis(100),
        notice: Millis(4500),
        gang: Millis(3000),
        stop: Millis(400),
        grant: Millis(6000),
        drain: Millis(4000),
    };
    let (handle, inputs) = OwnerHandle::new(token);
    handle.send(Input::WorkersListed(vec![worker()]));
    let (now, wall) = (node.now(), node.clock.wall());
    let effect = OrderEffect::new(&timeouts);
    let found = RecoveredState::new(StoredRoster::default(), effect, Tick(0));
    let pool = Pool::new(name, FencingToken(token.0), 0, timeouts, found, now, wall);
    Owner::new(node, pool, 0, handle, inputs)
}

#[test]
fn an_owner_whose_call_to_a_worker_panicked_gives_its_pool_up() {
    paused_runtime().block_on(async {
        let outcome = time::timeout(Duration::from_secs(2), owner().await.run()).await;
        assert_eq!(outcome, Ok(Outcome::Failed), "the worker is never called again");
    });
}

/// Guards against orders beside a successor: the lease row that the owner reads may show it before
/// the followed table does.
#[test]
fn an_owner_that_reads_the_lease_of_a_successor_gives_its_pool_up() {
    paused_runtime().block_on(async {
        let mut owner = owner().await;
        let key = lease_key(owner.pool.name());
        let mut rows = owner.node.services.store.read(vec![key]).await.unwrap();
        let now = owner.node.now();
        owner.take(Input::LeaseRead(now, Ok(rows.clone())));
        assert!(!owner.lease_lost, "the row names this owner");
        owner.take(Input::LeaseRead(now, Err(StoreError::Busy("slow".to_owned()))));
        assert!(!owner.lease_lost, "a store that does not answer shows nothing");
        let row = rows[0].as_mut().unwrap();
        row.revision = Revision(row.revision.0 + 1);
        owner.take(Input::LeaseRead(now, Ok(rows)));
        assert!(owner.lease_lost);
    });
}

/// Guards against a late poll of a dispatcher that the pool does not expect, since it was told of the
/// owner's own poll alone.
#[test]
fn an_owner_that_repeats_a_poll_of_a_dispatcher_expects_that_one_to_be_late() {
    paused_runtime().block_on(async {
        let mut owner = owner().await;
        owner.take(Input::WorkersListed(vec![worker()]));
        let id = worker().id;
        for is_repeated in [false, true] {
            let now = owner.node.now();
            let result = Err(WorkerError::Unreachable("no route".to_owned()));
            let outcome = PollOutcome { result, is_repeated };
            owner.take(Input::PollAnswered(id.clone(), now, outcome));
            let known = &owner.pool.workers()[&id];
            assert_eq!(known.unanswered_at.is_some(), is_repeated);
        }
    });
}

/// Processes the inputs of the owner up to the next page of stored jobs, and returns whether there is one.
async fn take_scan(owner: &mut Owner) -> bool {
    let wait = Duration::from_millis(500);
    while let Ok(Some(input)) = time::timeout(wait, owner.inputs.recv()).await {
        let is_page = matches!(input, Input::JobsScanned(..));
        owner.take(input);
        if is_page {
            return true;
        }
    }
    false
}

/// Guards against jobs that are found late: a read that had waited for takeovers of the same process was
/// followed by a pause of four times that wait, as after a read over a slow link.
#[test]
fn an_owner_whose_read_waited_for_other_reads_soon_reads_on() {
    paused_runtime().block_on(async {
        let (node, store) = broken_node::node();
        store.scan_time.store(20, Ordering::Relaxed);
        let mut owner = owner_in(Arc::clone(&node)).await;
        time::sleep(FIRST_SCAN).await;
        let others = node.bulk_reads.acquire(node.bulk_reads.capacity()).await;
        owner.scan(node.now());
        assert!(!take_scan(&mut owner).await, "the link has no room for it");
        time::sleep(Duration::from_millis(500)).await;
        drop(others);
        assert!(take_scan(&mut owner).await, "the read goes on once the others have ended");
        // With the wait, which took a second, the pause would be four seconds.
        owner.scan(node.now() + Millis(2000));
        assert!(take_scan(&mut owner).await, "the next read is not due");
    });
}

/// Guards against reads that fill a narrow link, one right after the other.
#[test]
fn an_owner_whose_read_took_long_pauses_for_longer() {
    paused_runtime().block_on(async {
        let (node, store) = broken_node::node();
        store.scan_time.store(300, Ordering::Relaxed);
        let mut owner = owner_in(Arc::clone(&node)).await;
        time::sleep(FIRST_SCAN).await;
        let begun = node.now();
        owner.scan(begun);
        assert!(take_scan(&mut owner).await);
        let ended = node.now();
        owner.scan(ended + Millis(600));
        assert!(!take_scan(&mut owner).await, "the link has no time for anything else");
        owner.scan(ended + Millis(4 * ended.since(begun).0));
        assert!(take_scan(&mut owner).await);
    });
}
