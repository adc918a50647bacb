//! Starts, runs and ends.

use std::sync::Arc;

use reachhead_jobs::{
    model::{Plan, Schedule, Step},
    pool::{Action, Cancelled, JobState},
    ports::{Rejection, RunEnd, WorkerError},
    record::Ending,
};
use reachhead_types::{
    id::JobId,
    size::{Millis, Revision},
};

use crate::desk::{Desk, info, record, step, task, worker};

#[test]
fn a_job_runs_its_steps_in_order_and_is_told_as_completed_once_that_is_stored() {
    let mut desk = Desk::ready(vec![info("w", 4)]);
    desk.submit(1, vec![step(1), Step { after: vec![0], ..step(1) }]);
    let starts = desk.starts();
    assert_eq!(starts.len(), 1);
    desk.accept(&worker("w"), &starts[0].1);
    assert_eq!(desk.pool.state(JobId(1)), Some(JobState::Running));
    desk.pass(1000);
    desk.end(&worker("w"), task(1, 0, 0), 1, RunEnd::Done);
    desk.report(&worker("w"));
    let starts = desk.starts();
    assert_eq!(starts[0].1.task, task(1, 1, 0));
    desk.accept(&worker("w"), &starts[0].1);
    desk.end(&worker("w"), task(1, 1, 0), 1, RunEnd::Done);
    desk.report(&worker("w"));
    assert_eq!(desk.pool.state(JobId(1)), Some(JobState::Running), "it is not stored yet");
    desk.flush();
    assert_eq!(desk.pool.state(JobId(1)), Some(JobState::Over(Ending::Completed)));
}

#[test]
fn a_start_without_an_answer_is_repeated_there_with_the_same_deadline() {
    let mut desk = Desk::ready(vec![info("w", 4), info("v", 4)]);
    desk.submit(1, vec![step(1)]);
    let (id, order) = desk.starts().remove(0);
    let lost = || Err(WorkerError::Lost("no answer".to_owned()));
    desk.pool.started(&id, order.task, order.run, lost(), desk.now);
    desk.pass(200);
    let (again, repeated) = desk.starts().remove(0);
    assert_eq!((again, &repeated), (id.clone(), &order));
    // Turned away now, but the first copy may still come: it is barred before the task goes on.
    let room = Err(WorkerError::Rejected(Rejection::Room));
    desk.pool.started(&id, order.task, order.run, room, desk.now);
    let actions = desk.poll();
    assert!(actions.iter().any(|action| matches!(action, Action::Stop(..))), "{actions:?}");
    assert!(!actions.iter().any(|action| matches!(action, Action::Start(..))), "{actions:?}");
    let clock = desk.clock();
    desk.pool.stopped(&id, order.task, order.run, Ok(clock), desk.now);
    desk.pass(5);
    desk.report(&id);
    assert_eq!(desk.starts().len(), 1);
}

#[test]
fn a_run_that_was_barred_is_gone_though_it_is_barred_again_while_the_worker_is_polled() {
    let mut desk = Desk::ready(vec![info("w", 4), info("v", 4)]);
    desk.submit(1, vec![step(1)]);
    let (id, order) = desk.starts().remove(0);
    let lost = Err(WorkerError::Lost("no answer".to_owned()));
    desk.pool.started(&id, order.task, order.run, lost, desk.now);
    desk.pass(200);
    desk.starts();
    let late = Err(WorkerError::Rejected(Rejection::Late));
    desk.pool.started(&id, order.task, order.run, late, desk.now);
    // A poll waits longer than it takes until the run is barred again.
    let bar = |desk: &mut Desk| {
        assert_eq!(desk.stops().len(), 1);
        let clock = desk.clock();
        desk.pool.stopped(&id, order.task, order.run, Ok(clock), desk.now);
    };
    bar(&mut desk);
    desk.pass(500);
    let sent = desk.now;
    desk.pass(600);
    bar(&mut desk);
    desk.pass(400);
    desk.report_sent(&id, sent);
    assert_eq!(desk.starts().len(), 1);
}

#[test]
fn a_task_on_a_silent_worker_starts_again_only_after_its_lease_has_surely_lapsed() {
    let mut desk = Desk::ready(vec![info("w", 4)]);
    desk.submit(1, vec![step(1)]);
    let (id, order) = desk.starts().remove(0);
    desk.accept(&id, &order);
    desk.miss(&id);
    desk.infos.push(info("v", 4));
    desk.list();
    desk.poll();
    desk.flush();
    desk.report(&worker("v"));
    for _ in 0..39 {
        desk.pass(100);
        desk.miss(&id);
        desk.report(&worker("v"));
        assert!(desk.starts().is_empty(), "its lease may hold");
    }
    desk.pass(400);
    let starts = desk.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].0, worker("v"));
    assert!(starts[0].1.run > order.run);
}

#[test]
fn runs_that_nobody_knows_are_stopped_and_keep_a_worker_from_new_tasks() {
    let mut desk = Desk::ready(vec![info("w", 4)]);
    desk.runs(&worker("w"), task(99, 0, 0), 5, 40);
    desk.report(&worker("w"));
    assert_eq!(desk.stops(), vec![(worker("w"), task(99, 0, 0))]);
    desk.submit(1, vec![step(1)]);
    assert!(desk.starts().is_empty(), "what the unknown run takes is not known");
    desk.end(&worker("w"), task(99, 0, 0), 5, RunEnd::Stopped);
    desk.report(&worker("w"));
    assert_eq!(desk.starts().len(), 1);
}

#[test]
fn what_is_being_stopped_still_takes_room() {
    let mut desk = Desk::ready(vec![info("w", 1)]);
    desk.submit(1, vec![step(1)]);
    let (id, order) = desk.starts().remove(0);
    desk.accept(&id, &order);
    assert_eq!(desk.pool.cancel(JobId(1)), Cancelled::Pending);
    desk.flush();
    assert_eq!(desk.stops().len(), 1);
    desk.submit(2, vec![step(1)]);
    desk.report(&id);
    assert!(desk.starts().is_empty());
    desk.end(&id, order.task, 1, RunEnd::Stopped);
    desk.report(&id);
    assert_eq!(desk.starts().len(), 1);
}

#[test]
fn a_gang_starts_whole_or_not_at_all_and_one_end_stands_for_all() {
    let mut desk = Desk::ready(vec![info("w", 2), info("v", 1)]);
    desk.submit(1, vec![step(1)]);
    let (id, order) = desk.starts().remove(0);
    desk.accept(&id, &order);
    desk.submit(2, vec![Step { gang: true, ..step(3) }]);
    assert!(desk.starts().is_empty(), "one of three has no room");
    desk.end(&id, order.task, 1, RunEnd::Done);
    desk.report(&id);
    let starts = desk.starts();
    assert_eq!(starts.len(), 3);
    assert!(starts.iter().all(|(_, start)| start.run == starts[0].1.run));
    for (id, order) in &starts {
        desk.accept(id, order);
    }
    let (id, order) = &starts[0];
    desk.end(id, order.task, order.run.0, RunEnd::Done);
    desk.report(id);
    desk.flush();
    assert_eq!(desk.pool.state(JobId(2)), Some(JobState::Over(Ending::Completed)));
}

#[test]
fn an_owner_that_nobody_confirms_gives_no_orders_and_prolongs_nothing() {
    let mut desk = Desk::ready(vec![info("w", 4)]);
    desk.submit(1, vec![step(1)]);
    desk.now = desk.now + reachhead_types::size::Millis(4500);
    let actions = desk.pool.poll(desk.now, reachhead_types::size::Millis(desk.now.0));
    for action in actions {
        match action {
            Action::Hold(_, order) => assert_eq!(order.deadline, None),
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn a_task_that_must_be_at_work_takes_the_room_of_short_ones() {
    let mut desk = Desk::ready(vec![info("w", 2)]);
    desk.begin(1, vec![step(2)]);
    desk.report(&worker("w"));
    desk.submit(2, vec![Step { long_running: true, ..step(1) }]);
    let stopped = desk.stops();
    assert_eq!(stopped.len(), 1);
    desk.end(&worker("w"), stopped[0].1, 1, RunEnd::Stopped);
    desk.report(&worker("w"));
    let starts = desk.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1.task.job, JobId(2));
}

#[test]
fn labels_spread_and_draining_are_kept() {
    let mut labelled = info("w", 8);
    labelled.labels = vec!["ssd".parse().unwrap()];
    let mut leaving = info("v", 8);
    leaving.draining = true;
    leaving.labels = labelled.labels.clone();
    let mut desk = Desk::ready(vec![labelled, leaving, info("u", 8)]);
    let label = Some("ssd".parse().unwrap());
    desk.submit(1, vec![Step { label, spread: 2, ..step(4) }]);
    let starts = desk.starts();
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|(id, _)| *id == worker("w")));
}

#[test]
fn a_worker_on_which_tasks_hardly_progress_is_chosen_last() {
    let mut desk = Desk::ready(vec![info("w", 8), info("v", 4)]);
    desk.submit(1, vec![step(4)]);
    let starts = desk.starts();
    assert!(starts.iter().all(|(id, _)| *id == worker("v")), "they stand close");
    for (id, order) in &starts {
        desk.accept(id, order);
    }
    for round in 1..=6 {
        desk.pass(200);
        for (_, order) in &starts {
            desk.runs(&worker("v"), order.task, 1, round);
        }
        desk.report(&worker("v"));
    }
    for (_, order) in &starts[..2] {
        desk.end(&worker("v"), order.task, 1, RunEnd::Done);
    }
    desk.report(&worker("v"));
    desk.submit(2, vec![step(1)]);
    assert_eq!(desk.starts()[0].0, worker("w"));
}

#[test]
fn a_speculative_task_on_a_silent_worker_gets_a_second_run_and_the_first_to_finish_counts() {
    let mut desk = Desk::ready(vec![info("w", 4), info("v", 4)]);
    desk.submit(1, vec![Step { speculative: true, ..step(1) }]);
    let (id, order) = desk.starts().remove(0);
    desk.accept(&id, &order);
    assert!(desk.starts().is_empty());
    desk.miss(&id);
    let (other, copy) = desk.starts().remove(0);
    assert_ne!(other, id);
    assert!(copy.run > order.run);
    desk.accept(&other, &copy);
    assert!(desk.starts().is_empty(), "two are enough");
    desk.end(&other, copy.task, copy.run.0, RunEnd::Done);
    desk.report(&other);
    desk.report(&id);
    assert_eq!(desk.stops(), vec![(id, order.task)]);
    desk.flush();
    assert_eq!(desk.pool.state(JobId(1)), Some(JobState::Over(Ending::Completed)));
}

#[test]
fn a_second_run_never_goes_to_the_worker_of_the_first() {
    let mut desk = Desk::ready(vec![info("w", 4)]);
    desk.submit(1, vec![Step { speculative: true, ..step(1) }]);
    let (id, order) = desk.starts().remove(0);
    desk.accept(&id, &order);
    for _ in 0..12 {
        desk.pass(250);
        desk.report(&id);
        assert!(desk.starts().is_empty(), "it is slow there, and there is no other worker");
    }
}

#[test]
fn each_occurrence_of_a_scheduled_job_starts_when_it_is_due_and_the_job_ends_with_the_last() {
    let mut desk = Desk::ready(vec![info("w", 4)]);
    let mut record = crate::desk::record(vec![step(1)], desk.now.0);
    let schedule = Schedule { start: Millis(desk.now.0 + 1000), interval: Millis(500), count: 2 };
    record.plan = Arc::new(Plan { schedule: Some(schedule), ..(*record.plan).clone() });
    desk.pool.submit(JobId(1), &record, Revision(60), desk.now, Millis(desk.now.0));
    desk.pass(900);
    desk.report(&worker("w"));
    assert!(desk.starts().is_empty(), "it is not due");
    for occurrence in 0..2 {
        desk.pass(if occurrence == 0 { 100 } else { 500 });
        desk.report(&worker("w"));
        let (id, order) = desk.starts().remove(0);
        assert_eq!(order.task.occurrence, occurrence);
        desk.accept(&id, &order);
        assert_eq!(desk.pool.state(JobId(1)), Some(JobState::Running));
        desk.end(&id, order.task, 1, RunEnd::Done);
        desk.report(&id);
        desk.flush();
    }
    assert_eq!(desk.pool.state(JobId(1)), Some(JobState::Over(Ending::Completed)));
}

#[test]
fn a_gang_that_lost_a_member_is_stopped_at_once_and_starts_whole_again() {
    let mut desk = Desk::ready(vec![info("w", 1), info("v", 1)]);
    desk.submit(1, vec![Step { gang: true, ..step(2) }]);
    let starts = desk.starts();
    assert_eq!(starts.len(), 2);
    let ((kept, order), (lost, other)) = (&starts[0], &starts[1]);
    desk.accept(kept, order);
    let unhealthy = Err(WorkerError::Rejected(Rejection::Unhealthy));
    desk.pool.started(lost, other.task, other.run, unhealthy, desk.now);
    assert_eq!(desk.stops(), vec![(kept.clone(), order.task)], "it would wait in vain");
    desk.end(kept, order.task, order.run.0, RunEnd::Stopped);
    desk.report(kept);
    assert!(desk.starts().is_empty(), "one worker is suspended");
    desk.pass(6000);
    desk.report(kept);
    desk.report(lost);
    let again = desk.starts();
    assert_eq!(again.len(), 2);
    assert!(again.iter().all(|(_, start)| start.run > order.run));
}

#[test]
fn a_second_run_without_an_answer_is_barred_and_not_repeated_once_the_task_is_done() {
    let mut desk = Desk::ready(vec![info("w", 4), info("v", 4)]);
    desk.submit(1, vec![Step { speculative: true, ..step(1) }, step(1)]);
    let first: Vec<_> = desk.starts().into_iter().filter(|(_, o)| o.task.step == 0).collect();
    let (id, order) = first[0].clone();
    desk.accept(&id, &order);
    desk.miss(&id);
    let (other, copy) =
        desk.starts().into_iter().find(|(_, start)| start.task == order.task).unwrap();
    let lost = Err(WorkerError::Lost("no answer".to_owned()));
    desk.pool.started(&other, copy.task, copy.run, lost, desk.now);
    desk.end(&id, order.task, order.run.0, RunEnd::Done);
    desk.report(&id);
    desk.pass(200);
    let actions = desk.poll();
    let again = |action: &Action| matches!(action, Action::Start(_, o) if o.task == order.task);
    assert!(!actions.iter().any(again), "{actions:?}");
    let barred = |action: &Action| matches!(action, Action::Stop(_, task, run) if *task == order.task && *run == copy.run);
    assert!(actions.iter().any(barred), "{actions:?}");
}

#[test]
fn a_queue_of_higher_priority_comes_first_and_a_job_that_is_too_late_last() {
    let mut desk = Desk::ready(vec![info("a", 1)]);
    let submit = |desk: &mut Desk, id: u64, priority: u32, accepted: u64| {
        let mut record = record(vec![step(1)], accepted);
        Arc::make_mut(&mut record.queue).priority = priority;
        desk.pool.submit(JobId(id), &record, Revision(50 + id), desk.now, Millis(desk.now.0));
    };
    let now = desk.now.0;
    submit(&mut desk, 1, 1, now);
    submit(&mut desk, 2, 0, now);
    submit(&mut desk, 3, 0, now - 60_000);
    let mut order = Vec::new();
    for number in 1..=3 {
        let (id, start) = desk.starts().remove(0);
        order.push(start.task.job.0);
        desk.accept(&id, &start);
        desk.end(&id, start.task, start.run.0, RunEnd::Done);
        desk.report(&id);
        desk.flush();
        assert_eq!(order.len(), number);
    }
    assert_eq!(order, [2, 1, 3]);
}

#[test]
fn a_start_that_was_never_answered_is_given_up_only_by_a_report_from_after_its_deadline() {
    let mut desk = Desk::ready(vec![info("w", 4), info("v", 4)]);
    desk.submit(1, vec![step(2)]);
    let starts = desk.starts();
    for (id, order) in &starts {
        let lost = Err(WorkerError::Lost("no answer".to_owned()));
        desk.pool.started(id, order.task, order.run, lost, desk.now);
    }
    let id = starts[0].0.clone();
    // The owner is slow: no answer and no report is taken in for longer than the orders are valid. One of
    // them has begun just before that, and the worker's lease is prolonged by other calls.
    let early = desk.now;
    desk.pass(5000);
    assert!(desk.starts().is_empty(), "either may have begun");
    desk.report_sent(&id, early);
    assert!(desk.starts().is_empty(), "the report was asked for too early to tell");
    desk.runs(&id, task(1, 0, 0), 1, 30);
    desk.pass(10);
    desk.report(&id);
    let again = desk.starts();
    assert_eq!(again.len(), 1, "{again:?}");
    assert_eq!(again[0].1.task, task(1, 0, 1));
}
