//! Taking charge of a pool.

use std::collections::BTreeMap;

use reachhead_jobs::{
    lives::{self, Deserted},
    model::Step,
    ports::{Machine, MachineState, RunEnd},
};
use reachhead_types::{
    id::JobId,
    size::{Millis, Revision},
};

use crate::desk::{Desk, info, left, pool_name, step, task, worker};

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

#[test]
fn a_job_that_is_told_of_late_and_was_over_before_this_owner_came_does_not_run_again() {
    // The owner's token is 7: whatever was stored before that and is still open was read by it.
    let mut desk = Desk::ready(vec![info("a", 4)]);
    let early = crate::desk::record(vec![step(1)], desk.now.0);
    desk.pool.submit(JobId(3), &early, Revision(6), desk.now, Millis(desk.now.0));
    assert!(desk.starts().is_empty(), "its row was gone when the rows were read");
    desk.pool.submit(JobId(4), &early, Revision(8), desk.now, Millis(desk.now.0));
    assert_eq!(desk.starts().len(), 1);
}

#[test]
fn an_end_of_a_job_that_is_not_known_yet_counts_once_the_job_is() {
    let mut desk = Desk::ready(vec![info("a", 4)]);
    let id = worker("a");
    // A predecessor that had lost its lease started the task before the worker saw the new token.
    desk.end(&id, task(9, 0, 0), 1, RunEnd::Done);
    desk.report(&id);
    desk.flush();
    assert_eq!(desk.pool.workers()[&id].seen, 0, "the job may be told of yet");
    desk.pass(1000);
    desk.submit(9, vec![step(1)]);
    assert!(desk.starts().is_empty(), "its task is done");
    desk.flush();
    desk.poll();
    assert_eq!(desk.pool.workers()[&id].seen, 1);
    assert!(desk.pool.jobs().is_empty());
}

#[test]
fn an_end_of_a_job_that_nobody_tells_of_is_forgotten_after_a_while() {
    let mut desk = Desk::ready(vec![info("a", 4)]);
    let id = worker("a");
    desk.end(&id, task(9, 0, 0), 1, RunEnd::Done);
    desk.report(&id);
    for _ in 0..7 {
        desk.pass(1000);
        desk.report(&id);
        desk.poll();
    }
    assert_eq!(desk.pool.workers()[&id].seen, 1);
}

/// Hosts moved and all processes lost power before the roster said so: the successor asks workers that are gone.
#[test]
fn a_worker_that_nobody_answers_for_holds_the_pool_up_only_until_the_platform_lacks_it() {
    let found = left(vec![(1, vec![step(1)])], vec![("w", None), ("v", None)]);
    let mut desk = Desk::new(found, vec![info("w", 4)]);
    desk.poll();
    desk.flush();
    desk.report(&worker("w"));
    desk.miss(&worker("v"));
    assert!(desk.pool.load(desk.now).deserted.is_empty(), "silence alone proves nothing");
    desk.desert(&worker("v"));
    assert!(desk.starts().is_empty(), "it may run there until the platform says otherwise");
    let told: Vec<Deserted> = desk
        .pool
        .load(desk.now)
        .deserted
        .into_iter()
        .map(|worker| Deserted { pool: pool_name(), worker })
        .collect();
    let host = |id: &str| Machine {
        host: "m".parse().unwrap(),
        pool: pool_name(),
        state: MachineState::Up,
        worker: Some(worker(id)),
    };
    let machines = |id: &str| BTreeMap::from([("m".parse().unwrap(), host(id))]);
    assert_eq!(lives::ended(&told, &machines("v")).count(), 0, "its host still has it");
    let over: Vec<&Deserted> = lives::ended(&told, &machines("another")).collect();
    assert_eq!(over.len(), 1);
    desk.pool.worker_over(&over[0].worker, "the platform has no host with it");
    assert_eq!(desk.starts().len(), 1);
}

#[test]
fn a_worker_that_answers_again_is_not_deserted() {
    let mut desk = Desk::ready(vec![info("w", 4)]);
    desk.desert(&worker("w"));
    assert_eq!(desk.pool.load(desk.now).deserted, [worker("w")]);
    desk.miss(&worker("w"));
    assert!(desk.pool.load(desk.now).deserted.is_empty(), "it may be there and not answer");
    desk.desert(&worker("w"));
    desk.report(&worker("w"));
    assert!(desk.pool.load(desk.now).deserted.is_empty());
}
