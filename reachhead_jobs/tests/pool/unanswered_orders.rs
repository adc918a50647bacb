//! Tests of orders whose answers are lost, and of runs that are confirmed by reports.

use reachhead_jobs::{
    model::Step,
    pool::{Action, JobState},
    ports::{Rejection, RunEnd, WorkerError},
};
use reachhead_types::id::JobId;

use crate::fixture::{Fixture, info, step, task};

/// Guards against states that rest on orders without an answer: callers were told that their jobs ran
/// while no worker had them.
#[test]
fn a_job_counts_as_waiting_until_a_worker_confirms_one_of_its_runs() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    let expect = |fixture: &Fixture, state, waiting| {
        assert_eq!(fixture.pool.state(JobId(1)), Some(state));
        assert_eq!(fixture.pool.waiting(&"q".parse().unwrap()), waiting);
    };
    expect(&fixture, JobState::Queued, 1);
    let lost = Err(WorkerError::Lost("no answer".to_owned()));
    fixture.pool.started(&id, order.task, order.run, lost, fixture.now);
    expect(&fixture, JobState::Queued, 1);
    fixture.advance(200);
    let (id, order) = fixture.starts().remove(0);
    let unreachable = Err(WorkerError::Unreachable("no connection".to_owned()));
    fixture.pool.started(&id, order.task, order.run, unreachable, fixture.now);
    expect(&fixture, JobState::Queued, 1);
    // The first order had arrived.
    fixture.set_running(&id, order.task, order.run.0, 0);
    fixture.report(&id);
    expect(&fixture, JobState::Running, 0);
}

/// The run is not wanted any more when the first sign of it comes, but the job has begun.
#[test]
fn a_report_confirms_a_run_that_is_being_stopped() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    let lost = Err(WorkerError::Lost("no answer".to_owned()));
    fixture.pool.started(&id, order.task, order.run, lost, fixture.now);
    let room = Err(WorkerError::Rejected(Rejection::Room));
    fixture.pool.started(&id, order.task, order.run, room, fixture.now);
    assert_eq!(fixture.stops().len(), 1);
    assert_eq!(fixture.pool.state(JobId(1)), Some(JobState::Queued));
    fixture.set_running(&id, order.task, order.run.0, 0);
    fixture.report(&id);
    assert_eq!(fixture.pool.state(JobId(1)), Some(JobState::Running));
}

#[test]
fn a_reported_end_confirms_a_run_whose_order_was_not_answered() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    let lost = Err(WorkerError::Lost("no answer".to_owned()));
    fixture.pool.started(&id, order.task, order.run, lost, fixture.now);
    fixture.end(&id, order.task, order.run.0, RunEnd::Lapsed);
    fixture.report(&id);
    assert_eq!(fixture.pool.state(JobId(1)), Some(JobState::Running));
}

/// Runs are reviewed after events and periodically, not in each of the rounds that are 4 ms apart
/// in a burst.
#[test]
fn an_unanswered_order_is_resent_on_time_without_any_event() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    let lost = Err(WorkerError::Lost("no answer".to_owned()));
    fixture.pool.started(&id, order.task, order.run, lost, fixture.now);
    assert!(fixture.starts().is_empty(), "it is not due yet");
    let mut waited = 0;
    while fixture.starts().is_empty() {
        fixture.advance(4);
        waited += 4;
    }
    assert!((50..=75).contains(&waited), "{waited} ms");
}

#[test]
fn an_unanswered_start_is_resent_to_the_same_worker_with_the_same_deadline() {
    let mut fixture = Fixture::ready(vec![info("w", 4), info("v", 4)]);
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    let lost = || Err(WorkerError::Lost("no answer".to_owned()));
    fixture.pool.started(&id, order.task, order.run, lost(), fixture.now);
    fixture.advance(200);
    let (again, repeated) = fixture.starts().remove(0);
    assert_eq!((again, &repeated), (id.clone(), &order));
    // The order is rejected now, but its first copy may still arrive: it is barred before the task
    // continues.
    let room = Err(WorkerError::Rejected(Rejection::Room));
    fixture.pool.started(&id, order.task, order.run, room, fixture.now);
    let actions = fixture.poll();
    assert!(actions.iter().any(|action| matches!(action, Action::Stop(..))), "{actions:?}");
    assert!(!actions.iter().any(|action| matches!(action, Action::Start(..))), "{actions:?}");
    let clock = fixture.clock();
    fixture.pool.stopped(&id, order.task, order.run, fixture.now, Ok(clock), fixture.now);
    fixture.advance(5);
    fixture.report(&id);
    assert_eq!(fixture.starts().len(), 1);
}

#[test]
fn a_barred_run_is_removed_even_if_it_is_barred_again_during_a_poll() {
    let mut fixture = Fixture::ready(vec![info("w", 4), info("v", 4)]);
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    let lost = Err(WorkerError::Lost("no answer".to_owned()));
    fixture.pool.started(&id, order.task, order.run, lost, fixture.now);
    fixture.advance(200);
    fixture.starts();
    let late = Err(WorkerError::Rejected(Rejection::Late));
    fixture.pool.started(&id, order.task, order.run, late, fixture.now);
    // The poll is in flight for longer than it takes until the run is barred again.
    let bar = |fixture: &mut Fixture| {
        assert_eq!(fixture.stops().len(), 1);
        let clock = fixture.clock();
        fixture.pool.stopped(&id, order.task, order.run, fixture.now, Ok(clock), fixture.now);
    };
    bar(&mut fixture);
    fixture.advance(500);
    let sent = fixture.now;
    fixture.advance(600);
    bar(&mut fixture);
    fixture.advance(400);
    fixture.report_sent(&id, sent);
    assert_eq!(fixture.starts().len(), 1);
}

#[test]
fn an_unanswered_copy_is_barred_and_not_resent_once_the_task_is_done() {
    let mut fixture = Fixture::ready(vec![info("w", 4), info("v", 4)]);
    fixture.submit(1, vec![Step { speculative: true, ..step(1) }, step(1)]);
    let first: Vec<_> = fixture.starts().into_iter().filter(|(_, o)| o.task.step == 0).collect();
    let (id, order) = first[0].clone();
    fixture.accept(&id, &order);
    fixture.fail_poll(&id);
    let (other, copy) =
        fixture.starts().into_iter().find(|(_, start)| start.task == order.task).unwrap();
    let lost = Err(WorkerError::Lost("no answer".to_owned()));
    fixture.pool.started(&other, copy.task, copy.run, lost, fixture.now);
    fixture.end(&id, order.task, order.run.0, RunEnd::Done);
    fixture.report(&id);
    fixture.advance(200);
    let actions = fixture.poll();
    let again = |action: &Action| matches!(action, Action::Start(_, o) if o.task == order.task);
    assert!(!actions.iter().any(again), "{actions:?}");
    let barred = |action: &Action| matches!(action, Action::Stop(_, task, run) if *task == order.task && *run == copy.run);
    assert!(actions.iter().any(barred), "{actions:?}");
}

#[test]
fn an_unanswered_start_is_given_up_only_after_a_report_requested_past_its_deadline() {
    let mut fixture = Fixture::ready(vec![info("w", 4), info("v", 4)]);
    fixture.submit(1, vec![step(2)]);
    let starts = fixture.starts();
    for (id, order) in &starts {
        let lost = Err(WorkerError::Lost("no answer".to_owned()));
        fixture.pool.started(id, order.task, order.run, lost, fixture.now);
    }
    let id = starts[0].0.clone();
    // The owner is slow: it processes no answer and no report for longer than the orders are valid.
    // One of the runs has begun just before that, and the worker's lease is renewed by other calls.
    let early = fixture.now;
    fixture.advance(5000);
    assert!(fixture.starts().is_empty(), "either may have started");
    fixture.report_sent(&id, early);
    assert!(fixture.starts().is_empty(), "the report was requested before the deadline");
    fixture.set_running(&id, task(1, 0, 0), 1, 30);
    fixture.advance(10);
    fixture.report(&id);
    let again = fixture.starts();
    assert_eq!(again.len(), 1, "{again:?}");
    assert_eq!(again[0].1.task, task(1, 0, 1));
}
