//! Workers whose capacity shrinks and grows while they run.

use reachhead_jobs::{
    model::Step,
    ports::{Rejection, RunEnd, WorkerError},
};

use crate::fixture::{Fixture, info, step, task, worker};

/// A worker of four cores with three in use that has shrunk to two.
fn shrunk() -> Fixture {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.begin(1, vec![step(3)]);
    fixture.infos = vec![info("w", 2)];
    fixture.list();
    fixture
}

#[test]
fn a_worker_whose_capacity_shrank_gets_nothing_beyond_it_until_it_has_grown_again() {
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

/// What is free was cut off at nothing, so one short task was stopped for a task that runs on where two had to be: the worker
/// had three cores in use of the two that were left of its four, and the task was started nowhere until others had ended.
#[test]
fn enough_is_stopped_for_a_task_that_runs_on_where_the_capacity_shrank() {
    let mut fixture = shrunk();
    fixture.submit(2, vec![Step { long_running: true, ..step(1) }]);
    assert_eq!(fixture.stops().len(), 2);
}

/// A worker that has shrunk turns away what does not fit before its entry says so. Each order that it turns away costs both sides a
/// call, and the same worker was asked again after 50 ms.
#[test]
fn a_worker_without_room_is_not_asked_again_before_something_has_changed_there() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.begin(1, vec![step(1)]);
    fixture.submit(2, vec![step(1)]);
    let mut asked = 0;
    for _ in 0..50 {
        fixture.pass(20);
        for (id, order) in fixture.starts() {
            asked += 1;
            let room = Err(WorkerError::Rejected(Rejection::Room));
            fixture.pool.started(&id, order.task, order.run, room, fixture.now);
        }
    }
    assert!(asked <= 2, "asked {asked} times in a second");
    fixture.end(&worker("w"), task(1, 0, 0), 1, RunEnd::Done);
    fixture.report(&worker("w"));
    fixture.pass(60);
    assert_eq!(fixture.starts().len(), 1, "there is room now");
}
