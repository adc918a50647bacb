//! Polls of a pool's workers within the budget of a narrow link.

use reachhead_jobs::{poll_pace::PollPacer, pool::Action, ports::HoldOrder};
use reachhead_types::{id::WorkerId, size::ByteRate};

use crate::fixture::{Fixture, info, worker};

/// Guards against polls that fill a narrow link, against workers that are never polled because others come
/// first, and against workers without an answer whose leases expire while their polls wait.
#[test]
fn polls_beyond_the_budget_wait_unless_they_are_urgent() {
    let names: Vec<String> = (0..20).map(|number| format!("w{number:02}")).collect();
    let mut fixture = Fixture::ready(names.iter().map(|name| info(name, 4)).collect());
    fixture.poll();
    for name in &names {
        fixture.report(&worker(name));
    }
    fixture.fail_poll(&worker("w19"));
    fixture.advance(200);
    let mut pacer = PollPacer::new(ByteRate(50_000), fixture.now);
    fixture.pool.set_poll_budget(pacer.budget(fixture.now));
    let polled = |actions: Vec<Action>| -> Vec<WorkerId> {
        polls(actions).into_iter().map(|(id, _)| id).collect()
    };
    let first = polled(fixture.poll());
    assert_eq!(
        first.len(),
        5,
        "four polls of 600 bytes, and the worker without an answer: {first:?}"
    );
    assert!(first.contains(&worker("w19")));
    fixture.advance(600);
    let second = polled(fixture.poll());
    assert_eq!(second.len(), 15, "all others are urgent by now: {second:?}");
    assert!(second.iter().all(|id| !first.contains(id)));
}

/// Returns the poll orders among these actions.
fn polls(actions: Vec<Action>) -> Vec<(WorkerId, HoldOrder)> {
    let poll = |action| match action {
        Action::Hold(target, order) => Some((target.id, order)),
        _ => None,
    };
    actions.into_iter().filter_map(poll).collect()
}

/// On a narrow link the reports of all workers together took longer than the 200 ms that a poll without
/// a wait may take. Each attempt sent them in vain, until the leases counted as expired.
#[test]
fn a_worker_that_leaves_polls_unanswered_gets_more_time() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    let mut waits = Vec::new();
    for _ in 0..4 {
        fixture.advance(1000);
        let orders = polls(fixture.poll());
        let [(_, order)] = orders.as_slice() else { panic!("one poll: {orders:?}") };
        waits.push(order.wait.0);
        fixture.fail_poll(&worker("w"));
    }
    assert_eq!(waits[0], 1000, "it has answered");
    assert_eq!(waits[1], 0, "the message may have been lost");
    assert!(
        waits[2..].iter().all(|wait| *wait > 0),
        "a poll that waits has a longer timeout: {waits:?}"
    );
}
