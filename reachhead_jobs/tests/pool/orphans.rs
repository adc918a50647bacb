//! Tests of runs that a predecessor ordered after its successor had read the stored jobs.

use reachhead_jobs::{
    pool::{Action, RecoveredState},
    ports::{RunEnd, WorkerError},
    record::JobRecord,
    task::TaskId,
};
use reachhead_types::{
    id::JobId,
    size::{FencingToken, Millis, Revision, RunNumber},
};

use crate::fixture::{Fixture, info, recovered, step, task, timeouts, worker};

/// Token of the owner in the fixture.
const OWN_TOKEN: u64 = 7;

/// Returns the pool of a successor that has read no job, while its predecessor may still order.
fn successor() -> Fixture {
    let found = recovered(vec![], vec![("w", None), ("v", None)]);
    let mut fixture = Fixture::new(found, vec![info("w", 4), info("v", 4)]);
    fixture.poll();
    fixture.flush();
    fixture
}

fn lookups(actions: Vec<Action>) -> Vec<JobId> {
    let jobs = |action| match action {
        Action::FindJobs(jobs) => jobs,
        _ => Vec::new(),
    };
    actions.into_iter().flat_map(jobs).collect()
}

fn stop_orders(actions: &[Action], wanted: TaskId) -> usize {
    let is_stop = |action: &&Action| matches!(action, Action::Stop(_, task, _) if *task == wanted);
    actions.iter().filter(is_stop).count()
}

/// A job was stored after the takeover's read and started by the predecessor: the successor started
/// its tasks on other workers beside the runs that it had only just ordered to stop.
#[test]
fn a_task_that_the_predecessor_started_after_the_takeovers_read_does_not_run_twice() {
    let mut fixture = successor();
    fixture.set_running(&worker("w"), task(1, 0, 0), 3, 10);
    fixture.report(&worker("w"));
    fixture.report(&worker("v"));
    fixture.poll();
    fixture.submit(1, vec![step(1)]);
    assert!(fixture.starts().is_empty(), "the predecessor's run is still there");
    fixture.end(&worker("w"), task(1, 0, 0), 3, RunEnd::Done);
    fixture.report(&worker("w"));
    assert!(fixture.starts().is_empty(), "it is done");
}

/// The same fault without a report: the worker with the predecessor's run answers last.
#[test]
fn a_job_stored_after_the_takeovers_read_waits_for_workers_that_have_not_answered() {
    let mut fixture = successor();
    fixture.report(&worker("w"));
    fixture.submit(1, vec![step(1)]);
    assert!(fixture.starts().is_empty(), "the predecessor may have started it on the other worker");
    fixture.set_running(&worker("v"), task(1, 0, 0), 3, 10);
    fixture.report(&worker("v"));
    assert!(fixture.starts().is_empty(), "it runs there");
}

fn submit_stored_by(fixture: &mut Fixture, token: u64) {
    let record = JobRecord {
        stored_by: Some(FencingToken(token)),
        ..crate::fixture::record(vec![step(1)], fixture.now.0)
    };
    let (now, wall) = (fixture.now, Millis(fixture.now.0));
    fixture.pool.submit(JobId(1), &record, Revision(60), now, wall);
}

/// Returns the pool of a successor, one of whose workers does not answer.
fn successor_with_silent_worker(knows_storer: bool) -> Fixture {
    let found = recovered(vec![], vec![("w", None), ("v", None)]);
    let found = RecoveredState { knows_storer, ..found };
    let mut fixture = Fixture::new(found, vec![info("w", 4), info("v", 4)]);
    fixture.poll();
    fixture.flush();
    fixture.report(&worker("w"));
    fixture
}

/// After the loss of a zone with the owner and some workers, each new job waited for four seconds: for as long as the lost
/// owner could have started it. It can't if the successor has stored the job itself.
#[test]
fn a_job_that_the_successor_stored_waits_for_no_worker() {
    let mut fixture = successor_with_silent_worker(true);
    submit_stored_by(&mut fixture, OWN_TOKEN);
    assert_eq!(fixture.starts().len(), 1);
}

/// Guards against two runs of a task: another owner may have stored the job, or a predecessor may not look at who did.
#[test]
fn a_job_that_a_predecessor_may_start_waits_for_workers_that_have_not_answered() {
    for (knows_storer, token) in [(true, OWN_TOKEN - 1), (false, OWN_TOKEN)] {
        let mut fixture = successor_with_silent_worker(knows_storer);
        submit_stored_by(&mut fixture, token);
        assert!(fixture.starts().is_empty(), "{knows_storer} {token}");
    }
}

/// Guards against a start by an owner that has not noticed its successor, and finds a job of that one in the store.
#[test]
fn an_owner_starts_no_job_of_a_later_owner_and_gives_the_pool_up() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    submit_stored_by(&mut fixture, OWN_TOKEN + 1);
    let actions = fixture.poll();
    assert!(actions.contains(&Action::Fenced));
    assert!(!actions.iter().any(|action| matches!(action, Action::Start(..))));
}

#[test]
fn a_job_stored_after_the_predecessors_last_order_waits_for_no_worker() {
    let mut fixture = successor();
    for _ in 0..5 {
        fixture.advance(timeouts().trust.0 / 4);
        fixture.fail_poll(&worker("v"));
        fixture.report(&worker("w"));
        fixture.poll();
    }
    assert_eq!(fixture.pool.unsettled(), 1);
    fixture.submit(1, vec![step(1)]);
    assert_eq!(fixture.starts().len(), 1);
}

#[test]
fn runs_of_an_unknown_job_are_stopped_only_once_the_store_shows_that_it_is_over() {
    let mut fixture = successor();
    fixture.set_running(&worker("w"), task(1, 0, 0), 3, 10);
    fixture.report(&worker("w"));
    let actions = fixture.poll();
    assert_eq!(stop_orders(&actions, task(1, 0, 0)), 0, "its job may just have been stored");
    assert_eq!(lookups(actions), [JobId(1)]);
    fixture.report(&worker("w"));
    assert!(lookups(fixture.poll()).is_empty(), "it is being looked up");
    fixture.pool.jobs_found(&[JobId(1)], true, fixture.now);
    assert_eq!(stop_orders(&fixture.poll(), task(1, 0, 0)), 1);
}

#[test]
fn a_lookup_that_failed_is_repeated_and_given_up_after_a_while() {
    let mut fixture = successor();
    fixture.set_running(&worker("w"), task(1, 0, 0), 3, 10);
    fixture.report(&worker("w"));
    let mut stops = 0;
    let mut found = 0;
    for _ in 0..20 {
        let actions = fixture.poll();
        stops += stop_orders(&actions, task(1, 0, 0));
        let jobs = lookups(actions);
        found += jobs.len();
        fixture.pool.jobs_found(&jobs, false, fixture.now);
        fixture.advance(100);
        fixture.report(&worker("w"));
    }
    assert!(found >= 3, "{found} lookups");
    assert_eq!(stops, 1, "an order that is not answered yet is not repeated");
}

/// The stop of an orphan takes a while, and the job becomes known meanwhile.
#[test]
fn a_task_does_not_start_again_before_the_stopped_run_of_a_predecessor_has_ended() {
    let mut fixture = successor();
    fixture.set_running(&worker("w"), task(1, 0, 0), 3, 10);
    fixture.report(&worker("w"));
    fixture.report(&worker("v"));
    fixture.poll();
    fixture.pool.jobs_found(&[JobId(1)], true, fixture.now);
    assert_eq!(fixture.stops(), [(worker("w"), task(1, 0, 0))]);
    fixture.submit(1, vec![step(1)]);
    let clock = fixture.clock();
    fixture.pool.stopped(
        &worker("w"),
        task(1, 0, 0),
        RunNumber(3),
        fixture.now,
        Ok(clock),
        fixture.now,
    );
    for _ in 0..5 {
        assert!(fixture.starts().is_empty(), "the stopped run has not ended");
        fixture.report(&worker("w"));
        fixture.advance(50);
    }
    fixture.end(&worker("w"), task(1, 0, 0), 3, RunEnd::Stopped);
    fixture.report(&worker("w"));
    assert_eq!(fixture.starts().len(), 1);
}

#[test]
fn a_stop_of_an_orphan_that_failed_is_sent_again() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.set_running(&worker("w"), task(99, 0, 0), 5, 40);
    fixture.report(&worker("w"));
    assert_eq!(fixture.stops().len(), 1);
    fixture.report(&worker("w"));
    assert!(fixture.stops().is_empty(), "the order is in flight");
    let lost = WorkerError::Lost("no answer".to_owned());
    fixture.pool.stopped(
        &worker("w"),
        task(99, 0, 0),
        RunNumber(5),
        fixture.now,
        Err(lost),
        fixture.now,
    );
    fixture.advance(100);
    fixture.report(&worker("w"));
    assert_eq!(fixture.stops().len(), 1);
}
