//! Orders that a dispatcher must not send, or can't.

use std::time::Duration;

use reachhead_types::size::Millis;
use tokio::time;

use super::{
    DispatchBatch,
    fakes::{Fixture, OWNER, TOKEN, address, start_order, target},
    messages::{JobPayload, Order, OrderCall, OrderId, OrderResult, Outcome, SessionId},
};

/// Returns a batch with one order, which the owner sent at this time.
fn batch(id: u64, sent_at: Millis) -> DispatchBatch {
    let start = start_order(id as u32);
    let order = Order {
        id: OrderId(id),
        worker: target(0).id,
        address: target(0).address,
        call: OrderCall::start(&start),
    };
    DispatchBatch {
        pool: "a".parse().unwrap(),
        token: TOKEN,
        session: SessionId(1),
        reply_to: address(OWNER),
        sent_at,
        payloads: vec![JobPayload(start.task.job, start.payload)],
        orders: vec![order],
    }
}

/// Guards against a dispatcher that sends orders which its owner has long sent itself, after it was
/// suspended or its link was slow.
#[tokio::test(start_paused = true)]
async fn orders_that_arrive_late_are_dropped() {
    let fixture = Fixture::new(1, Some(Ok(())));
    let server = fixture.link.server.get().unwrap();
    assert!(server.handle(batch(0, Millis(10_000))).is_empty());
    let results = server.handle(batch(1, Millis(9000)));
    assert_eq!(results, [OrderResult(OrderId(1), Outcome::Expired)]);
    time::sleep(Duration::from_millis(30)).await;
    assert_eq!(fixture.dispatched.count(), 1);
}

/// Guards against tasks that are never started, or started by the owner, because a dispatcher has
/// dropped a payload that the owner counts as sent.
#[tokio::test(start_paused = true)]
async fn payload_that_a_dispatcher_does_not_have_is_sent_again() {
    let fixture = Fixture::new(1, Some(Ok(())));
    assert!(fixture.start(0).await.is_ok());
    fixture.link.server.get().unwrap().forget_payloads();
    assert!(fixture.start(1).await.is_ok());
    assert_eq!((fixture.direct.count(), fixture.dispatched.count()), (0, 2));
    let payloads: Vec<usize> =
        fixture.link.batches.lock().unwrap().iter().map(|batch| batch.payloads.len()).collect();
    assert_eq!(payloads, [1, 0, 1]);
}

/// Guards against a burst that fills a dispatcher's memory with orders which it can't send in time.
#[tokio::test(start_paused = true)]
async fn orders_beyond_the_limit_are_left_to_the_owner() {
    let fixture = Fixture::new(1, None);
    let server = fixture.link.server.get().unwrap();
    for id in 0..4000 {
        assert!(server.handle(batch(id, Millis(10_000))).is_empty());
    }
    let results = server.handle(batch(4000, Millis(10_000)));
    assert_eq!(results, [OrderResult(OrderId(4000), Outcome::Expired)]);
}

/// Guards against results that are lost because the owner could not be reached for a moment.
#[tokio::test(start_paused = true)]
async fn results_that_could_not_be_sent_come_with_the_next_answer() {
    let fixture = Fixture::new(1, Some(Ok(())));
    *fixture.link.results.lock().unwrap() = super::fakes::Delivery::Refused;
    let server = fixture.link.server.get().unwrap();
    server.handle(batch(0, Millis(10_000)));
    time::sleep(Duration::from_millis(40)).await;
    let results = server.handle(batch(1, Millis(10_000)));
    assert!(matches!(results[..], [OrderResult(OrderId(0), Outcome::Clock(_))]), "{results:?}");
}
