//! Polls of a pool's workers within the budget of a narrow link.

use reachhead_jobs::{
    poll_pace::PollPacer,
    pool::Action,
    ports::{HoldOrder, RunEnd},
};
use reachhead_types::{id::WorkerId, size::ByteRate};

use crate::fixture::{Fixture, info, step, task, worker};

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

/// While the store recorded nothing, each worker listed all its ends again every 150 ms. On a narrow link
/// these reports left nothing to the transactions, so nothing was recorded.
#[test]
fn reports_that_list_unrecorded_ends_again_are_paced_by_their_size() {
    let mut fixture = Fixture::ready(vec![info("v", 20), info("w", 20)]);
    fixture.submit_and_start(1, vec![step(40)]);
    for name in ["v", "w"] {
        let running = fixture.running[&worker(name)].clone();
        assert_eq!(running.len(), 20);
        for entry in running {
            fixture.end(&worker(name), entry.task, entry.run.0, RunEnd::Done);
        }
        fixture.report(&worker(name));
    }
    let mut pacer = PollPacer::new(ByteRate(10_000), fixture.now);
    let mut times = Vec::new();
    for _ in 0..80 {
        fixture.advance(50);
        fixture.pool.set_poll_budget(pacer.budget(fixture.now));
        for (name, _) in polls(fixture.poll()) {
            fixture.report(&name);
            times.push(fixture.now);
        }
        pacer.record(fixture.pool.poll_budget());
    }
    // 16,000 bytes in four seconds, and 1,800 a report; none waits for more than 2,150 ms.
    assert!((4..=10).contains(&times.len()), "{} reports", times.len());
}

/// A worker's lease must not expire because its report is large.
#[test]
fn a_large_report_is_requested_in_time_for_the_workers_lease() {
    let mut fixture = Fixture::ready(vec![info("w", 20)]);
    fixture.submit_and_start(1, vec![step(20)]);
    for index in 0..19 {
        fixture.end(&worker("w"), task(1, 0, index), 1, RunEnd::Done);
    }
    fixture.poll();
    fixture.advance(2100);
    fixture.report(&worker("w"));
    let mut pacer = PollPacer::new(ByteRate(1), fixture.now);
    let mut waited = 0;
    loop {
        fixture.advance(50);
        waited += 50;
        let mut budget = pacer.budget(fixture.now);
        budget.take(1);
        fixture.pool.set_poll_budget(budget);
        if !polls(fixture.poll()).is_empty() {
            break;
        }
        assert!(
            waited < 2000,
            "the lease was given 2,100 ms before the report and lasts for 4,000"
        );
    }
    assert!((700..=850).contains(&waited), "{waited} ms");
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

/// Guards against runs that lapse right after a change of the owner, since the first polls of all workers
/// use the budget up and their renewals wait.
#[test]
fn the_first_renewal_of_a_worker_does_not_wait_for_the_budget() {
    let mut fixture = Fixture::recovering(vec![("w", None)], vec![info("w", 4)]);
    assert_eq!(polls(fixture.poll()).len(), 1);
    fixture.set_running(&worker("w"), task(1, 0, 0), 3, 50);
    fixture.report(&worker("w"));
    let mut budget = PollPacer::new(ByteRate(1), fixture.now).budget(fixture.now);
    budget.take(1);
    fixture.pool.set_poll_budget(budget);
    let renewed = polls(fixture.poll());
    assert!(renewed.first().is_some_and(|(_, order)| order.deadline.is_some()), "{renewed:?}");
    fixture.report(&worker("w"));
    fixture.advance(100);
    fixture.pool.set_poll_budget(budget);
    assert_eq!(polls(fixture.poll()), [], "later ones do");
}
