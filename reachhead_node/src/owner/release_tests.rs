//! An owner that is asked to give its pool back renews leases until it writes the release, and orders
//! nothing after that.

use std::sync::{Arc, atomic::Ordering};

use reachhead_types::id::JobId;
use tokio::time::Instant;

use super::*;
use crate::{
    owner::{
        CancelReply, Input,
        tests::{self, owner_in},
    },
    tests::{
        paused_runtime,
        recorded_node::{self, Call, Platform},
    },
};

/// Time in which an owner has its workers in the roster and polls them.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Longest time between two polls of a worker, which waits 100 ms, on a busy machine.
const MAX_POLL_AGE: Duration = Duration::from_millis(400);

/// What an owner did that was asked to give its pool back.
struct Released {
    platform: Arc<Platform>,
    asked_at: Instant,
    ended_at: Instant,
}

impl Released {
    fn times(&self, wanted: Call) -> Vec<Instant> {
        let calls = self.platform.calls().into_iter();
        let matching = calls.filter(|(call, at)| *call == wanted && *at >= self.asked_at);
        matching.map(|(_, at)| at).collect()
    }
}

/// Runs an owner, and asks it for its pool after `prepare`. A job that needs no more than its worker has
/// arrives with the request.
async fn release(prepare: impl FnOnce(&Platform)) -> Released {
    let (node, platform) = recorded_node::node(&"a".parse().unwrap());
    let now = node.now();
    node.view().config_current_at = now;
    let owner = owner_in(node).await;
    let handle = owner.handle.clone();
    let running = tokio::spawn(owner.run());
    handle.send(Input::Submit(vec![tests::job(1)]));
    time::sleep(SETTLE_TIME).await;
    let has_started = platform.calls().iter().any(|(call, _)| *call == Call::Start);
    assert!(has_started, "the owner starts what fits");
    prepare(&platform);
    // The worker that joins makes a record necessary.
    handle.send(Input::WorkersListed(vec![tests::worker(), tests::worker_named("v")]));
    time::sleep(SETTLE_TIME).await;
    let asked_at = Instant::now();
    let (request, receiver) = ReleaseRequest::new(now);
    handle.send(Input::Release(request));
    handle.send(Input::Submit(vec![tests::job(2)]));
    time::timeout(Duration::from_secs(5), receiver).await.unwrap().unwrap();
    let ended_at = Instant::now();
    running.await.unwrap();
    // Orders that were decided on are under way by now.
    time::sleep(SETTLE_TIME).await;
    Released { platform, asked_at, ended_at }
}

/// Guards against leases that nobody renews while the last records wait for a slow store: they were as
/// much older when the successor called.
#[test]
fn an_owner_renews_leases_until_it_writes_the_release() {
    paused_runtime().block_on(async {
        let released = release(|platform| platform.holds_records.store(true, Ordering::Relaxed));
        let released = released.await;
        let written = released.times(Call::Lease)[0];
        let renewed = released.times(Call::Renewal).into_iter().filter(|at| *at < written).max();
        let age = written - renewed.unwrap_or(released.asked_at);
        assert!(age <= MAX_POLL_AGE, "the last renewal is {age:?} older than the release");
        assert_eq!(released.times(Call::Start), [], "a start would delay the release");
    });
}

/// Guards against renewals that a successor does not count with: it assumes that no lease is given after the
/// release, which may be stored although its answer is lost.
#[test]
fn an_owner_orders_nothing_after_it_has_written_the_release() {
    paused_runtime().block_on(async {
        let released = release(|platform| platform.holds_leases.store(true, Ordering::Relaxed));
        let released = released.await;
        let written = released.times(Call::Lease)[0];
        assert!(
            released.ended_at - written >= Duration::from_millis(500),
            "it waits for an answer"
        );
        for call in [Call::Renewal, Call::Poll, Call::Start] {
            let late = released.times(call).into_iter().filter(|at| *at > written).count();
            assert_eq!(late, 0, "{call:?} after the release");
        }
    });
}

/// Guards against a release that waits for its timeout although everything is stored.
#[test]
fn an_owner_without_open_records_releases_its_pool_at_once() {
    paused_runtime().block_on(async {
        let released = release(|_| ()).await;
        let time = released.ended_at - released.asked_at;
        assert!(time < Duration::from_millis(500), "the release took {time:?}");
    });
}

/// Guards against a run that goes on after its job was cancelled: the owner that gave the pool back
/// answered the caller and ordered no stop, and its successor renews the run until it has read all jobs.
#[test]
fn an_owner_stops_what_is_cancelled_before_it_writes_the_release() {
    paused_runtime().block_on(async {
        let (node, platform) = recorded_node::node(&"a".parse().unwrap());
        let now = node.now();
        node.view().config_current_at = now;
        let owner = owner_in(node).await;
        let handle = owner.handle.clone();
        let running = tokio::spawn(owner.run());
        handle.send(Input::Submit(vec![tests::job(1)]));
        time::sleep(SETTLE_TIME).await;
        let (reply, cancelled) = oneshot::channel();
        handle.send(Input::Cancel(JobId(1), None, reply));
        let (request, receiver) = ReleaseRequest::new(now);
        handle.send(Input::Release(request));
        let answer = time::timeout(Duration::from_secs(5), cancelled).await.unwrap().unwrap();
        assert!(matches!(answer, CancelReply::Ended), "the cancellation is acknowledged");
        receiver.await.unwrap();
        running.await.unwrap();
        time::sleep(SETTLE_TIME).await;
        let calls: Vec<Call> = platform.calls().into_iter().map(|(call, _)| call).collect();
        assert!(calls.contains(&Call::Stop), "{calls:?}");
    });
}
