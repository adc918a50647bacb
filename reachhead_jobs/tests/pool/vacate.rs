//! Emptying workers for planned work.

use reachhead_jobs::{
    model::Step,
    pool::{DeathEvidence, DrainMode, DrainProgress},
    ports::RunEnd,
};
use reachhead_types::id::WorkerId;

use crate::fixture::{Fixture, info, left, step, task, worker};

fn lasting(count: u32) -> Vec<Step> {
    vec![Step { long_running: true, max_unavailable: 1, spread: 1, ..step(count) }]
}

/// A pool in which each of three tasks that last works on a worker of its own.
fn at_work() -> (Fixture, Vec<WorkerId>) {
    let mut fixture = Fixture::ready(vec![info("a", 2), info("b", 2), info("c", 2), info("d", 2)]);
    fixture.submit(1, lasting(3));
    let mut used = Vec::new();
    for (id, order) in fixture.starts() {
        fixture.accept(&id, &order);
        fixture.runs(&id, order.task, order.run.0, 100);
        fixture.report(&id);
        used.push(id);
    }
    fixture.pass(2000);
    (fixture, used)
}

#[test]
fn one_task_of_a_step_is_taken_away_at_a_time() {
    let (mut fixture, used) = at_work();
    assert_eq!(
        fixture.pool.drain_worker(&used[0], DrainMode::Graceful, fixture.now),
        DrainProgress::Protected
    );
    assert_eq!(
        fixture.pool.drain_worker(&used[1], DrainMode::Graceful, fixture.now),
        DrainProgress::Protected
    );
    let stops = fixture.stops();
    assert_eq!(stops.len(), 1, "{stops:?}");
    assert_eq!(stops[0].0, used[0]);
}

#[test]
fn a_task_on_a_silent_worker_counts_as_away() {
    let (mut fixture, used) = at_work();
    fixture.miss(&used[1]);
    fixture.pool.drain_worker(&used[0], DrainMode::Graceful, fixture.now);
    assert!(fixture.stops().is_empty());
}

#[test]
fn a_new_owner_says_that_a_worker_is_empty_only_after_all_have_answered() {
    let found = left(vec![(1, lasting(1))], vec![("a", None), ("b", None)]);
    let mut fixture = Fixture::new(found, vec![info("a", 2), info("b", 2)]);
    fixture.poll();
    fixture.flush();
    assert_eq!(
        fixture.pool.drain_worker(&worker("a"), DrainMode::Graceful, fixture.now),
        DrainProgress::Protected
    );
    assert_eq!(
        fixture.pool.drain_worker(&worker("unknown"), DrainMode::Graceful, fixture.now),
        DrainProgress::Protected
    );
}

#[test]
fn a_new_owner_takes_nothing_away_while_its_predecessors_stops_may_be_under_way() {
    let found = left(vec![(1, lasting(2))], vec![("a", None), ("b", None)]);
    let mut fixture = Fixture::new(found, vec![info("a", 2), info("b", 2), info("c", 2)]);
    fixture.poll();
    fixture.flush();
    for (name, index) in [("a", 0), ("b", 1)] {
        fixture.runs(&worker(name), task(1, 0, index), 1, 100);
        fixture.report(&worker(name));
    }
    fixture.report(&worker("c"));
    fixture.poll();
    fixture.pool.drain_worker(&worker("a"), DrainMode::Graceful, fixture.now);
    assert!(
        fixture.stops().is_empty(),
        "the other task may be stopping by the predecessor's order"
    );
    fixture.pass(1000);
    fixture.pool.drain_worker(&worker("a"), DrainMode::Graceful, fixture.now);
    assert!(fixture.stops().is_empty(), "the other was last heard of before the stops were over");
    fixture.report(&worker("b"));
    fixture.pool.drain_worker(&worker("a"), DrainMode::Graceful, fixture.now);
    assert_eq!(fixture.stops().len(), 1);
}

#[test]
fn a_task_stays_where_it_is_while_it_could_go_nowhere_else() {
    let mut fixture = Fixture::ready(vec![info("a", 2), info("b", 2)]);
    fixture.submit(1, lasting(2));
    for (id, order) in fixture.starts() {
        fixture.accept(&id, &order);
        fixture.runs(&id, order.task, order.run.0, 100);
        fixture.report(&id);
    }
    fixture.pass(2000);
    assert_eq!(
        fixture.pool.drain_worker(&worker("a"), DrainMode::Graceful, fixture.now),
        DrainProgress::Protected
    );
    assert!(fixture.stops().is_empty());
    assert_eq!(fixture.pool.load(fixture.now).extra, 1, "one more host is asked for");
}

#[test]
fn a_pool_is_not_emptied_of_all_its_workers_at_once() {
    let mut fixture = Fixture::ready(vec![info("a", 4), info("b", 4), info("c", 4)]);
    fixture.submit(1, vec![Step { long_running: true, max_unavailable: 1, ..step(2) }]);
    for (id, order) in fixture.starts() {
        fixture.accept(&id, &order);
        fixture.runs(&id, order.task, order.run.0, 100);
        fixture.report(&id);
    }
    fixture.pass(2000);
    for name in ["a", "b", "c"] {
        fixture.pool.drain_worker(&worker(name), DrainMode::Graceful, fixture.now);
    }
    assert_eq!(fixture.pool.load(fixture.now).extra, 1);
    let (id, task) = fixture.stops().remove(0);
    fixture.end(&id, task, 1, RunEnd::Stopped);
    fixture.report(&id);
    assert_eq!(fixture.starts().len(), 1, "the task that had to leave finds a place");
}

#[test]
fn a_worker_that_is_to_be_emptied_gets_nothing_when_it_is_listed_later() {
    let mut fixture = Fixture::ready(vec![info("a", 2)]);
    fixture.poll();
    fixture.pass(1000);
    fixture.poll();
    assert_eq!(
        fixture.pool.drain_worker(&worker("b"), DrainMode::Graceful, fixture.now),
        DrainProgress::Unknown
    );
    fixture.infos = vec![info("b", 8)];
    fixture.list();
    fixture.poll();
    fixture.flush();
    fixture.report(&worker("b"));
    fixture.submit(1, vec![step(1)]);
    assert!(fixture.starts().is_empty());
}

#[test]
fn a_worker_that_is_being_emptied_gets_nothing_new() {
    let mut fixture = Fixture::ready(vec![info("a", 2)]);
    fixture.poll();
    fixture.pass(1000);
    fixture.poll();
    assert_eq!(
        fixture.pool.drain_worker(&worker("a"), DrainMode::Graceful, fixture.now),
        DrainProgress::Empty
    );
    fixture.submit(1, vec![step(1)]);
    assert!(fixture.starts().is_empty());
    fixture.pass(3000);
    fixture.report(&worker("a"));
    assert_eq!(fixture.starts().len(), 1, "nobody asks for it any more");
}

#[test]
fn a_worker_whose_ends_are_not_recorded_is_not_empty() {
    let mut fixture = Fixture::ready(vec![info("a", 4), info("b", 4)]);
    fixture.submit(1, vec![step(2)]);
    let (id, order) = fixture.starts().remove(0);
    fixture.accept(&id, &order);
    fixture.pass(1000);
    fixture.poll();
    fixture.runs(&id, reachhead_jobs::task::TaskId { index: 1, ..order.task }, 1, 50);
    fixture.end(&id, order.task, 1, RunEnd::Done);
    fixture.end(&id, reachhead_jobs::task::TaskId { index: 1, ..order.task }, 1, RunEnd::Stopped);
    fixture.report(&id);
    assert_eq!(
        fixture.pool.drain_worker(&id, DrainMode::Graceful, fixture.now),
        DrainProgress::Protected,
        "only the worker knows the end"
    );
    fixture.flush();
    assert_eq!(
        fixture.pool.drain_worker(&id, DrainMode::Graceful, fixture.now),
        DrainProgress::Empty
    );
}

#[test]
fn short_tasks_are_stopped_when_the_drain_is_forced_and_the_worker_is_empty_once_their_ends_are_recorded()
 {
    let mut fixture = Fixture::ready(vec![info("a", 4)]);
    fixture.begin(1, vec![step(2)]);
    let id = worker("a");
    fixture.pass(1000);
    fixture.poll();
    assert_eq!(
        fixture.pool.drain_worker(&id, DrainMode::Graceful, fixture.now),
        DrainProgress::Short
    );
    assert!(fixture.stops().is_empty());
    assert_eq!(
        fixture.pool.drain_worker(&id, DrainMode::Forced, fixture.now),
        DrainProgress::Short
    );
    assert_eq!(fixture.stops().len(), 2);
    // One ends as done before the order arrives.
    fixture.end(&id, task(1, 0, 0), 1, RunEnd::Done);
    fixture.end(&id, task(1, 0, 1), 1, RunEnd::Stopped);
    fixture.report(&id);
    assert_eq!(
        fixture.pool.drain_worker(&id, DrainMode::Forced, fixture.now),
        DrainProgress::Protected
    );
    fixture.flush();
    assert_eq!(
        fixture.pool.drain_worker(&id, DrainMode::Forced, fixture.now),
        DrainProgress::Empty
    );
}

#[test]
fn a_report_that_comes_after_its_worker_is_over_still_tells_what_ended() {
    let mut fixture = Fixture::ready(vec![info("a", 4), info("b", 4)]);
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    fixture.accept(&id, &order);
    fixture.end(&id, order.task, 1, RunEnd::Done);
    // The worker told the end in an answer that is still under way.
    fixture.pool.worker_died(&id, DeathEvidence::Unhosted, fixture.now);
    fixture.report(&id);
    assert!(fixture.starts().is_empty(), "the task is done");
    fixture.flush();
    fixture.poll();
    assert!(fixture.pool.jobs().is_empty());
}

#[test]
fn a_worker_that_has_answered_a_new_owner_with_nothing_is_empty_before_all_have_answered() {
    let found = left(vec![(1, lasting(1))], vec![("a", None), ("b", None), ("c", None)]);
    let mut fixture = Fixture::new(found, vec![info("a", 2), info("b", 2), info("c", 2)]);
    fixture.poll();
    fixture.flush();
    fixture.runs(&worker("b"), task(1, 0, 0), 1, 100);
    fixture.report(&worker("a"));
    fixture.report(&worker("b"));
    assert_eq!(
        fixture.pool.drain_worker(&worker("a"), DrainMode::Graceful, fixture.now),
        DrainProgress::Empty
    );
    assert_eq!(
        fixture.pool.drain_worker(&worker("b"), DrainMode::Graceful, fixture.now),
        DrainProgress::Protected
    );
    assert_eq!(
        fixture.pool.drain_worker(&worker("c"), DrainMode::Graceful, fixture.now),
        DrainProgress::Protected
    );
}
