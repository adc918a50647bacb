//! Taking charge of a pool.

use reachhead_jobs::{model::Step, ports::RunEnd};
use reachhead_types::id::JobId;

use crate::desk::{Desk, info, left, step, task, worker};

#[test]
fn a_run_that_a_worker_reports_is_taken_over_and_not_started_again() {
    let mut desk = Desk::new(left(vec![(1, vec![step(1)])], vec![("w", None)]), vec![info("w", 4)]);
    desk.poll();
    desk.flush();
    desk.runs(&worker("w"), task(1, 0, 0), 3, 50);
    desk.report(&worker("w"));
    assert!(desk.starts().is_empty());
    desk.end(&worker("w"), task(1, 0, 0), 3, RunEnd::Done);
    desk.report(&worker("w"));
    desk.flush();
    assert!(!desk.pool.jobs().contains_key(&JobId(1)) || desk.pool.jobs()[&JobId(1)].recorded);
}

#[test]
fn an_inherited_task_waits_for_a_worker_that_may_run_it_until_the_predecessors_orders_are_over() {
    let found = left(vec![(1, vec![step(1)])], vec![("w", None), ("v", None)]);
    let mut desk = Desk::new(found, vec![info("w", 4), info("v", 4)]);
    desk.poll();
    desk.flush();
    desk.report(&worker("w"));
    for _ in 0..80 {
        assert!(desk.starts().is_empty(), "the silent worker may run it");
        desk.pass(100);
        desk.miss(&worker("v"));
        desk.report(&worker("w"));
    }
    desk.pass(1000);
    assert_eq!(desk.starts().len(), 1);
}

#[test]
fn a_job_that_is_newer_than_the_closing_of_a_silent_worker_does_not_wait_for_it() {
    let found =
        left(vec![(10, vec![step(1)]), (30, vec![step(1)])], vec![("w", None), ("v", Some(20))]);
    let mut desk = Desk::new(found, vec![info("w", 4)]);
    desk.poll();
    desk.flush();
    desk.report(&worker("w"));
    let starts = desk.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1.task.job, JobId(30));
}

#[test]
fn a_worker_that_is_silent_and_spent_leaves_the_roster() {
    let mut desk = Desk::ready(vec![info("w", 4), info("v", 4)]);
    desk.miss(&worker("v"));
    desk.pass(600);
    desk.miss(&worker("v"));
    desk.poll();
    let batch = desk.batch().unwrap();
    let closes = |batch: &reachhead_jobs::pool::Batch| {
        let write = batch.txn.writes.iter().find(|write| write.key.0.starts_with("roster/"));
        write.unwrap().value.clone().unwrap()
    };
    assert_eq!(closes(&batch)["workers"].as_array().unwrap().len(), 1, "nothing was granted there");
    desk.flush();
    desk.report(&worker("v"));
    desk.pass(50);
    desk.poll();
    assert!(desk.batch().is_some(), "it is entered again before anything is started there");
}

#[test]
fn runs_have_higher_numbers_than_those_of_a_predecessor() {
    let found = left(vec![(1, vec![step(1)])], vec![]);
    let mut desk = Desk::new(found, vec![info("w", 4)]);
    desk.poll();
    desk.flush();
    desk.report(&worker("w"));
    let first = desk.starts().remove(0).1.run;
    let mut next = Desk::new(left(vec![(1, vec![step(1)])], vec![]), vec![info("w", 4)]);
    next.pool = reachhead_jobs::pool::Pool::new(
        crate::desk::pool_name(),
        reachhead_types::size::FencingToken(9),
        1,
        crate::desk::tuning(),
        left(vec![(1, vec![step(1)])], vec![]),
        next.now,
        reachhead_types::size::Millis(next.now.0),
    );
    next.list();
    next.poll();
    next.flush();
    next.report(&worker("w"));
    assert!(next.starts().remove(0).1.run.0 > first.0 + 1000);
}

#[test]
fn an_older_run_of_a_task_that_already_has_a_newer_one_is_stopped() {
    let lasting = Step { long_running: true, ..step(1) };
    let found = left(vec![(1, vec![lasting])], vec![("w", None), ("v", None)]);
    let mut desk = Desk::new(found, vec![info("w", 4), info("v", 4)]);
    desk.poll();
    desk.flush();
    desk.runs(&worker("w"), task(1, 0, 0), 9, 100);
    desk.report(&worker("w"));
    desk.runs(&worker("v"), task(1, 0, 0), 4, 100);
    desk.report(&worker("v"));
    assert_eq!(desk.stops(), vec![(worker("v"), task(1, 0, 0))]);
}
