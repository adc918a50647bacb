//! Tests of workers whose capacity shrinks and grows at runtime.

use reachhead_jobs::{
    model::Step,
    ports::{Rejection, RunEnd, WorkerError},
};

use crate::fixture::{Fixture, info, step, task, worker};

/// Returns a pool with a worker of four cores, three of them in use, that has shrunk to two.
fn shrunk() -> Fixture {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit_and_start(1, vec![step(3)]);
    fixture.infos = vec![info("w", 2)];
    fixture.list();
    fixture
}

#[test]
fn a_shrunk_worker_gets_no_tasks_beyond_its_capacity_until_it_grows() {
    let mut fixture = shrunk();
    fixture.submit(2, vec![step(4)]);
    assert!(fixture.starts().is_empty(), "three cores of two are in use");
    fixture.end(&worker("w"), task(1, 0, 0), 1, RunEnd::Done);
    fixture.report(&worker("w"));
    assert!(fixture.starts().is_empty(), "both cores are in use");
    fixture.end(&worker("w"), task(1, 0, 1), 1, RunEnd::Done);
    fixture.report(&worker("w"));
    assert_eq!(fixture.starts().len(), 1);
    fixture.infos = vec![info("w", 4)];
    fixture.list();
    assert_eq!(fixture.starts().len(), 2);
}

/// The free capacity was clamped at zero, so one short task was stopped for a long-running task
/// where two had to be: three cores were in use of the two that were left of the worker's four, and
/// the task was not started until others had ended.
#[test]
fn enough_tasks_are_evicted_for_a_long_running_task_on_a_shrunk_worker() {
    let mut fixture = shrunk();
    fixture.submit(2, vec![Step { long_running: true, ..step(1) }]);
    assert_eq!(fixture.stops().len(), 2);
}

/// A shrunk worker rejects what does not fit before its registration shows the new capacity. Each
/// rejected order costs both sides a call, and the same worker was tried again after 50 ms.
#[test]
fn a_full_worker_gets_no_further_orders_until_its_state_changes() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit_and_start(1, vec![step(1)]);
    fixture.submit(2, vec![step(1)]);
    let mut orders = 0;
    for _ in 0..50 {
        fixture.advance(20);
        for (id, order) in fixture.starts() {
            orders += 1;
            let full = Err(WorkerError::Rejected(Rejection::Room));
            fixture.pool.started(&id, order.task, order.run, full, fixture.now);
        }
    }
    assert!(orders <= 2, "got {orders} orders in a second");
    fixture.end(&worker("w"), task(1, 0, 0), 1, RunEnd::Done);
    fixture.report(&worker("w"));
    fixture.advance(60);
    assert_eq!(fixture.starts().len(), 1, "there is free capacity now");
}
