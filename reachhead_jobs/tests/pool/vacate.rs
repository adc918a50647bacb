//! Emptying workers for planned work.

use reachhead_jobs::{
    model::Step,
    pool::{Haste, Vacancy},
    ports::RunEnd,
};
use reachhead_types::id::WorkerId;

use crate::desk::{Desk, info, left, step, task, worker};

fn lasting(count: u32) -> Vec<Step> {
    vec![Step { long_running: true, may_miss: 1, spread: 1, ..step(count) }]
}

/// A pool in which each of three tasks that last works on a worker of its own.
fn at_work() -> (Desk, Vec<WorkerId>) {
    let mut desk = Desk::ready(vec![info("a", 2), info("b", 2), info("c", 2), info("d", 2)]);
    desk.submit(1, lasting(3));
    let mut used = Vec::new();
    for (id, order) in desk.starts() {
        desk.accept(&id, &order);
        desk.runs(&id, order.task, order.run.0, 100);
        desk.report(&id);
        used.push(id);
    }
    desk.pass(2000);
    (desk, used)
}

#[test]
fn one_task_of_a_step_is_taken_away_at_a_time() {
    let (mut desk, used) = at_work();
    assert_eq!(desk.pool.vacate(&used[0], Haste::Wait, desk.now), Vacancy::Protected);
    assert_eq!(desk.pool.vacate(&used[1], Haste::Wait, desk.now), Vacancy::Protected);
    let stops = desk.stops();
    assert_eq!(stops.len(), 1, "{stops:?}");
    assert_eq!(stops[0].0, used[0]);
}

#[test]
fn a_task_on_a_silent_worker_counts_as_away() {
    let (mut desk, used) = at_work();
    desk.miss(&used[1]);
    desk.pool.vacate(&used[0], Haste::Wait, desk.now);
    assert!(desk.stops().is_empty());
}

#[test]
fn a_new_owner_says_that_a_worker_is_empty_only_after_all_have_answered() {
    let found = left(vec![(1, lasting(1))], vec![("a", None), ("b", None)]);
    let mut desk = Desk::new(found, vec![info("a", 2), info("b", 2)]);
    desk.poll();
    desk.flush();
    assert_eq!(desk.pool.vacate(&worker("a"), Haste::Wait, desk.now), Vacancy::Protected);
    assert_eq!(desk.pool.vacate(&worker("unknown"), Haste::Wait, desk.now), Vacancy::Protected);
}

#[test]
fn a_new_owner_takes_nothing_away_while_its_predecessors_stops_may_be_under_way() {
    let found = left(vec![(1, lasting(2))], vec![("a", None), ("b", None)]);
    let mut desk = Desk::new(found, vec![info("a", 2), info("b", 2), info("c", 2)]);
    desk.poll();
    desk.flush();
    for (name, index) in [("a", 0), ("b", 1)] {
        desk.runs(&worker(name), task(1, 0, index), 1, 100);
        desk.report(&worker(name));
    }
    desk.report(&worker("c"));
    desk.poll();
    desk.pool.vacate(&worker("a"), Haste::Wait, desk.now);
    assert!(desk.stops().is_empty(), "the other task may be stopping by the predecessor's order");
    desk.pass(1000);
    desk.pool.vacate(&worker("a"), Haste::Wait, desk.now);
    assert!(desk.stops().is_empty(), "the other was last heard of before the stops were over");
    desk.report(&worker("b"));
    desk.pool.vacate(&worker("a"), Haste::Wait, desk.now);
    assert_eq!(desk.stops().len(), 1);
}

#[test]
fn a_task_stays_where_it_is_while_it_could_go_nowhere_else() {
    let mut desk = Desk::ready(vec![info("a", 2), info("b", 2)]);
    desk.submit(1, lasting(2));
    for (id, order) in desk.starts() {
        desk.accept(&id, &order);
        desk.runs(&id, order.task, order.run.0, 100);
        desk.report(&id);
    }
    desk.pass(2000);
    assert_eq!(desk.pool.vacate(&worker("a"), Haste::Wait, desk.now), Vacancy::Protected);
    assert!(desk.stops().is_empty());
    assert_eq!(desk.pool.load(desk.now).extra, 1, "one more host is asked for");
}

#[test]
fn a_pool_is_not_emptied_of_all_its_workers_at_once() {
    let mut desk = Desk::ready(vec![info("a", 4), info("b", 4), info("c", 4)]);
    desk.submit(1, vec![Step { long_running: true, may_miss: 1, ..step(2) }]);
    for (id, order) in desk.starts() {
        desk.accept(&id, &order);
        desk.runs(&id, order.task, order.run.0, 100);
        desk.report(&id);
    }
    desk.pass(2000);
    for name in ["a", "b", "c"] {
        desk.pool.vacate(&worker(name), Haste::Wait, desk.now);
    }
    assert_eq!(desk.pool.load(desk.now).extra, 1);
    let (id, task) = desk.stops().remove(0);
    desk.end(&id, task, 1, RunEnd::Stopped);
    desk.report(&id);
    assert_eq!(desk.starts().len(), 1, "the task that had to leave finds a place");
}

#[test]
fn a_worker_that_is_to_be_emptied_gets_nothing_when_it_is_listed_later() {
    let mut desk = Desk::ready(vec![info("a", 2)]);
    desk.poll();
    desk.pass(1000);
    desk.poll();
    assert_eq!(desk.pool.vacate(&worker("b"), Haste::Wait, desk.now), Vacancy::Unknown);
    desk.infos = vec![info("b", 8)];
    desk.list();
    desk.poll();
    desk.flush();
    desk.report(&worker("b"));
    desk.submit(1, vec![step(1)]);
    assert!(desk.starts().is_empty());
}

#[test]
fn a_worker_that_is_being_emptied_gets_nothing_new() {
    let mut desk = Desk::ready(vec![info("a", 2)]);
    desk.poll();
    desk.pass(1000);
    desk.poll();
    assert_eq!(desk.pool.vacate(&worker("a"), Haste::Wait, desk.now), Vacancy::Empty);
    desk.submit(1, vec![step(1)]);
    assert!(desk.starts().is_empty());
    desk.pass(3000);
    desk.report(&worker("a"));
    assert_eq!(desk.starts().len(), 1, "nobody asks for it any more");
}

#[test]
fn a_worker_whose_ends_are_not_recorded_is_not_empty() {
    let mut desk = Desk::ready(vec![info("a", 4), info("b", 4)]);
    desk.submit(1, vec![step(2)]);
    let (id, order) = desk.starts().remove(0);
    desk.accept(&id, &order);
    desk.pass(1000);
    desk.poll();
    desk.runs(&id, reachhead_jobs::task::TaskId { index: 1, ..order.task }, 1, 50);
    desk.end(&id, order.task, 1, RunEnd::Done);
    desk.end(&id, reachhead_jobs::task::TaskId { index: 1, ..order.task }, 1, RunEnd::Stopped);
    desk.report(&id);
    assert_eq!(
        desk.pool.vacate(&id, Haste::Wait, desk.now),
        Vacancy::Protected,
        "only the worker knows the end"
    );
    desk.flush();
    assert_eq!(desk.pool.vacate(&id, Haste::Wait, desk.now), Vacancy::Empty);
}

#[test]
fn short_tasks_are_stopped_in_haste_and_the_worker_is_empty_once_their_ends_are_recorded() {
    let mut desk = Desk::ready(vec![info("a", 4)]);
    desk.begin(1, vec![step(2)]);
    let id = worker("a");
    desk.pass(1000);
    desk.poll();
    assert_eq!(desk.pool.vacate(&id, Haste::Wait, desk.now), Vacancy::Short);
    assert!(desk.stops().is_empty());
    assert_eq!(desk.pool.vacate(&id, Haste::Stop, desk.now), Vacancy::Short);
    assert_eq!(desk.stops().len(), 2);
    // One ends as done before the order arrives.
    desk.end(&id, task(1, 0, 0), 1, RunEnd::Done);
    desk.end(&id, task(1, 0, 1), 1, RunEnd::Stopped);
    desk.report(&id);
    assert_eq!(desk.pool.vacate(&id, Haste::Stop, desk.now), Vacancy::Protected);
    desk.flush();
    assert_eq!(desk.pool.vacate(&id, Haste::Stop, desk.now), Vacancy::Empty);
}

#[test]
fn a_report_that_comes_after_its_worker_is_over_still_tells_what_ended() {
    let mut desk = Desk::ready(vec![info("a", 4), info("b", 4)]);
    desk.submit(1, vec![step(1)]);
    let (id, order) = desk.starts().remove(0);
    desk.accept(&id, &order);
    desk.end(&id, order.task, 1, RunEnd::Done);
    // The worker told the end in an answer that is still under way.
    desk.pool.worker_over(&id, "its host was taken");
    desk.report(&id);
    assert!(desk.starts().is_empty(), "the task is done");
    desk.flush();
    desk.poll();
    assert!(desk.pool.jobs().is_empty());
}

#[test]
fn a_worker_that_has_answered_a_new_owner_with_nothing_is_empty_before_all_have_answered() {
    let found = left(vec![(1, lasting(1))], vec![("a", None), ("b", None), ("c", None)]);
    let mut desk = Desk::new(found, vec![info("a", 2), info("b", 2), info("c", 2)]);
    desk.poll();
    desk.flush();
    desk.runs(&worker("b"), task(1, 0, 0), 1, 100);
    desk.report(&worker("a"));
    desk.report(&worker("b"));
    assert_eq!(desk.pool.vacate(&worker("a"), Haste::Wait, desk.now), Vacancy::Empty);
    assert_eq!(desk.pool.vacate(&worker("b"), Haste::Wait, desk.now), Vacancy::Protected);
    assert_eq!(desk.pool.vacate(&worker("c"), Haste::Wait, desk.now), Vacancy::Protected);
}
