//! An owner whose dispatchers fail: each order still has one result, that of a worker.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use futures::future::join_all;
use reachhead_jobs::{
    clock::WorkerTime,
    ports::{Rejection, WorkerAgent, WorkerError},
};
use reachhead_ops::client::HttpClient;
use reachhead_types::size::Millis;
use tokio::time::{self, Instant};

use super::{
    OrderResult, PeerLink,
    fakes::{
        Delivery, FakeWorkers, Fixture, TOKEN, assign_to, hold_order, owner, start_order, target,
    },
    messages::Outcome,
};
use crate::{peer::PeerClient, tests::idle_node::serve};

const DONE: Result<WorkerTime, WorkerError> = Ok(WorkerTime(5));

/// Returns whether a start has an unknown outcome, so that the pool repeats the same run.
fn is_lost(result: &Result<WorkerTime, WorkerError>) -> bool {
    matches!(result, Err(WorkerError::Lost(_)))
}

/// Guards against orders or results that dispatch changes, and against calls by the owner itself while
/// its dispatchers work.
#[tokio::test(start_paused = true)]
async fn dispatcher_sends_orders_unchanged_and_owner_sends_none() {
    let fixture = Fixture::new(1, Some(Ok(())));
    let results = join_all((0..3).map(|worker| fixture.start(worker))).await;
    assert_eq!(results, vec![DONE; 3]);
    assert!(fixture.owner().hold(target(0), hold_order(Millis(100))).await.is_ok());
    assert_eq!((fixture.direct.count(), fixture.dispatched.count()), (0, 4));
    let calls = fixture.dispatched.calls.lock().unwrap();
    assert_eq!(calls[1], (target(1), Some(start_order(1))));
    let batches = fixture.link.batches.lock().unwrap();
    assert_eq!(batches[0].orders.len(), 3, "orders of a round share a batch");
    assert_eq!(batches[0].payloads.len(), 1, "a payload is sent once");
}

/// Guards against orders of a killed dispatcher that wait for their own time-outs one after the other.
#[tokio::test(start_paused = true)]
async fn orders_of_a_killed_dispatcher_are_sent_directly_at_once() {
    let fixture = Fixture::new(1, None);
    let begun = Instant::now();
    let polls = (0..6).map(|worker| fixture.owner().hold(target(worker), hold_order(Millis(5000))));
    let later = async {
        time::sleep(Duration::from_millis(60)).await;
        *fixture.link.orders.lock().unwrap() = Delivery::Refused;
        fixture.start(7).await
    };
    let (polls, start) = tokio::join!(join_all(polls), later);
    assert!(begun.elapsed() < Duration::from_millis(300), "{:?}", begun.elapsed());
    assert!(polls.iter().all(Result::is_ok), "{polls:?}");
    assert!(is_lost(&start), "{start:?}");
    assert_eq!(fixture.direct.count(), 6, "polls go directly");
    assert_eq!(fixture.served(), 8, "the other dispatcher serves all workers");
    assert!(fixture.owner().status().iter().all(|status| status.node.as_str() != "node-0"));
}

/// Guards against starts that are lost with a batch and never repeated, and against a repeated order that
/// differs.
#[tokio::test(start_paused = true)]
async fn starts_lost_with_their_batch_are_repeated_directly() {
    let fixture = Fixture::new(1, Some(Ok(())));
    *fixture.link.orders.lock().unwrap() = Delivery::Lost;
    let first = fixture.start(0).await;
    assert!(is_lost(&first), "{first:?}");
    assert_eq!(fixture.start(0).await, DONE);
    assert_eq!(fixture.dispatched.count(), 0);
    assert_eq!(*fixture.direct.calls.lock().unwrap(), [(target(0), Some(start_order(0)))]);
}

/// Guards against a wait for results that can't arrive, against a start that counts as not sent although
/// the dispatcher has sent it, and against results that count after their session has ended.
#[tokio::test(start_paused = true)]
async fn dispatcher_cut_off_from_the_owner_is_replaced_and_its_results_are_ignored() {
    let fixture = Fixture::new(1, Some(Ok(())));
    *fixture.link.orders.lock().unwrap() = Delivery::AnswerLost;
    *fixture.link.results.lock().unwrap() = Delivery::Lost;
    let begun = Instant::now();
    let start = fixture.start(0).await;
    assert!(is_lost(&start), "{start:?}");
    assert!(begun.elapsed() < Duration::from_millis(600), "{:?}", begun.elapsed());
    assert_eq!((fixture.direct.count(), fixture.dispatched.count()), (0, 1));
    let late = fixture.link.lost.lock().unwrap().remove(0);
    *fixture.link.orders.lock().unwrap() = Delivery::Works;
    *fixture.dispatched.answer.lock().unwrap() = None;
    assert_eq!(fixture.served(), 8);
    let mut next = Box::pin(fixture.start(0));
    assert!(time::timeout(Duration::from_millis(40), &mut next).await.is_err());
    fixture.owner().receive(late.session, late.results);
    let early = time::timeout(Duration::from_millis(40), &mut next).await;
    assert!(early.is_err(), "a result of an ended session was taken: {early:?}");
}

/// Guards against a poll that a dispatcher sends late, to the worker's next incarnation, and that the owner
/// does not expect since its own poll was answered.
#[tokio::test]
async fn poll_without_a_result_is_repeated_and_may_still_be_sent() {
    let fixture = Fixture::new(1, Some(Ok(())));
    let poll = || fixture.owner().poll(target(0), hold_order(Millis(0)));
    let outcome = poll().await;
    assert!(outcome.result.is_ok() && !outcome.is_repeated, "{outcome:?}");
    *fixture.dispatched.answer.lock().unwrap() = None;
    let dropped = async {
        time::sleep(Duration::from_millis(100)).await;
        let (session, id) = {
            let batches = fixture.link.batches.lock().unwrap();
            let batch = batches.last().unwrap();
            (batch.session, batch.orders[0].id)
        };
        fixture.owner().receive(session, vec![OrderResult(id, Outcome::Expired)]);
    };
    let (outcome, ()) = tokio::join!(poll(), dropped);
    assert!(outcome.result.is_ok() && !outcome.is_repeated, "not sent: {outcome:?}");
    let outcome = poll().await;
    assert!(outcome.result.is_ok() && outcome.is_repeated, "no result: {outcome:?}");
    assert_eq!(fixture.direct.count(), 2);
}

/// Guards against the exclusion of a dispatcher that works because one result of it was lost.
#[tokio::test(start_paused = true)]
async fn lost_result_costs_one_start_and_not_the_dispatcher() {
    let fixture = Fixture::new(1, Some(Ok(())));
    *fixture.dispatched.answer.lock().unwrap() = None;
    let answered = async {
        time::sleep(Duration::from_millis(200)).await;
        *fixture.dispatched.answer.lock().unwrap() = Some(Ok(()));
        fixture.start(1).await
    };
    let both = async { tokio::join!(fixture.start(0), answered) };
    let (lost, answered) = time::timeout(Duration::from_secs(2), both).await.unwrap();
    assert!(is_lost(&lost), "{lost:?}");
    assert_eq!(answered, DONE);
    assert_eq!((fixture.direct.count(), fixture.dispatched.count()), (0, 2));
    assert_eq!(fixture.served(), 8);
    assert!(fixture.owner().status().iter().any(|status| status.node.as_str() == "node-0"));
}

/// Guards against a dispatcher that makes the owner believe for long that its workers are unreachable.
#[tokio::test(start_paused = true)]
async fn dispatcher_cut_off_from_workers_is_excluded() {
    let unreachable = WorkerError::Unreachable("no route".to_owned());
    let fixture = Fixture::new(1, Some(Err(unreachable.clone())));
    let results = join_all((0..3).map(|worker| fixture.start(worker))).await;
    assert_eq!(
        results,
        vec![Err(unreachable); 3],
        "results of a dispatcher are returned as they are"
    );
    assert_eq!(fixture.start(3).await, DONE);
    assert_eq!((fixture.direct.count(), fixture.dispatched.count()), (1, 3));
}

/// Guards against a replaced owner that has its orders carried out by a dispatcher, or does not learn
/// that it was replaced.
#[tokio::test(start_paused = true)]
async fn workers_see_the_token_and_the_owner_sees_their_rejection() {
    let fenced = Err(WorkerError::Rejected(Rejection::Fenced));
    let fixture = Fixture::new(1, Some(fenced));
    let result = fixture.start(0).await;
    assert_eq!(result, Err(WorkerError::Rejected(Rejection::Fenced)));
    assert_eq!(fixture.dispatched.calls.lock().unwrap()[0].0.token, TOKEN);
    assert_eq!(fixture.direct.count(), 0);
}

/// Guards against an owner that excludes one dispatcher after the other because its own link is full, and sends
/// each of them the payloads again.
#[tokio::test(start_paused = true)]
async fn full_link_of_the_owner_excludes_no_dispatcher() {
    let fixture = Fixture::new(1, Some(Ok(())));
    fixture.link.filled.store(true, Ordering::Relaxed);
    *fixture.link.orders.lock().unwrap() = Delivery::AnswerLost;
    *fixture.link.results.lock().unwrap() = Delivery::Lost;
    let first = fixture.start(0).await;
    assert!(is_lost(&first), "{first:?}");
    *fixture.link.orders.lock().unwrap() = Delivery::Works;
    *fixture.link.results.lock().unwrap() = Delivery::Works;
    assert_eq!(fixture.start(0).await, DONE);
    assert_eq!((fixture.direct.count(), fixture.dispatched.count()), (0, 2));
    let batches = fixture.link.batches.lock().unwrap();
    assert_eq!(batches.iter().map(|batch| batch.payloads.len()).sum::<usize>(), 1);
}

/// Guards against an owner that depends on dispatchers when all of them are gone.
#[tokio::test(start_paused = true)]
async fn owner_without_dispatchers_sends_everything_itself() {
    let fixture = Fixture::new(2, Some(Ok(())));
    *fixture.link.orders.lock().unwrap() = Delivery::Refused;
    let results = join_all((0..8).map(|worker| fixture.start(worker))).await;
    assert!(results.iter().all(is_lost), "{results:?}");
    let repeated = join_all((0..8).map(|worker| fixture.start(worker))).await;
    assert_eq!(repeated, vec![DONE; 8]);
    assert_eq!(fixture.served(), 0);
    let batches = fixture.link.batches.lock().unwrap().len();
    assert_eq!(fixture.start(0).await, DONE);
    assert_eq!(fixture.direct.count(), 9);
    assert_eq!(fixture.link.batches.lock().unwrap().len(), batches, "excluded ones were tried");
}

/// Guards against orders that are lost with a process of an earlier release, which does not know the
/// message.
#[tokio::test]
async fn process_of_an_earlier_release_is_excluded() {
    let peer = serve(Some((Duration::from_millis(1), "unknown variant `dispatch`")));
    let link = PeerLink(PeerClient::new(Arc::new(HttpClient::new())));
    let direct = FakeWorkers::answering(Some(Ok(())));
    let owner = owner(Arc::clone(&direct), Arc::new(link));
    assign_to(&owner, &[peer]);
    let first = owner.start(target(0), start_order(0)).await;
    assert!(is_lost(&first), "{first:?}");
    assert_eq!(owner.start(target(0), start_order(0)).await, DONE);
    assert_eq!(direct.count(), 1);
    assign_to(&owner, &[peer]);
    assert!(owner.status().is_empty(), "{:?}", owner.status());
}
